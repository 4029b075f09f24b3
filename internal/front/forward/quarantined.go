package forward

import (
	"context"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// listenDelay is the delay after which a server that broke off a stream is checked, as a
	// process that ends may close its connections before its listener. A connection that stays
	// open for this time shows that the server listens.
	listenDelay = 50 * time.Millisecond
	// listenTimeout bounds the check.
	listenTimeout = 500 * time.Millisecond
)

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

// ifEnded calls then, in another goroutine, if a server refuses connections after listenDelay. It
// closes the channel that it returns when that is decided.
func (f *Forwarder) ifEnded(s backend.Server, then func()) <-chan struct{} {
	decided := make(chan struct{})
	if f.dial == nil {
		close(decided)
		return decided
	}
	go func() {
		defer close(decided)
		ctx, cancel := context.WithTimeout(context.Background(), listenDelay+listenTimeout)
		defer cancel()
		fleet.Sleep(ctx, listenDelay)
		// Nothing is sent to evacuated servers, not even a connection request.
		if !f.fleet.Evacuated().Contains(s.Domain) && refuses(ctx, f.dial, s.Address) {
			then()
		}
	}()
	return decided
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
	c.breaks++
	c.decided = f.ifEnded(s, func() {
		f.log.Info("server ended during a stream", zap.String("Request", id), zap.String("Server", s.ID), zap.Bool("Progress", progress))
		f.suspect(p, s, begunAt, progress)
		f.suspects.confirm(p, xxhash.Sum64String(s.Incarnation()))
	})
}

// awaitDecision waits until it is certain whether the server that last broke off the stream ended,
// if the stream may be the cause: it then must not go on elsewhere before it counts. After the first
// break of a stream that lost no server before it goes on at once.
func (c *call) awaitDecision(ctx context.Context) {
	if c.decided == nil || c.breaks < 2 && c.failuresOf(c.fingerprint).Empty() {
		return
	}
	select {
	case <-c.decided:
	case <-ctx.Done():
	}
	c.decided = nil
}

// quarantineRefusal returns the refusal of a request that has run, if it is the cause of the failures of
// its servers; nil otherwise.
func (c *call) quarantineRefusal(cause error) error {
	if !c.ran || !c.Quarantined(c.fingerprint) {
		return nil
	}
	return refusal.MayHaveRun(refusal.ReasonQuarantine, time.Now().Add(suspectRetention), cause)
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

// Quarantined reports whether a request is the cause of the failures of servers that ran it,
// according to this daemon and the heartbeats of the others, also of those that have ended.
func (f *Forwarder) Quarantined(p quarantine.Fingerprint) bool {
	f.settleDoubts()
	own := f.failuresOf(p)
	if own.Empty() || f.suspects.harmless(p) {
		return false
	}
	all := map[quarantine.Fingerprint]quarantine.Failures{p: own}
	if len(own.Interrupted) > 0 {
		all = f.allFailures()
	}
	return quarantine.Blamed(p, all)
}

// failuresOf returns the failures of a request.
func (f *Forwarder) failuresOf(p quarantine.Fingerprint) quarantine.Failures {
	counts, interrupted := f.suspects.of(p, time.Now())
	out := quarantine.Failures{Unanswered: counts, Interrupted: interrupted}
	f.eachObserver(func(m fleet.Member) {
		out = out.Merge(quarantine.Failures{Unanswered: m.Suspects[uint64(p)], Interrupted: m.Interrupted[uint64(p)]})
	})
	return out
}

// allFailures returns the failures of all requests.
func (f *Forwarder) allFailures() map[quarantine.Fingerprint]quarantine.Failures {
	out := make(map[quarantine.Fingerprint]quarantine.Failures)
	add := func(counts, interrupted map[uint64]fleet.SuspectServers) {
		for p, servers := range counts {
			k := quarantine.Fingerprint(p)
			out[k] = out[k].Merge(quarantine.Failures{Unanswered: servers})
		}
		for p, servers := range interrupted {
			k := quarantine.Fingerprint(p)
			out[k] = out[k].Merge(quarantine.Failures{Interrupted: servers})
		}
	}
	add(f.suspects.active(time.Now()))
	f.eachObserver(func(m fleet.Member) { add(m.Suspects, m.Interrupted) })
	return out
}

// eachObserver calls do for the other daemons, also those that have ended, as they observed
// failures.
func (f *Forwarder) eachObserver(do func(fleet.Member)) {
	for _, m := range f.fleet.Members().List {
		if m.ID != f.self {
			do(m)
		}
	}
	for _, m := range f.departed.list() {
		do(m)
	}
}
