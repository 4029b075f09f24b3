// Package engine is a client for model engines.
package engine

import (
	"context"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Chunk is one piece of a streamed response.
type Chunk struct {
	// Attempt echoes the request's Attempt.
	Attempt string
	// Offset is the number of tokens before this chunk.
	Offset int
	Text   string
	Tokens int
	// Version is the weight version that generated the tokens; 0 when the
	// engine reported none.
	Version fleet.WeightVersion
	// End marks the last chunk of a complete response.
	End bool
}

// Engine is one model engine.
type Engine interface {
	// Export exports the KV cache of a running attempt.
	Export(ctx context.Context, attempt string) (KV, error)
	// Generate sends one attempt and calls emit for each chunk, in order. It
	// returns nil only after the chunk with End set. Its errors are
	// ErrNotSent, ErrRefused, ErrTruncated, ErrCrashed and ErrProtocol; an
	// error of emit is returned unchanged.
	Generate(ctx context.Context, r Request, emit func(Chunk) error) error
	// Load makes the engine swap its weights.
	Load(ctx context.Context, o LoadOrder) error
	// Status returns the status that the engine reports, which lags.
	Status(ctx context.Context) (Status, error)
}

// KV is an exported KV cache.
type KV struct {
	Handle string
	Offset int
}

// LoadOrder is an order to swap the weights of an engine.
type LoadOrder struct {
	// ID makes the order idempotent.
	ID      string
	Epoch   fleet.Epoch
	Version fleet.WeightVersion
	// Source is the path of the weights in the weight store.
	Source string
}

// Request is one attempt of a generation. It has no field for an API key, so
// that none reaches an engine.
type Request struct {
	ID      fleet.RequestID
	Attempt string
	Prompt  string
	// Partial is the text generated so far, when a response is resumed.
	Partial string
	// Offset is the number of tokens in Partial.
	Offset int
	// MaxTokens bounds the complete response, including Partial.
	MaxTokens int
	Class     fleet.Class
	Seed      uint64
	// KV is the handle of an exported KV cache to import; empty for none.
	KV string
}

// Status is the status that an engine reports.
type Status struct {
	Version fleet.WeightVersion
	Running int
	Waiting int
	// KVUsed is the used fraction of KV cache memory, from 0 to 1.
	KVUsed float64
	// At is the time at which the engine measured its status.
	At time.Time
	// Boot identifies the engine process: it changes when the engine
	// restarts. It is empty when the engine sends none.
	Boot string
}
