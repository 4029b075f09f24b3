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
	// maxPace bounds the wait between two reads of a stream.
	maxPace = 100 * time.Millisecond
	// pacePerStream is the part of the wait that each running stream adds, so
	// that the reads a second of all streams stay bounded.
	pacePerStream = 60 * time.Microsecond
	// paceFrom is the number of streams below which reads do not wait.
	paceFrom = 500
)

// prefixLength is the part of a prompt that other requests are taken to share,
// in bytes.
const prefixLength = 256

// errCaller marks an error in giving an answer to its caller.
var errCaller = errors.New("proxy: caller is gone")

// Generator implements gate.Generator. Use NewGenerator.
type Generator struct {
	options Options
	// streams counts the generations that run.
	streams atomic.Int64
}

// generation is the run of one gate.Generation.
type generation struct {
	gate.Generation
	emit    func(engine.Chunk) error
	options Options
	// text follows Partial; together they are Offset tokens long.
	text strings.Builder
}

// NewGenerator returns a Generator.
func NewGenerator(o Options) *Generator {
	g := &Generator{options: o.complete()}
	if g.options.Engines == nil {
		c := exchange.New()
		g.options.Engines = func(s fleet.Server) engine.Engine {
			return engine.NewHTTP(s.Address, c, engine.WithPace(g.pace))
		}
	}
	return g
}

// pace returns the wait between two reads of a stream.
func (g *Generator) pace() time.Duration {
	n := g.streams.Load()
	if n < paceFrom {
		return 0
	}
	return min(time.Duration(n)*pacePerStream, maxPace)
}

// Generate implements gate.Generator.
func (g *Generator) Generate(ctx context.Context, q gate.Generation, emit func(engine.Chunk) error) error {
	g.streams.Add(1)
	defer g.streams.Add(-1)
	if q.Deadline.IsZero() {
		q.Deadline = time.Now().Add(defaultPatience)
	}
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	x := &generation{Generation: q, emit: emit, options: g.options}
	p := &placement{
		options:     g.options,
		fingerprint: quarantine.FingerprintOf(q.Workspace, string(q.Pool), q.Prompt),
		request: gate.Request{
			ID:          q.ID,
			Workspace:   q.Workspace,
			Pool:        q.Pool,
			Class:       q.Class,
			Prefix:      uint64(quarantine.FingerprintOf("", q.Prompt[:min(len(q.Prompt), prefixLength)])),
			Tokens:      q.MaxTokens - q.Offset,
			Deadline:    q.Deadline,
			SpotAllowed: q.SpotAllowed,
		},
		run: attempt.Run{Deadline: q.Deadline, Repeatable: true},
	}
	return p.do(ctx, x.attempt)
}

// attempt sends what is left of the answer to one server.
func (x *generation) attempt(ctx context.Context, g gate.Grant) (int, error) {
	if x.text.Len() > 0 {
		x.options.record(timeline.Event{
			Kind: timeline.StreamResumed, Request: x.ID, Workspace: x.Workspace, Server: g.Server.ID,
		})
	}
	begun := x.Offset
	var whole uint64
	err := x.options.Engines(g.Server).Generate(ctx, x.request(), x.take)
	if err == nil {
		whole = 1
	}
	tokens := x.Offset - begun
	if tokens > 0 || whole > 0 {
		x.options.meter(gate.Usage{
			At:        time.Now(),
			Workspace: x.Workspace,
			Pool:      x.Pool,
			Kind:      kindOf(g.Server),
			Requests:  whole,
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
		Partial:   x.Partial + x.text.String(),
		Offset:    x.Offset,
		MaxTokens: x.MaxTokens,
		Class:     x.Class,
		Seed:      x.Seed,
	}
}

// take gives one chunk to the caller. The engine's client has checked that it
// is the next one.
func (x *generation) take(c engine.Chunk) error {
	if err := x.emit(c); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	x.text.WriteString(c.Text)
	x.Offset += c.Tokens
	return nil
}

func kindOf(s fleet.Server) fleet.Kind {
	if s.Kind == "" {
		return fleet.Standard
	}
	return s.Kind
}
