package ratelimit

import (
	"slices"
	"time"
)

const (
	// evenShare is the part of the rate that is divided evenly.
	evenShare = 0.2
	// epochLength is longer than heartbeats take to reach all daemons.
	epochLength = 3 * time.Second
	// latestReport is how long after the beginning of an epoch a demand may be reported:
	// the others must know it before the next epoch.
	latestReport = epochLength / 2
	// longestAge is for how long a slot may be used after its time at the lowest rate.
	longestAge = maxSlotAge + time.Duration(1/MinRate)*time.Second
	// levels is the number of epochs whose demands are kept: when the last slots in an
	// epoch expire, shares in it still depend on the epoch before it.
	levels = int(2 + (longestAge+epochLength-1)/epochLength)
)

// Epoch is the number of a span of time on the clock that the daemons share. Shares do not
// change within an epoch.
type Epoch int64

// EpochOf returns the epoch that contains a time.
func EpochOf(t time.Time) Epoch {
	return Epoch(t.UnixMilli() / epochLength.Milliseconds())
}

// start returns the beginning of the epoch.
func (e Epoch) start() time.Time {
	return time.UnixMilli(int64(e) * epochLength.Milliseconds())
}

// Demand is a daemon's demand at one server, in requests, as it reports it to the others.
// The zero value is none.
type Demand struct {
	// Epoch is the epoch at whose beginning the demand was the first of Levels. The
	// others are what it was at the beginnings of the epochs before, the latest first.
	Epoch  Epoch
	Levels [levels]float64
}

// Advance returns the demand to report at a time: the first call in an epoch determines what
// it is at the epoch's beginning. If the others would learn of that too late, the demand stays
// what they assume, the last one reported.
func (d Demand) Advance(now time.Time, level float64) Demand {
	e := EpochOf(now)
	if later := d.Epoch - e; 0 <= later && later < Epoch(levels) {
		return d
	}
	out := Demand{Epoch: e}
	for i := range out.Levels {
		out.Levels[i] = d.before(e - Epoch(i) + 1)
	}
	if now.Sub(e.start()) < latestReport {
		out.Levels[0] = level
	}
	return out
}

// before returns the demand on which shares in an epoch depend: that at the beginning of
// the epoch before. If nothing newer has been reported, it is the last one.
func (d Demand) before(e Epoch) float64 {
	return d.Levels[min(max(0, d.Epoch-e+1), Epoch(levels-1))]
}

// Share is the part of the slots that belongs to one daemon: those whose position is at
// least From and below To. The zero value has no slots.
type Share struct {
	From, To float64
}

// ShareOf returns the share in an epoch of the daemon with an index, given the demands of
// all daemons in the same order everywhere. The shares of all daemons do not overlap.
func ShareOf(demands []Demand, index int, e Epoch) Share {
	total := 0.0
	for _, d := range demands {
		total += d.before(e)
	}
	s := Share{}
	for i, d := range demands {
		s.From = s.To
		s.To += width(d.before(e), total, len(demands))
		if i == index {
			return s
		}
	}
	return Share{}
}

// HasDemand reports whether shares in an epoch depend on any demand; otherwise the rate is
// divided evenly.
func HasDemand(demands []Demand, e Epoch) bool {
	return slices.ContainsFunc(demands, func(d Demand) bool { return d.before(e) > 0 })
}

// width returns the part of the slots of a daemon with a demand.
func width(demand, total float64, daemons int) float64 {
	if total <= 0 {
		return 1 / float64(daemons)
	}
	return evenShare/float64(daemons) + (1-evenShare)*demand/total
}
