package ratelimit

import "time"

const (
	// maxExemptions is the number of requests that may be sent to one server without a slot
	// within exemptionSpan: the query and the order of one load of weights. At the lowest rates
	// more of them would exceed what a server accepts in a few seconds.
	maxExemptions = 2
	exemptionSpan = 4 * time.Second
)

// Exemptions allow a daemon a few requests to one server without a slot: those without which
// the server would become useless. The zero value has used none. It is not safe for
// concurrent use.
type Exemptions struct {
	// usedAt are the times of the last requests, the oldest first.
	usedAt [maxExemptions]time.Time
}

// Take reports whether a request may be sent at now, and counts it if so.
func (x *Exemptions) Take(now time.Time) bool {
	if ago := now.Sub(x.usedAt[0]); 0 <= ago && ago < exemptionSpan {
		return false
	}
	copy(x.usedAt[:], x.usedAt[1:])
	x.usedAt[maxExemptions-1] = now
	return true
}
