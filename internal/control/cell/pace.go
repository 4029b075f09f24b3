package cell

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
)

const (
	// paceLength is the number of answers that a pace is taken over.
	paceLength = 8
	// paceWindow is how long a pace is believed without a new answer; a
	// server that was slow is then tried again.
	paceWindow = 30 * time.Second
	// slowPart is the part of the median pace below which a server is slow.
	slowPart = 0.5
	// fewestTokens is the length below which an answer tells nothing.
	fewestTokens = 16
)

// pace is a decayed mean of the tokens a second of a server's answers. The
// zero value has none.
type pace struct {
	perSecond float64
	// until is when it is no longer believed.
	until time.Time
}

func (p *pace) add(now time.Time, tokens int, held time.Duration) {
	if tokens < fewestTokens || held <= 0 {
		return
	}
	v := float64(tokens) / held.Seconds()
	if !p.known(now) {
		p.perSecond = v
	}
	p.perSecond += (v - p.perSecond) / paceLength
	p.until = now.Add(paceWindow)
}

func (p *pace) known(now time.Time) bool {
	return !p.until.IsZero() && !clock.Passed(now, p.until)
}

// repace finds the servers that are clearly slower than the median.
func (s *serverSet) repace(now time.Time) {
	s.paces = s.paces[:0]
	for _, v := range s.usable {
		if v.pace.known(now) {
			s.paces = append(s.paces, v.pace.perSecond)
		}
	}
	bound := 0.0
	if len(s.paces) > 2 {
		slices.Sort(s.paces)
		bound = slowPart * s.paces[len(s.paces)/2]
	}
	for _, v := range s.usable {
		v.slow = v.pace.known(now) && v.pace.perSecond < bound
	}
}
