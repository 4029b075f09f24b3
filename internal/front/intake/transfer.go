package intake

import (
	"sync"
	"time"
)

const (
	// minAge is the time after which a transfer can be too slow: an ordinary body or response
	// has passed by then.
	minAge = 500 * time.Millisecond
	// maxPause is the time without progress, and minRate the mean rate in bytes a second, at
	// which a transfer is too slow once there is pressure.
	maxPause = 250 * time.Millisecond
	minRate  = 512 << 10
)

// Causes for which connections are shed or requests refused, as in metrics and log lines.
const (
	// causeMemory: its bytes were needed for others.
	causeMemory Cause = "Memory"
	// causeConnections: its place was needed for another connection.
	causeConnections Cause = "Connections"
	// CauseFull: a new connection was closed, because there was no place.
	CauseFull Cause = "Full"
	// causeHeader: the header of a request was too large or had too many fields.
	causeHeader Cause = "Header"
	// causeBody: a request had a body where none is allowed.
	causeBody Cause = "Body"
	// causePipelined: too many requests were sent without awaiting the responses.
	causePipelined Cause = "Pipelined"
	// causeSlow: no progress for the longest time that is allowed without pressure.
	causeSlow Cause = "Slow"
)

// Cause is why a connection was closed or a request refused.
type Cause string

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{causeBody, causeConnections, CauseFull, causeHeader, causeMemory, causePipelined, causeSlow}
}

// transfer is the progress of what a connection receives or sends at the moment. The zero
// value transfers nothing.
type transfer struct {
	mutex   sync.Mutex
	running bool
	began   time.Time
	// progressed is the time of the last progress, and moved the bytes since began.
	progressed time.Time
	moved      int64
}

// begin starts a transfer at the time of its first byte.
func (t *transfer) begin(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running, t.began, t.progressed, t.moved = true, now, now, 0
}

// end ends the transfer.
func (t *transfer) end() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running = false
}

// progress records that bytes have been moved.
func (t *transfer) progress(now time.Time, n int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.progressed = now
	t.moved += int64(n)
}

// slow reports whether the transfer progresses too slowly to be kept under pressure.
func (t *transfer) slow(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	age := now.Sub(t.began)
	return t.running && age >= minAge && (now.Sub(t.progressed) >= maxPause || float64(t.moved) < minRate*age.Seconds())
}
