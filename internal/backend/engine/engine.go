// Package engine speaks to model engines.
package engine

import (
	"context"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Chunk is one piece of a streamed answer.
type Chunk struct {
	// Attempt echoes the request's Attempt.
	Attempt string
	// Offset is the number of tokens before this chunk.
	Offset int
	Text   string
	Tokens int
	// Version is the weight version that generated the tokens; 0 when the
	// engine named none.
	Version fleet.WeightVersion
	// End marks the last chunk of a whole answer.
	End bool
}

// Engine is one model engine.
type Engine interface {
	// Export takes the KV cache of a running attempt out of the engine.
	Export(ctx context.Context, attempt string) (KV, error)
	// Generate sends one attempt and calls emit for each chunk, in order. It
	// returns nil only after the end mark. Its errors tell apart
	// ErrNotSent, ErrRefused, ErrCut, ErrCrashed and ErrProtocol; an error of
	// emit is returned as it is.
	Generate(ctx context.Context, r Request, emit func(Chunk) error) error
	// Load orders the engine to swap its weights.
	Load(ctx context.Context, o LoadOrder) error
	// Status returns what the engine reports of itself, which lags.
	Status(ctx context.Context) (Status, error)
}

// KV is an exported KV cache.
type KV struct {
	Handle string
	Offset int
}

// LoadOrder orders an engine to swap its weights.
type LoadOrder struct {
	// ID makes the order idempotent.
	ID      string
	Epoch   fleet.Epoch
	Version fleet.WeightVersion
	// Source is the path of the weights in the weight store.
	Source string
}

// Request is one attempt of a generation. It has no field for a key.
type Request struct {
	ID      fleet.RequestID
	Attempt string
	Prompt  string
	// Partial is the text generated so far, when an answer is resumed.
	Partial string
	// Offset is the number of tokens in Partial.
	Offset int
	// MaxTokens bounds the whole answer, Partial included.
	MaxTokens int
	Class     fleet.Class
	Seed      uint64
	// KV names an exported KV cache to import; empty is none.
	KV string
}

// Status is what an engine reports of itself.
type Status struct {
	Version fleet.WeightVersion
	Running int
	Waiting int
	// KVUsed is the used share of KV cache memory, from 0 to 1.
	KVUsed float64
	// At is when the engine took the reading.
	At time.Time
	// Boot names the run of the engine process; it changes when the engine
	// restarts, and is empty when the engine does not say.
	Boot string
}
