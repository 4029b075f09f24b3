package gate

import (
	"context"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Generation describes one answer to generate, in one or more attempts. It
// contains no API key.
type Generation struct {
	ID        fleet.RequestID
	Workspace fleet.Workspace
	Pool      fleet.Pool
	Class     fleet.Class
	Prompt    string
	// Partial is the text that the caller already has; it is Offset tokens
	// long.
	Partial   string
	Offset    int
	MaxTokens int
	Seed      uint64
	Deadline  time.Time
	// SpotAllowed reports whether spot servers may run the request.
	SpotAllowed bool
}

// Generator generates answers on servers granted by a Gate and resumes on
// another server when one fails. Its method may be called from any goroutine.
type Generator interface {
	// Generate calls emit for each chunk. It emits each token exactly once
	// and in order, and returns nil only after the final chunk. Its errors
	// are *refusal.Error.
	Generate(ctx context.Context, g Generation, emit func(engine.Chunk) error) error
}

// Meter counts usage for the usage reports. Its method may be called from any
// goroutine and does not block.
type Meter interface {
	Add(u Usage)
}

// Usage is what one attempt at a request used.
type Usage struct {
	// At is when the attempt ended; it determines the usage window.
	At        time.Time
	Workspace fleet.Workspace
	Pool      fleet.Pool
	Kind      fleet.Kind
	Requests  uint64
	Tokens    uint64
}
