// Package ratelimit divides the rate of requests that a backend server allows among
// daemons that do not consult each other for each request.
//
// A rate is a sequence of slots on a clock that all daemons share, one slot for each
// request that the server allows. A low-discrepancy sequence assigns each slot to one
// daemon, so that no two daemons use the same slot and each has its slots evenly spaced,
// whether a daemon has several slots a second or one a minute. A daemon uses a slot when
// its time has come, and no later than shortly afterwards: unused slots are not saved up
// until many daemons spend them at once.
//
// It is designed for two loads: all daemons begin to send to a server at the same moment,
// and few of many daemons have requests for it. Shares therefore follow the demand that
// the daemons reported, and a part of the rate is divided evenly, for those whose demand
// is not known yet.
package ratelimit

import (
	"math"
	"time"
)

const (
	// MinRate is the lowest rate that is used, in requests per second. The end of a
	// limit is noticed only in the response to a request.
	MinRate = 0.25
	// evenShare is the part of the rate that is divided evenly.
	evenShare = 0.2
	// maxSlotAge is for how long a slot may be used after its time, in addition to the
	// time between two slots.
	maxSlotAge = 500 * time.Millisecond
	// maxAhead is how far ahead a slot may be reserved. A daemon whose used slots are
	// later has had its clock set back.
	maxAhead = time.Minute
	// maxSteps bounds the search for a slot.
	maxSteps = 1 << 14
	// golden is 2^64 divided by the golden ratio. The fractional parts of its multiples
	// are the low-discrepancy sequence that assigns slots.
	golden = 0x9E3779B97F4A7C15
	// fractionBits is the number of bits of a slot's position that a float64 holds.
	fractionBits = 53
)

// Share is the part of the slots that belongs to one daemon: those whose position is at
// least From and below To. The zero value has no slots.
type Share struct {
	From, To float64
}

// All is the share of a daemon that is alone.
var All = Share{From: 0, To: 1}

// ShareOf returns the share of the daemon with an index, given the demands of all
// daemons in the same order everywhere. The shares of all daemons do not overlap.
func ShareOf(demands []float64, index int) Share {
	total := 0.0
	for _, d := range demands {
		total += d
	}
	s := Share{}
	for i, d := range demands {
		s.From = s.To
		s.To += fraction(d, total, len(demands))
		if i == index {
			return s
		}
	}
	return Share{}
}

// fraction returns the part of the slots of a daemon with a demand.
func fraction(demand, total float64, daemons int) float64 {
	if total <= 0 {
		return 1 / float64(daemons)
	}
	return evenShare/float64(daemons) + (1-evenShare)*demand/total
}

// Slots are one daemon's slots at one server. The zero value has used none. Its methods
// take the time by the clock that the daemons share. It is not safe for concurrent use.
type Slots struct {
	// usedUntil is the time of the last slot used or reserved.
	usedUntil time.Time
}

// Next returns the time of the first slot of a share that is not used, has not expired at
// now and is not later than until. It returns false if there is none.
func (s *Slots) Next(now, until time.Time, rate float64, share Share) (time.Time, bool) {
	rate = max(rate, MinRate)
	n := s.first(now, rate)
	for range maxSteps {
		at := slotTime(n, rate)
		if at.After(until) {
			return time.Time{}, false
		}
		if share.contains(n) {
			return at, true
		}
		n++
	}
	return time.Time{}, false
}

// Use marks the slot at a time, and all earlier ones, as used.
func (s *Slots) Use(at time.Time) {
	s.usedUntil = at
}

// Free returns how many slots of a share that are not later than until can be used at
// now, at most a number.
func (s *Slots) Free(now, until time.Time, rate float64, share Share, most int) int {
	rest := *s
	n := 0
	for ; n < most; n++ {
		at, ok := rest.Next(now, until, rate, share)
		if !ok {
			break
		}
		rest.Use(at)
	}
	return n
}

// first returns the number of the first slot that is neither used nor expired.
func (s *Slots) first(now time.Time, rate float64) int64 {
	oldest := now.Add(-MaxAge(rate))
	n := int64(math.Ceil(seconds(oldest) * rate))
	if s.usedUntil.Sub(now) > maxAhead {
		return n
	}
	for !slotTime(n, rate).After(s.usedUntil) {
		n = max(n+1, int64(math.Floor(seconds(s.usedUntil)*rate)))
	}
	return n
}

// contains reports whether a slot belongs to the share.
func (s Share) contains(n int64) bool {
	position := float64(uint64(n)*golden>>(64-fractionBits)) / (1 << fractionBits)
	return s.From <= position && position < s.To
}

// MaxAge returns for how long a slot may be used after its time.
func MaxAge(rate float64) time.Duration {
	return maxSlotAge + time.Duration(float64(time.Second)/max(rate, MinRate))
}

// slotTime returns the time of a slot, to the microsecond.
func slotTime(n int64, rate float64) time.Time {
	return time.UnixMicro(int64(float64(n) / rate * 1e6))
}

// seconds returns a time in seconds since 1970.
func seconds(t time.Time) float64 {
	return float64(t.UnixMicro()) / 1e6
}
