package forward

import (
	"cmp"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// suspectRetention is how long the failures of a request count after the
	// last one.
	suspectRetention = 2 * time.Minute
	// maxSuspects is the maximum number of requests for which failures are counted.
	maxSuspects = 256
	// maxAnswered is the number of answered requests that are remembered, the most
	// recent ones.
	maxAnswered = 4096
)

// suspects counts the failures of servers while they ran the same request. It
// identifies requests by their content, because a caller's retries have other
// IDs. Requests of the same content may be common: those that run on a server when it
// fails count as one failure, and an answer proves that the request is not the cause.
// The zero value is empty. Its methods may be called from any goroutine.
type suspects struct {
	mutex    sync.Mutex
	failures map[quarantine.Fingerprint]*failures
	// answered holds the requests that were answered lately: they are harmless.
	answered *simplelru.LRU[quarantine.Fingerprint, struct{}]
	// recent holds the failures of which it may turn out that they were none.
	recent recentFailures
}

// failures counts the failures of one request until they expire.
type failures struct {
	// counts and lastAt hold the number of failures and the time of the last one, by
	// the server's incarnation.
	counts fleet.SuspectServers
	lastAt map[uint64]time.Time
	// ended holds the servers that no longer listened after their failure.
	ended set.Set[uint64]
	// interrupted holds the numbers of the failures after which or before which the request,
	// a stream, made progress.
	interrupted fleet.SuspectServers
	until       time.Time
}

// drop drops the failures of a server.
func (c *failures) drop(server uint64) {
	delete(c.counts, server)
	delete(c.interrupted, server)
	delete(c.lastAt, server)
	c.ended.Remove(server)
}

// observe counts a failure, unless it is doubtful.
func (s *suspects) observe(f failure) {
	s.mutex.Lock()
	s.recent.add(f)
	s.mutex.Unlock()
	if !f.doubtful {
		s.add(f.request, f.incarnation(), f.begunAt, f.failedAt, f.progress)
	}
}

// settle counts the doubtful failures during which the servers ended, according to a list of
// servers, and returns them. leaves reports whether a server shuts down as planned.
func (s *suspects) settle(servers *fleet.Servers, leaves func(backend.Server) bool, now time.Time) []failure {
	s.mutex.Lock()
	ended := s.recent.settle(servers, leaves, now)
	s.mutex.Unlock()
	for _, f := range ended {
		s.add(f.request, f.incarnation(), f.begunAt, f.failedAt, f.progress)
		s.confirm(f.request, f.incarnation())
	}
	return ended
}

// add counts a failure of a server during an attempt that began at a time, and drops
// expired ones. progress is whether the attempt, of a stream, brought an event. A request
// that has none yet replaces the one with the fewest if there are maxSuspects.
func (s *suspects) add(f quarantine.Fingerprint, server uint64, begunAt, now time.Time, progress bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeExpired(now)
	if s.isAnswered(f) {
		return
	}
	c, ok := s.failures[f]
	if !ok && len(s.failures) >= maxSuspects {
		s.evict()
	}
	if !ok {
		c = &failures{counts: make(fleet.SuspectServers), interrupted: make(fleet.SuspectServers), lastAt: make(map[uint64]time.Time)}
	}
	c.until = now.Add(suspectRetention)
	if !begunAt.Before(c.lastAt[server]) {
		if progress {
			c.interrupted[server]++
		} else {
			c.counts[server]++
		}
		c.lastAt[server] = now
	}
	if s.failures == nil {
		s.failures = make(map[quarantine.Fingerprint]*failures)
	}
	s.failures[f] = c
}

// clear records that a request was answered.
func (s *suspects) clear(f quarantine.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.failures, f)
	s.recent.remove(func(r failure) bool { return r.request == f })
	if s.answered == nil {
		// The size is positive, so that there is no error.
		s.answered, _ = simplelru.NewLRU[quarantine.Fingerprint, struct{}](maxAnswered, nil)
	}
	s.answered.Add(f, struct{}{})
}

// isAnswered reports whether a request was answered lately. It is called with the mutex
// held.
func (s *suspects) isAnswered(f quarantine.Fingerprint) bool {
	return s.answered != nil && s.answered.Contains(f)
}

// evict drops the request with the fewest failed servers, and of these the one that expires first,
// so that the loss of a failure domain does not displace a request that makes servers fail.
func (s *suspects) evict() {
	var victim quarantine.Fingerprint
	var least *failures
	for f, c := range s.failures {
		n := 0
		if least != nil {
			n = cmp.Or(cmp.Compare(len(c.lastAt), len(least.lastAt)), c.until.Compare(least.until))
		}
		if least == nil || n < 0 {
			victim, least = f, c
		}
	}
	delete(s.failures, victim)
}

// confirm records that a server no longer listens after its failure.
func (s *suspects) confirm(f quarantine.Fingerprint, server uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if c := s.failures[f]; c != nil {
		c.ended.Add(server)
	}
}

// progressed records that a stream brought an event: its earlier failures count as
// interruptions.
func (s *suspects) progressed(f quarantine.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.failures[f]
	if c == nil {
		return
	}
	for server, n := range c.counts {
		c.interrupted[server] += n
		delete(c.counts, server)
	}
}

// alive drops the failures of a server that answered an attempt which began after them:
// its connections broke, but it did not end. A server that no longer listened has ended: its
// row may be older than its new start.
func (s *suspects) alive(server uint64, begunAt time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recent.remove(func(r failure) bool { return r.incarnation() == server && begunAt.After(r.failedAt) })
	for f, c := range s.failures {
		if at, ok := c.lastAt[server]; !ok || !begunAt.After(at) || c.ended.Contains(server) {
			continue
		}
		c.drop(server)
		if len(c.lastAt) == 0 {
			delete(s.failures, f)
		}
	}
}

// doubtSince no longer counts the failures since a time, until their servers have shown whether
// they ended.
func (s *suspects) doubtSince(since time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recent.doubtSince(since)
	for f, c := range s.failures {
		for server, at := range c.lastAt {
			if !at.Before(since) {
				c.drop(server)
			}
		}
		if len(c.lastAt) == 0 {
			delete(s.failures, f)
		}
	}
}

// of returns the failures and interruptions of a request that have not expired.
func (s *suspects) of(f quarantine.Fingerprint, now time.Time) (counts, interrupted fleet.SuspectServers) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c, ok := s.failures[f]
	if !ok || !now.Before(c.until) {
		return nil, fleet.SuspectServers{}
	}
	return maps.Clone(c.counts), maps.Clone(c.interrupted)
}

func (s *suspects) removeExpired(now time.Time) {
	for k, c := range s.failures {
		if now.After(c.until) {
			delete(s.failures, k)
		}
	}
}

// active returns the numbers of failures and of interruptions that have not expired, by
// fingerprint and server.
func (s *suspects) active(now time.Time) (counts, interrupted map[uint64]fleet.SuspectServers) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts, interrupted = make(map[uint64]fleet.SuspectServers), make(map[uint64]fleet.SuspectServers)
	for k, c := range s.failures {
		if !now.Before(c.until) {
			continue
		}
		if len(c.counts) > 0 {
			counts[uint64(k)] = maps.Clone(c.counts)
		}
		if len(c.interrupted) > 0 {
			interrupted[uint64(k)] = maps.Clone(c.interrupted)
		}
	}
	return counts, interrupted
}

// harmless reports whether a request was answered lately.
func (s *suspects) harmless(f quarantine.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isAnswered(f)
}
