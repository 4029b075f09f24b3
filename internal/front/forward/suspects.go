package forward

import (
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
)

const (
	// maxCuts is the number of servers that may fail in the middle of a request
	// before it is taken to be the cause and not run again.
	maxCuts = 3
	// suspectFor is how long a failure counts.
	suspectFor = 2 * time.Minute
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 256
)

// suspects counts the servers that failed in the middle of the same request, by
// its content, for the caller's repeats have other IDs. The zero value has
// counted none. Its methods may be called from any goroutine.
type suspects struct {
	mutex sync.Mutex
	cuts  map[quarantine.Fingerprint]cuts
}

type cuts struct {
	count int
	until time.Time
}

// add counts a failure.
func (s *suspects) add(f quarantine.Fingerprint, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cuts == nil {
		s.cuts = make(map[quarantine.Fingerprint]cuts)
	}
	for k, c := range s.cuts {
		if now.After(c.until) {
			delete(s.cuts, k)
		}
	}
	if _, ok := s.cuts[f]; !ok && len(s.cuts) >= maxSuspects {
		return
	}
	s.cuts[f] = cuts{count: s.cuts[f].count + 1, until: now.Add(suspectFor)}
}

// counts returns the failures that count at an instant.
func (s *suspects) counts(now time.Time) map[uint64]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	out := make(map[uint64]int)
	for k, c := range s.cuts {
		if now.Before(c.until) {
			out[uint64(k)] = c.count
		}
	}
	return out
}

// Suspects returns the failures that this daemon has seen, for the others.
func (f *Forwarder) Suspects() map[uint64]int {
	return f.suspects.counts(time.Now())
}

// condemned reports whether a request has made too many servers fail, as far as
// this daemon and the heartbeats of the others tell.
func (f *Forwarder) condemned(p quarantine.Fingerprint) bool {
	total := f.Suspects()[uint64(p)]
	for _, m := range f.fleet.Members().List {
		if m.ID != f.self {
			total += m.Suspects[uint64(p)]
		}
	}
	return total >= maxCuts
}
