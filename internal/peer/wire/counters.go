package wire

import "sync/atomic"

// Counters counts the traffic on the connections of one daemon. The zero value
// is ready to use.
type Counters struct {
	// BadFrames counts connections closed because of a malformed or unexpected
	// frame.
	BadFrames    atomic.Int64
	BytesRead    atomic.Int64
	BytesWritten atomic.Int64
}
