package ratelimit

import "time"

const (
	// coldPart is the part of a cold server's rate that is divided into slots. In any second
	// at most coldPart*(1+maxPromptAge)*rate + 2 of them are used. The other requests that a
	// cold server allows are for daemons that have not read yet that it is cold.
	coldPart = 0.8
	// coldFactor and coldMargin bound the requests that a cold server allows in any second:
	// its rate times coldFactor, and coldMargin more.
	coldFactor = 1.5
	coldMargin = 5
	// maxEarly is the number of requests for which there must be room: those that daemons
	// send to a server before they have read that it has become cold.
	maxEarly = 8
	// ColdNotice is the longest time until all daemons have read that a server has become cold:
	// servers write their rows every 1.2 s, and daemons read them 0.5 s later.
	ColdNotice = 1700 * time.Millisecond
	// coldSpan is the time over which a cold server counts its requests.
	coldSpan = time.Second
)

// ColdRate returns the rate of the slots at a cold server that takes a number of requests a
// second from all daemons together.
func ColdRate(allowed float64) float64 {
	return coldPart * allowed
}

// ColdFrom returns the time of the first slot that may be used at a cold server, given when
// the daemon read that it is cold, and whether it was warm before. If it was, it may get
// requests of daemons that have not read that yet. If there is no room for these, slots begin
// only once they are in the past.
func ColdFrom(seen time.Time, allowed float64, wasWarm bool) time.Time {
	inSlots := ColdRate(allowed)*(coldSpan+maxPromptAge).Seconds() + 2
	if wasWarm && inSlots+maxEarly > coldFactor*allowed+coldMargin {
		return seen.Add(ColdNotice + coldSpan)
	}
	return seen
}
