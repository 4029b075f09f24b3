package forward

import (
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
)

const (
	// maxFailures is the number of server failures during a request after which
	// the request is considered the cause and not run again.
	maxFailures = 3
	// suspectRetention is how long the failures of a request count after the
	// last one.
	suspectRetention = 2 * time.Minute
	// maxSuspects is the maximum number of requests for which failures are counted.
	maxSuspects = 256
)

// suspects counts the servers that failed while they ran the same request. It
// identifies requests by their content, because a caller's retries have other
// IDs. The zero value is empty. Its methods may be called from any goroutine.
type suspects struct {
	mutex    sync.Mutex
	failures map[quarantine.Fingerprint]failures
}

// failures counts the failures of one request until they expire.
type failures struct {
	count int
	until time.Time
}

// add counts a failure and drops expired ones. A request that has none yet is
// not counted while maxSuspects others are.
func (s *suspects) add(f quarantine.Fingerprint, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failures == nil {
		s.failures = make(map[quarantine.Fingerprint]failures)
	}
	for k, c := range s.failures {
		if now.After(c.until) {
			delete(s.failures, k)
		}
	}
	if _, ok := s.failures[f]; !ok && len(s.failures) >= maxSuspects {
		return
	}
	s.failures[f] = failures{count: s.failures[f].count + 1, until: now.Add(suspectRetention)}
}

// active returns the numbers of failures that have not expired.
func (s *suspects) active(now time.Time) map[uint64]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	out := make(map[uint64]int)
	for k, c := range s.failures {
		if now.Before(c.until) {
			out[uint64(k)] = c.count
		}
	}
	return out
}

// Suspects returns the numbers of server failures that this daemon observed, by
// the request's fingerprint. They are sent to the other daemons.
func (f *Forwarder) Suspects() map[uint64]int {
	return f.suspects.active(time.Now())
}

// Suspect counts a server failure during a request.
func (f *Forwarder) Suspect(p quarantine.Fingerprint) {
	f.suspects.add(p, time.Now())
}

// Quarantined reports whether too many servers failed during a request, according
// to this daemon and the heartbeats of the others.
func (f *Forwarder) Quarantined(p quarantine.Fingerprint) bool {
	total := f.Suspects()[uint64(p)]
	for _, m := range f.fleet.Members().List {
		if m.ID != f.self {
			total += m.Suspects[uint64(p)]
		}
	}
	return total >= maxFailures
}
