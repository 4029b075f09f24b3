package gate

import (
	"context"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Generation is one answer to generate, over as many attempts as it takes. It
// holds no key.
type Generation struct {
	ID        fleet.RequestID
	Workspace fleet.Workspace
	Pool      fleet.Pool
	Class     fleet.Class
	Prompt    string
	// Partial is the text that the caller already holds, of Offset tokens.
	Partial   string
	Offset    int
	MaxTokens int
	Seed      uint64
	Deadline  time.Time
	// SpotAllowed is whether spot servers may run it.
	SpotAllowed bool
}

// Generator generates answers through a Gate, resuming on another server when
// one fails. Its method may be called from any goroutine.
type Generator interface {
	// Generate calls emit for each chunk, each token exactly once and in
	// order, and returns nil only after the end mark. Its errors are
	// *refusal.Error.
	Generate(ctx context.Context, g Generation, emit func(engine.Chunk) error) error
}

// Meter counts use for the usage reports. Its method may be called from any
// goroutine and does not block.
type Meter interface {
	Add(u Usage)
}

// Usage is what one finished request used.
type Usage struct {
	// At is when the request ended; it decides the window.
	At        time.Time
	Workspace fleet.Workspace
	Pool      fleet.Pool
	Kind      fleet.Kind
	Requests  uint64
	Tokens    uint64
}
