package reach

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/partition"
)

// resetDelay is how long a new connection must stay open to count as reaching a server.
const resetDelay = 30 * time.Millisecond

// checkDue reports whether to check the path now.
func (r *Reach) checkDue(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.watchPeers()
	r.detector.Answered(r.lastAnswer())
	evacuated := r.fleet.Evacuated()
	var waitingSince time.Time
	for c := range r.calls {
		if evacuated.Contains(c.domain) {
			continue
		}
		if at := c.progressAt(); waitingSince.IsZero() || at.Before(waitingSince) {
			waitingSince = at
		}
	}
	return r.detector.CheckDue(now, waitingSince)
}

// watchPeers raises doubt when another daemon becomes partitioned. It is called with the
// mutex held.
func (r *Reach) watchPeers() {
	var now set.Set[string]
	for _, m := range r.fleet.Members().List {
		if m.ID == r.self || !m.Partitioned {
			continue
		}
		now.Add(m.ID)
		if !r.partitionedPeers.Contains(m.ID) {
			r.detector.PeerPartitioned()
		}
	}
	r.partitionedPeers = now
}

// check connects to some servers and applies the result.
func (r *Reach) check(ctx context.Context) {
	checking := make(chan struct{})
	r.setChecking(checking)
	defer func() {
		r.setChecking(nil)
		close(checking)
	}()
	targets, addresses := r.targets()
	c := partition.Check{BegunAt: time.Now(), Tried: len(targets)}
	timeout := r.timeout()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	meter := newLagMeter(ctx, r.log)
	results := make(chan error, len(targets))
	for _, t := range targets {
		go func() { results <- r.probe(ctx, addresses[t.ID]) }()
	}
	var failure error
	for range targets {
		if err := <-results; err != nil {
			failure = err
			if isTimeout(err) {
				c.Silent++
			}
			continue
		}
		c.Reached++
	}
	c.EndedAt = time.Now()
	c.Lag = max(meter.lag(), c.EndedAt.Sub(c.BegunAt)-timeout)
	r.apply(c, failure)
}

// timeout returns how long the next check waits for connections.
func (r *Reach) timeout() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.detector.Timeout(time.Now())
}

func (r *Reach) setChecking(c chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.checking = c
}

// targets returns the servers to which a check connects, and the addresses of all servers
// by address text, by which the detector identifies them.
func (r *Reach) targets() ([]partition.Target, map[string]netip.AddrPort) {
	var all []partition.Target
	addresses := make(map[string]netip.AddrPort)
	for _, s := range r.fleet.Servers().List {
		if s.Draining {
			continue
		}
		id := s.Address.String()
		addresses[id] = s.Address
		all = append(all, partition.Target{ID: id, Service: s.Service, Domain: s.Domain})
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.detector.Choose(all), addresses
}

// probe opens a connection to a server, and closes it if it is still open after
// resetDelay: what stands between may accept connections for a server that it does not
// reach, and reset them.
func (r *Reach) probe(ctx context.Context, to netip.AddrPort) error {
	c, err := r.dial(ctx, to)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(resetDelay)); err != nil {
		return errors.Wrap(err, "reach: probe")
	}
	if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Wrap(err, "reach: probe")
	}
	return nil
}

// isTimeout reports whether a connection was not opened in time.
func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// apply applies the result of a check, and logs the beginning and the end of a partition.
func (r *Reach) apply(c partition.Check, failure error) {
	r.mutex.Lock()
	before := r.detector.Partitioned()
	since := r.detector.Since()
	r.detector.Checked(c)
	now := r.detector.Partitioned()
	if now {
		since = r.detector.Since()
	}
	if r.detector.Silent() {
		r.cancelSilent(c.EndedAt)
	}
	r.mutex.Unlock()
	switch {
	case now && !before:
		r.log.Warn("partitioned from the servers", zap.Int("Tried", c.Tried), zap.Int("Silent", c.Silent), zap.Duration("LastAnswer", c.EndedAt.Sub(since)), zap.Error(failure))
		if c.Silent > 0 {
			r.closeIdle()
		}
		r.began(since)
	case before && !now:
		r.log.Info("servers reached again", zap.Int("Tried", c.Tried), zap.Int("Reached", c.Reached), zap.Duration("After", c.EndedAt.Sub(since)))
	case !now:
		r.log.Info("connections to servers checked", zap.Int("Tried", c.Tried), zap.Int("Reached", c.Reached), zap.Duration("Lag", c.Lag), zap.Error(failure))
	}
}
