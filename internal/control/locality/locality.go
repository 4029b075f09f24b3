// Package locality decides how many requests leave the failure domain in which they
// arrived. Its functions do no I/O and read no clock.
//
// It is designed for domains of which one has more work than its servers can do or slow
// servers, while many daemons with few requests each decide by old observations. If each
// used the better domain, all would leave and return together; so for each a part of its
// requests leaves, which follows the delays of the last seconds.
package locality

import (
	"math"
	"time"
)

const (
	// LeavingMillis is the cost of leaving the domain, in milliseconds: twice the latency of
	// the network between domains, and the price of the request's bytes.
	LeavingMillis = 5.0
	// gain is the part that leaves for each difference of the delays by the usual duration
	// of a request.
	gain = 2.0
	// slowFactor is the ratio of the expected duration at home to that elsewhere from which
	// the servers at home count as slow, although nothing waits there.
	slowFactor = 2.0
	// maxShare is the largest part of the requests that leaves while servers at home work.
	// A domain that two others of its size leave for gets at most 2.4 times its own work.
	maxShare = 0.7
	// delayWeight is the weight of a new sample in a delay, if the last one is recent, and
	// delayHalfLife the time in which a delay without samples is forgotten by half.
	delayWeight   = 0.2
	delayHalfLife = 2 * time.Second
)

// Delay is a moving average of how many times as long as on an idle server requests take,
// because others wait or neighbours slow servers down. The zero value has no samples, and
// counts as 1.
type Delay struct {
	excess float64
	at     time.Time
}

// Add adds a sample, which is at least 1.
func (d *Delay) Add(sample float64, now time.Time) {
	before := d.Factor(now) - 1
	d.excess, d.at = before+delayWeight*(sample-1-before), now
}

// Factor returns the delay, which fades to 1.
func (d *Delay) Factor(now time.Time) float64 {
	return 1 + d.excess*math.Exp2(-float64(max(0, now.Sub(d.at)))/float64(delayHalfLife))
}

// View holds a daemon's observations of the servers of a service.
type View struct {
	// Typical is the usual duration of a request on an idle server, in milliseconds.
	Typical float64
	// Home and Away are the expected durations of a request on the best servers in the
	// daemon's domain and elsewhere, in milliseconds; infinite if there is none.
	Home, Away float64
	// HomeDelay and AwayDelay are the delays of the daemon's requests.
	HomeDelay, AwayDelay float64
}

// Share returns the part of the requests that leave the domain. None does while servers at
// home have room and are not slow themselves.
func (v View) Share() float64 {
	if math.IsInf(v.Home, 1) {
		return 1
	}
	if math.IsInf(v.Away, 1) || v.Typical <= 0 {
		return 0
	}
	if v.Home > slowFactor*(v.Away+LeavingMillis) {
		return maxShare
	}
	return max(0, min(maxShare, gain*(v.HomeDelay-v.AwayDelay-LeavingMillis/v.Typical)))
}
