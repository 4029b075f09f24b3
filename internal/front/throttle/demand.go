package throttle

import (
	"math"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/control/ratelimit"
)

const (
	// demandSpan is the time over which sent requests are counted.
	demandSpan = 2 * time.Second
	// wantSpan is for how long the largest number of waiting requests counts.
	wantSpan = time.Second
)

// reportedDemand is a demand with what the daemon reports of it to the others.
type reportedDemand struct {
	demand

	reported ratelimit.Demand
}

// report returns what to report at a time by the clock that the daemons share.
func (d *reportedDemand) report(now time.Time) ratelimit.Demand {
	d.reported = d.reported.Advance(now, d.at(time.Now()))
	return d.reported
}

// demand is a daemon's demand at one server or service: the requests that it sent within
// about demandSpan and those that wait. The zero value has none.
type demand struct {
	// level is the decayed number of sent requests as of levelAt.
	level   float64
	levelAt time.Time
	// waiting is the number of waiting requests, as of wantedAt.
	waiting  int
	wantedAt time.Time
}

// sent counts a request that is sent.
func (d *demand) sent(now time.Time) {
	d.level = d.decayed(now) + 1
	d.levelAt = now
}

// want records the number of waiting requests.
func (d *demand) want(now time.Time, requests int) {
	if now.Sub(d.wantedAt) >= wantSpan || requests >= d.waiting {
		d.waiting, d.wantedAt = requests, now
	}
}

// at returns the demand at a time.
func (d *demand) at(now time.Time) float64 {
	if now.Sub(d.wantedAt) >= wantSpan {
		return d.decayed(now)
	}
	return d.decayed(now) + float64(d.waiting)
}

func (d *demand) decayed(now time.Time) float64 {
	return d.level * math.Exp(-now.Sub(d.levelAt).Seconds()/demandSpan.Seconds())
}
