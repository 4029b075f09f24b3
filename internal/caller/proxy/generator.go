package proxy

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/attempt"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

const (
	// maxReadInterval bounds the interval between two reads of a stream.
	maxReadInterval = 100 * time.Millisecond
	// readIntervalPerStream is added to the interval for each running stream,
	// which bounds the reads per second over all streams.
	readIntervalPerStream = 60 * time.Microsecond
	// minPacedStreams is the number of streams below which reads are not delayed.
	minPacedStreams = 500
)

// prefixBytes is the length of the start of a prompt that other requests are
// assumed to share.
const prefixBytes = 256

// errCallerGone is returned when a chunk could not be sent to the caller, because
// the caller has disconnected or its request was cancelled.
var errCallerGone = errors.New("proxy: caller is gone")

// Generator implements gate.Generator. Use NewGenerator.
type Generator struct {
	options Options
	// streams is the number of running generations.
	streams atomic.Int64
}

// generation is the state of one running gate.Generation.
type generation struct {
	gate.Generation
	emit    func(engine.Chunk) error
	options Options
	// generated is the text generated after Partial; together they are Offset
	// tokens long.
	generated strings.Builder
}

// NewGenerator returns a Generator.
func NewGenerator(o Options) *Generator {
	g := &Generator{options: o.withDefaults()}
	if g.options.Engines == nil {
		c := exchange.New()
		g.options.Engines = func(s fleet.Server) engine.Engine {
			return engine.NewHTTP(s.Address, c, engine.WithReadInterval(g.readInterval))
		}
	}
	return g
}

// readInterval returns the interval between two reads of a stream.
func (g *Generator) readInterval() time.Duration {
	n := g.streams.Load()
	if n < minPacedStreams {
		return 0
	}
	return min(time.Duration(n)*readIntervalPerStream, maxReadInterval)
}

// Generate implements gate.Generator.
func (g *Generator) Generate(ctx context.Context, r gate.Generation, emit func(engine.Chunk) error) error {
	g.streams.Add(1)
	defer g.streams.Add(-1)
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(defaultTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	x := &generation{Generation: r, emit: emit, options: g.options}
	p := &placement{
		options:     g.options,
		fingerprint: quarantine.FingerprintOf(r.Workspace, string(r.Pool), r.Prompt),
		request: gate.Request{
			ID:          r.ID,
			Workspace:   r.Workspace,
			Pool:        r.Pool,
			Class:       r.Class,
			Prefix:      uint64(quarantine.FingerprintOf("", r.Prompt[:min(len(r.Prompt), prefixBytes)])),
			Tokens:      r.MaxTokens - r.Offset,
			Deadline:    r.Deadline,
			SpotAllowed: r.SpotAllowed,
		},
		run: attempt.Run{Deadline: r.Deadline, Repeatable: true, Owed: r.Class == fleet.Training},
	}
	return p.do(ctx, x.attempt)
}

// attempt requests the rest of the answer from one server.
func (x *generation) attempt(ctx context.Context, g gate.Grant) (int, error) {
	if x.generated.Len() > 0 {
		x.options.record(timeline.Event{
			Kind: timeline.StreamResumed, Request: x.ID, Workspace: x.Workspace, Server: g.Server.ID,
		})
	}
	start := x.Offset
	var completed uint64
	err := x.options.Engines(g.Server).Generate(ctx, x.request(), x.forward)
	if err == nil {
		completed = 1
	}
	tokens := x.Offset - start
	if tokens > 0 || completed > 0 {
		x.options.meter(gate.Usage{
			At:        time.Now(),
			Workspace: x.Workspace,
			Pool:      x.Pool,
			Kind:      serverKind(g.Server),
			Requests:  completed,
			Tokens:    uint64(tokens),
		})
	}
	return tokens, err
}

func (x *generation) request() engine.Request {
	return engine.Request{
		ID:        x.ID,
		Attempt:   uuid.NewString(),
		Prompt:    x.Prompt,
		Partial:   x.Partial + x.generated.String(),
		Offset:    x.Offset,
		MaxTokens: x.MaxTokens,
		Class:     x.Class,
		Seed:      x.Seed,
	}
}

// forward sends one chunk to the caller. The engine client has already checked
// that it is the next one.
func (x *generation) forward(c engine.Chunk) error {
	if err := x.emit(c); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	x.generated.WriteString(c.Text)
	x.Offset += c.Tokens
	return nil
}

func serverKind(s fleet.Server) fleet.Kind {
	if s.Kind == "" {
		return fleet.Standard
	}
	return s.Kind
}
