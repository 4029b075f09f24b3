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

// Paths and headers of the engines' HTTP interface.
const (
	PathExport   = "/export"
	PathGenerate = "/generate"
	PathLoad     = "/load"
	PathStatus   = "/status"

	// AttemptHeader echoes the attempt that a response belongs to.
	AttemptHeader = "Attempt-Id"
	// BootHeader identifies the engine process that responds (Status.Boot).
	BootHeader = "Engine-Boot"
)

const (
	// exportTimeout bounds each read and write while an engine exports a KV
	// cache.
	exportTimeout = 10 * time.Second
	// loadTimeout bounds each read and write while an engine swaps its
	// weights, since it responds only after the swap.
	loadTimeout = 30 * time.Second
	// probeTimeout bounds the status request that checks whether an engine
	// still runs.
	probeTimeout = 2 * time.Second
)

// Errors of an Engine.
var (
	// ErrCrashed is returned when the engine failed while it ran the attempt.
	ErrCrashed = exchange.ErrCrashed
	// ErrTruncated is returned when the response ended before its last chunk.
	ErrTruncated = exchange.ErrTruncated
	// ErrNotSent is returned when no byte of the attempt was sent.
	ErrNotSent = exchange.ErrNotSent
	// ErrProtocol is returned when the response is malformed or belongs to
	// another attempt.
	ErrProtocol = exchange.ErrProtocol
	// ErrRefused is returned when the engine reported that it did not start
	// the attempt.
	ErrRefused = exchange.ErrRefused
)

// HTTP is an Engine reached over HTTP. Use NewHTTP. Its methods may be called
// from any goroutine.
type HTTP struct {
	address netip.AddrPort
	client  *exchange.Client
	// duplicates counts the chunks dropped because they had been received
	// before.
	duplicates atomic.Uint64
	// readInterval returns how long to wait between two reads of a stream;
	// nil means no wait.
	readInterval func() time.Duration
}

// Option configures an HTTP.
type Option func(*HTTP)

// NewHTTP returns a client for the engine at an address. If client is nil, a
// client with default options is used.
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

// WithReadInterval waits for interval() after each read of a stream, so that the
// chunks received in the meantime are read and emitted together.
func WithReadInterval(interval func() time.Duration) Option {
	return func(h *HTTP) { h.readInterval = interval }
}

// Duplicates returns how many chunks were dropped because they had been
// received before.
func (h *HTTP) Duplicates() uint64 {
	return h.duplicates.Load()
}

// Export implements Engine.
func (h *HTTP) Export(ctx context.Context, attempt string) (KV, error) {
	var k KV
	err := h.call(exchange.WithIOTimeout(ctx, exportTimeout), http.MethodPost, PathExport, exportRequest{Attempt: attempt}, &k)
	return k, err
}

// Generate implements Engine. After a truncated response it requests the
// engine's status, to distinguish ErrCrashed from ErrTruncated.
func (h *HTTP) Generate(ctx context.Context, r Request, emit func(Chunk) error) error {
	resp, err := h.send(ctx, http.MethodPost, PathGenerate, r)
	if err != nil {
		return h.detectCrash(ctx, "", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrProtocol, "status %d", resp.StatusCode)
	}
	if resp.Header.Get(AttemptHeader) != r.Attempt {
		return errors.Wrap(ErrProtocol, "response to another attempt")
	}
	err = h.stream(ctx, resp.Body, r, emit)
	return h.detectCrash(ctx, resp.Header.Get(BootHeader), err)
}

// Load implements Engine.
func (h *HTTP) Load(ctx context.Context, o LoadOrder) error {
	return h.call(exchange.WithIOTimeout(ctx, loadTimeout), http.MethodPost, PathLoad, o, nil)
}

// Status implements Engine.
func (h *HTTP) Status(ctx context.Context) (Status, error) {
	var s Status
	err := h.call(ctx, http.MethodGet, PathStatus, nil, &s)
	return s, err
}

func (h *HTTP) call(ctx context.Context, method, path string, in, out any) error {
	resp, err := h.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrProtocol, "status %d", resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return errors.Wrap(ErrTruncated, err.Error())
	}
	return nil
}

// detectCrash replaces ErrTruncated by a CrashError when the engine process with
// the given boot ID has ended.
func (h *HTTP) detectCrash(ctx context.Context, boot string, err error) error {
	if !errors.Is(err, ErrTruncated) || ctx.Err() != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s, probeErr := h.Status(ctx)
	if runEnded(boot, s, probeErr) {
		return &CrashError{Boot: boot, Cause: err}
	}
	return err
}

// runEnded reports whether an engine process has ended, judging by the status
// request sent after a truncated response. An engine that is unreachable or
// unresponsive may still run, and a lost VM is not the request's fault. An
// attempt without any response (boot is empty) may have reached an engine that
// was already down. Its process counts as ended only if the engine now refuses
// connections: it accepted one before, so it has crashed in between.
func runEnded(boot string, s Status, probeErr error) bool {
	switch {
	case errors.Is(probeErr, syscall.ECONNREFUSED):
		return true
	case boot == "":
		return false
	case probeErr == nil:
		return s.Boot != boot
	default:
		return errors.Is(probeErr, ErrTruncated) && !exchange.TimedOut(probeErr)
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

// stream reads a response up to its last chunk. Chunks that are received
// together are emitted together.
func (h *HTTP) stream(ctx context.Context, body io.Reader, r Request, emit func(Chunk) error) error {
	l := newLineReader(body)
	m := merger{emit: emit}
	next := r.Offset
	for {
		c, fresh, err := h.next(l, r.Attempt, next)
		if err != nil {
			return m.fail(err)
		}
		if fresh {
			next += c.Tokens
			if err := m.add(c); err != nil {
				return err
			}
		}
		if l.hasLine() && !c.End {
			continue
		}
		if err := m.flush(); err != nil || c.End {
			return err
		}
		if err := h.wait(ctx); err != nil {
			return err
		}
	}
}

// next reads the next chunk and reports whether it is new. It reports false for
// the empty lines that engines send while an attempt waits.
func (h *HTTP) next(l *lineReader, attempt string, next int) (Chunk, bool, error) {
	b, err := l.next()
	if err != nil {
		return Chunk{}, false, errors.Wrap(ErrTruncated, err.Error())
	}
	if len(b) == 0 {
		return Chunk{}, false, nil
	}
	c, fresh, err := decodeChunk(b, attempt, next)
	if err == nil && !fresh {
		h.duplicates.Add(1)
		return Chunk{}, false, nil
	}
	return c, fresh, err
}

// wait waits for the read interval.
func (h *HTTP) wait(ctx context.Context) error {
	if h.readInterval == nil {
		return nil
	}
	d := h.readInterval()
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrTruncated, ctx.Err().Error())
	}
}

// exportRequest is the body of a request for the KV cache of an attempt.
type exportRequest struct {
	Attempt string
}

// decodeChunk decodes one chunk and reports whether it is new, that is, starts
// at offset next. Chunks that end at or before next are duplicates.
func decodeChunk(line []byte, attempt string, next int) (Chunk, bool, error) {
	var c Chunk
	if err := json.Unmarshal(line, &c); err != nil {
		return c, false, errors.Wrap(ErrProtocol, err.Error())
	}
	if c.Attempt != attempt {
		return c, false, errors.Wrap(ErrProtocol, "chunk of another attempt")
	}
	if c.Tokens < 0 || c.Offset > next {
		return c, false, errors.Wrapf(ErrProtocol, "chunk at offset %d, want %d", c.Offset, next)
	}
	if c.Offset == next {
		return c, true, nil
	}
	if c.Offset+c.Tokens > next {
		return c, false, errors.Wrapf(ErrProtocol, "chunk overlaps offset %d", next)
	}
	return c, false, nil
}
