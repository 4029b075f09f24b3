package wire

import "sync/atomic"

// Counters counts what the connections of one daemon carry. The zero value is
// ready.
type Counters struct {
	// BadFrames counts connections closed because a frame did not decode.
	BadFrames    atomic.Int64
	BytesRead    atomic.Int64
	BytesWritten atomic.Int64
}
