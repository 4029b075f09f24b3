package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
)

// Paths and headers of the engines' interface.
const (
	PathExport   = "/export"
	PathGenerate = "/generate"
	PathLoad     = "/load"
	PathStatus   = "/status"

	// AttemptHeader echoes the attempt that an answer belongs to.
	AttemptHeader = "Attempt-Id"
	// BootHeader names the run of the engine that answers.
	BootHeader = "Engine-Boot"
)

const (
	// exportPatience bounds the silence of an engine that exports KV cache.
	exportPatience = 10 * time.Second
	// loadPatience bounds that of an engine that swaps its weights, which
	// answers once it has.
	loadPatience = 30 * time.Second
	// probeTimeout bounds the question whether an engine still runs.
	probeTimeout = 2 * time.Second
)

// Errors of an Engine.
var (
	// ErrCrashed says that the engine failed while it ran the attempt.
	ErrCrashed = exchange.ErrCrashed
	// ErrCut says that the answer ended before its end mark.
	ErrCut = exchange.ErrCut
	// ErrNotSent says that no byte of the attempt was sent.
	ErrNotSent = exchange.ErrNotSent
	// ErrProtocol says that what came is not the answer to this attempt.
	ErrProtocol = exchange.ErrProtocol
	// ErrRefused says that the engine stated that it did not begin the
	// attempt.
	ErrRefused = exchange.ErrRefused
)

// HTTP is an Engine reached over HTTP. Use NewHTTP. Its methods may be called
// from any goroutine.
type HTTP struct {
	address netip.AddrPort
	client  *exchange.Client
	// doubled counts the chunks dropped because they had come before.
	doubled atomic.Uint64
	// pace is how long to wait between two reads of a stream; nil is not at
	// all.
	pace func() time.Duration
}

// Option changes an HTTP.
type Option func(*HTTP)

// NewHTTP returns the engine at an address. A nil client has the defaults.
func NewHTTP(address netip.AddrPort, client *exchange.Client, options ...Option) *HTTP {
	if client == nil {
		client = exchange.New()
	}
	h := &HTTP{address: address, client: client}
	for _, o := range options {
		o(h)
	}
	return h
}

// WithPace waits for pace() after each read of a stream, so that what comes
// meanwhile is read and given on at once.
func WithPace(pace func() time.Duration) Option {
	return func(h *HTTP) { h.pace = pace }
}

// Doubled returns how many chunks were dropped because they had come before.
func (h *HTTP) Doubled() uint64 {
	return h.doubled.Load()
}

// Export implements Engine.
func (h *HTTP) Export(ctx context.Context, attempt string) (KV, error) {
	var k KV
	err := h.call(exchange.WithPatience(ctx, exportPatience), http.MethodPost, PathExport, exportRequest{Attempt: attempt}, &k)
	return k, err
}

// Generate implements Engine. An answer that is cut is followed by the
// question whether the engine still runs, which tells ErrCrashed from ErrCut.
func (h *HTTP) Generate(ctx context.Context, r Request, emit func(Chunk) error) error {
	a, err := h.send(ctx, http.MethodPost, PathGenerate, r)
	if err != nil {
		return h.explain(ctx, "", err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrProtocol, "status %d", a.StatusCode)
	}
	if a.Header.Get(AttemptHeader) != r.Attempt {
		return errors.Wrap(ErrProtocol, "answer to another attempt")
	}
	err = h.stream(ctx, a.Body, r, emit)
	return h.explain(ctx, a.Header.Get(BootHeader), err)
}

// Load implements Engine.
func (h *HTTP) Load(ctx context.Context, o LoadOrder) error {
	return h.call(exchange.WithPatience(ctx, loadPatience), http.MethodPost, PathLoad, o, nil)
}

// Status implements Engine.
func (h *HTTP) Status(ctx context.Context) (Status, error) {
	var s Status
	err := h.call(ctx, http.MethodGet, PathStatus, nil, &s)
	return s, err
}

func (h *HTTP) call(ctx context.Context, method, path string, in, out any) error {
	a, err := h.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrProtocol, "status %d", a.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(a.Body).Decode(out); err != nil {
		return errors.Wrap(ErrCut, err.Error())
	}
	return nil
}

// explain turns ErrCut into a CrashError when the run named boot is over.
func (h *HTTP) explain(ctx context.Context, boot string, err error) error {
	if !errors.Is(err, ErrCut) || ctx.Err() != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s, probe := h.Status(ctx)
	if over(boot, s, probe) {
		return &CrashError{Boot: boot, Cause: err}
	}
	return err
}

// over reports whether a run has ended, by the status asked for after its answer
// was cut. An engine that can't be reached, or is silent, may still run, and a
// lost VM is no fault of a request. An attempt that no run has answered to may
// have come to an engine that was down already: it counts as one that ran only
// if nothing listens any more, for else it would not have been connected.
func over(boot string, s Status, probe error) bool {
	switch {
	case errors.Is(probe, syscall.ECONNREFUSED):
		return true
	case boot == "":
		return false
	case probe == nil:
		return s.Boot != boot
	default:
		return errors.Is(probe, ErrCut) && !exchange.TimedOut(probe)
	}
}

func (h *HTTP) send(ctx context.Context, method, path string, in any) (*http.Response, error) {
	u := url.URL{Scheme: "http", Host: h.address.String(), Path: path}
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, u.String(), body)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	r.Header.Set("Content-Type", "application/json")
	return h.client.Do(r)
}

// stream reads an answer to its end mark. Chunks that have come together are
// given on together.
func (h *HTTP) stream(ctx context.Context, body io.Reader, r Request, emit func(Chunk) error) error {
	l := newLines(body)
	j := joiner{emit: emit}
	next := r.Offset
	for {
		c, fresh, err := h.next(l, r.Attempt, next)
		if err != nil {
			return j.fail(err)
		}
		if fresh {
			next += c.Tokens
			if err := j.add(c); err != nil {
				return err
			}
		}
		if l.buffered() && !c.End {
			continue
		}
		if err := j.flush(); err != nil || c.End {
			return err
		}
		if err := h.wait(ctx); err != nil {
			return err
		}
	}
}

// next reads the next chunk and reports whether it is new. Engines send empty
// lines while an attempt waits.
func (h *HTTP) next(l *lines, attempt string, next int) (Chunk, bool, error) {
	b, err := l.next()
	if err != nil {
		return Chunk{}, false, errors.Wrap(ErrCut, err.Error())
	}
	if len(b) == 0 {
		return Chunk{}, false, nil
	}
	c, fresh, err := check(b, attempt, next)
	if err == nil && !fresh {
		h.doubled.Add(1)
		return Chunk{}, false, nil
	}
	return c, fresh, err
}

// wait keeps the pace between two reads.
func (h *HTTP) wait(ctx context.Context) error {
	if h.pace == nil {
		return nil
	}
	d := h.pace()
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrCut, ctx.Err().Error())
	}
}

// exportRequest asks for the KV cache of an attempt.
type exportRequest struct {
	Attempt string
}

// check decodes one chunk and reports whether it is the one at next, or one
// that came before.
func check(line []byte, attempt string, next int) (Chunk, bool, error) {
	var c Chunk
	if err := json.Unmarshal(line, &c); err != nil {
		return c, false, errors.Wrap(ErrProtocol, err.Error())
	}
	if c.Attempt != attempt {
		return c, false, errors.Wrap(ErrProtocol, "chunk of another attempt")
	}
	if c.Tokens < 0 || c.Offset > next {
		return c, false, errors.Wrapf(ErrProtocol, "offset %d, not %d", c.Offset, next)
	}
	if c.Offset == next {
		return c, true, nil
	}
	if c.Offset+c.Tokens > next {
		return c, false, errors.Wrapf(ErrProtocol, "chunk overlaps offset %d", next)
	}
	return c, false, nil
}
