package forward

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// maxFailures is the number of server failures during a request after which
	// the request is considered the cause and not run again.
	maxFailures = 3
	// interruptionsPerFailure is the number of interruptions that count as one failure. Crashes
	// also interrupt streams that run beside the request that causes them, which must not be
	// quarantined with it.
	interruptionsPerFailure = 2
	// listenDelay is the delay after which a server that broke off a stream is checked, as a
	// process that ends may close its connections before its listener. A connection that stays
	// open for this time shows that the server listens.
	listenDelay = 50 * time.Millisecond
	// listenTimeout bounds the check.
	listenTimeout = 500 * time.Millisecond
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

// Suspects returns the numbers of server failures that this daemon observed, and of those
// that interrupted a stream which made progress, by the request's fingerprint and the server's
// incarnation. They are sent to the other daemons.
func (f *Forwarder) Suspects() (counts, interrupted map[uint64]fleet.SuspectServers) {
	f.departed.observe(f.fleet.Members().List, f.self, time.Now())
	f.settleDoubts()
	return f.suspects.active(time.Now())
}

// SetDialer makes the Forwarder check with d whether servers that break off a stream still
// listen. It must be called before the first request.
func (f *Forwarder) SetDialer(d backend.Dialer) {
	f.dial = d
}

// Suspect counts a failure of a server during an attempt that began at a time. If this daemon
// does not reach the servers, the failure counts once the server has shown that it ended.
func (f *Forwarder) Suspect(p quarantine.Fingerprint, s backend.Server, begunAt time.Time) {
	f.suspect(p, s, begunAt, false)
	f.ifEnded(s, func() { f.suspects.confirm(p, xxhash.Sum64String(s.Incarnation())) })
}

// ifEnded calls then, in another goroutine, if a server refuses connections after listenDelay.
func (f *Forwarder) ifEnded(s backend.Server, then func()) {
	if f.dial == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), listenDelay+listenTimeout)
		defer cancel()
		fleet.Sleep(ctx, listenDelay)
		// Nothing is sent to evacuated servers, not even a connection request.
		if !f.fleet.Evacuated().Contains(s.Domain) && refuses(ctx, f.dial, s.Address) {
			then()
		}
	}()
}

// refuses reports whether a server refuses connections, or ends one without a request.
func refuses(ctx context.Context, dial backend.Dialer, to netip.AddrPort) bool {
	conn, err := dial(ctx, to)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = conn.Close() }()
	if err = conn.SetReadDeadline(time.Now().Add(listenDelay)); err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func (f *Forwarder) suspect(p quarantine.Fingerprint, s backend.Server, begunAt time.Time, progress bool) {
	if f.leaves(s) {
		return
	}
	doubtful := f.path != nil && f.path.Partitioned()
	f.suspects.observe(failure{request: p, server: s, begunAt: begunAt, failedAt: time.Now(), progress: progress, doubtful: doubtful})
}

// settleDoubts counts the failures that were observed while this daemon reached no server and
// during which servers ended, as the list of servers shows by now.
func (f *Forwarder) settleDoubts() {
	for _, e := range f.suspects.settle(f.fleet.Servers(), f.leaves, time.Now()) {
		f.log.Info("server ended while no server was reached", zap.String("Server", e.server.ID), zap.Duration("Ago", time.Since(e.failedAt)))
	}
}

// leaves reports whether a server has announced that it shuts down, or whether operators evacuate
// its failure domain, whose servers they may end: it then does not end because of a request.
func (f *Forwarder) leaves(s backend.Server) bool {
	if f.fleet.Evacuated().Contains(s.Domain) {
		return true
	}
	now, ok := f.fleet.Servers().Get(s.ID)
	return s.Draining || ok && now.Draining && now.Incarnation() == s.Incarnation()
}

// recordBreak records that a server broke off a stream that it had begun to answer. Servers
// that load weights or reset a connection do so too: it counts only if the server no longer
// listens.
func (c *call) recordBreak(s backend.Server, begunAt time.Time, progress bool) {
	f, p, id := c.Forwarder, c.fingerprint, c.request.ID
	f.ifEnded(s, func() {
		f.log.Info("server ended during a stream", zap.String("Request", id), zap.String("Server", s.ID), zap.Bool("Progress", progress))
		f.suspect(p, s, begunAt, progress)
		f.suspects.confirm(p, xxhash.Sum64String(s.Incarnation()))
	})
}

// Alive records that a server answered an attempt that began at a time. Its earlier
// failures were not caused by a request that makes servers end.
func (f *Forwarder) Alive(s backend.Server, begunAt time.Time) {
	f.suspects.alive(xxhash.Sum64String(s.Incarnation()), begunAt)
}

// Cleared records that a request was answered, which proves that it does not make
// servers fail.
func (f *Forwarder) Cleared(p quarantine.Fingerprint) {
	f.suspects.clear(p)
}

// DoubtFailures is called when this daemon has not reached the servers since a time: their
// failures since then count only once they have shown that they ended.
func (f *Forwarder) DoubtFailures(since time.Time) {
	f.suspects.doubtSince(since)
}

// Quarantined reports whether too many servers failed during a request, according
// to this daemon and the heartbeats of the others, also of those that have ended.
func (f *Forwarder) Quarantined(p quarantine.Fingerprint) bool {
	return f.failureCount(p) >= maxFailures*interruptionsPerFailure && !f.suspects.harmless(p)
}

// failureCount returns the number of interruptions during a request, and as many for each
// failure as count for one. What several daemons observed of a server counts once.
func (f *Forwarder) failureCount(p quarantine.Fingerprint) int {
	f.settleDoubts()
	counts, interrupted := f.suspects.of(p, time.Now())
	add := func(m fleet.Member) {
		counts = maxCounts(counts, m.Suspects[uint64(p)])
		interrupted = maxCounts(interrupted, m.Interrupted[uint64(p)])
	}
	for _, m := range f.fleet.Members().List {
		if m.ID != f.self {
			add(m)
		}
	}
	for _, m := range f.departed.list() {
		add(m)
	}
	total := 0
	for server, n := range counts {
		total += max(interruptionsPerFailure*n, interrupted[server])
		delete(interrupted, server)
	}
	for _, n := range interrupted {
		total += n
	}
	return total
}

// maxCounts returns the larger count for each server.
func maxCounts(a, b fleet.SuspectServers) fleet.SuspectServers {
	if len(b) == 0 {
		return a
	}
	out := make(fleet.SuspectServers, len(a)+len(b))
	maps.Copy(out, a)
	for server, n := range b {
		out[server] = max(out[server], n)
	}
	return out
}
