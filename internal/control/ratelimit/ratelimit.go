// Package ratelimit divides the rate of requests that a backend server allows among
// daemons that do not consult each other for each request.
//
// A rate is a sequence of slots on a clock that all daemons share, one slot for each
// request that the server allows. A low-discrepancy sequence assigns each slot to one
// daemon, so that no two daemons use the same slot and each has its slots evenly spaced,
// whether a daemon has several slots a second or one a minute. Each server has a sequence of
// its own, so that the slots of several servers at the same moment belong to several
// daemons. A daemon uses a slot when its time has come, and no later than shortly
// afterwards: unused slots are not saved up until many daemons spend them at once.
//
// It is designed for two loads: all daemons begin to send to a server at the same moment,
// and few of many daemons have requests for it. Shares therefore follow the demand that
// the daemons reported, and a part of the rate is divided evenly, for those whose demand
// is not known yet. Shares change only between epochs of the clock, and depend on demands
// that all daemons have had an epoch to learn of, so that they agree on the owner of each
// slot.
//
// A cold server, which has just started, has a rate too, but crashes if it gets more within
// a second. Its slots therefore use only a part of the rate, expire sooner, and begin when the
// daemon reads that it is cold.
package ratelimit

import (
	"math"
	"math/bits"
	"time"
)

const (
	// MinRate is the lowest rate that is used, in requests per second. The end of a
	// limit is noticed only in the response to a request.
	MinRate = 0.25
	// maxRate is the highest rate that is used, in requests per second: no server gets
	// nearly as many.
	maxRate = 1e5
	// maxSlotAge is for how long a slot may be used after its time, in addition to the
	// time between two slots.
	maxSlotAge = 500 * time.Millisecond
	// maxPromptAge is maxSlotAge for Slots that are Prompt.
	maxPromptAge = 200 * time.Millisecond
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

// Slots are one daemon's slots at one server. The zero value has used none. Its methods
// take the time by the clock that the daemons share. It is not safe for concurrent use.
type Slots struct {
	// Server is a hash of the server, the same at all daemons. It determines the server's
	// sequence.
	Server uint64
	// From is the time before which no slot is used; zero if there is none.
	From time.Time
	// Prompt is whether slots expire soon after their time, as those at cold servers do.
	Prompt bool
	// usedUntil is the time of the last slot used or reserved.
	usedUntil time.Time
}

// Next returns the time of the first slot of this daemon that is not used, has not expired
// at now and is not later than until. It returns false if there is none. share returns the
// daemon's share in an epoch.
func (s *Slots) Next(now, until time.Time, rate float64, share func(Epoch) Share) (time.Time, bool) {
	rate = min(max(rate, MinRate), maxRate)
	n := s.first(now, rate)
	epoch, current := Epoch(-1), Share{}
	for range maxSteps {
		at := s.slotTime(n, rate)
		if at.After(until) {
			return time.Time{}, false
		}
		if e := EpochOf(at); e != epoch {
			epoch, current = e, share(e)
		}
		if current.contains(s.position(n)) {
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

// Free returns how many slots of this daemon that are not later than until can be used at
// now, at most a number.
func (s *Slots) Free(now, until time.Time, rate float64, share func(Epoch) Share, most int) int {
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
	oldest := now.Add(-s.MaxAge(rate))
	if s.From.After(oldest) {
		oldest = s.From
	}
	n := int64(math.Ceil(seconds(oldest)*rate - s.phase()))
	if s.usedUntil.Sub(now) > maxAhead {
		return n
	}
	for !s.slotTime(n, rate).After(s.usedUntil) {
		n = max(n+1, int64(math.Floor(seconds(s.usedUntil)*rate-s.phase())))
	}
	return n
}

// position returns the position of a slot in the sequence, at least 0 and below 1.
func (s *Slots) position(n int64) float64 {
	return fraction(uint64(n)*golden + s.Server)
}

// phase returns by how much the server's slots are late, as a part of the time between two.
func (s *Slots) phase() float64 {
	return fraction(bits.Reverse64(s.Server))
}

// slotTime returns the time of a slot, to the microsecond.
func (s *Slots) slotTime(n int64, rate float64) time.Time {
	return time.UnixMicro(int64((float64(n) + s.phase()) / rate * 1e6))
}

// fraction returns a number as a fraction of 2^64.
func fraction(n uint64) float64 {
	return float64(n>>(64-fractionBits)) / (1 << fractionBits)
}

// contains reports whether the slot at a position belongs to the share.
func (s Share) contains(position float64) bool {
	return s.From <= position && position < s.To
}

// MaxAge returns for how long a slot may be used after its time.
func (s *Slots) MaxAge(rate float64) time.Duration {
	age := maxSlotAge
	if s.Prompt {
		age = maxPromptAge
	}
	return age + time.Duration(float64(time.Second)/max(rate, MinRate))
}

// seconds returns a time in seconds since 1970.
func seconds(t time.Time) float64 {
	return float64(t.UnixMicro()) / 1e6
}
