// Package relay calls the platform's store through peers while the store refuses
// this daemon's calls or cannot be reached from it.
//
// It handles a partial outage in which the store serves some VMs and refuses or
// ignores the others for many seconds. Without it, an affected daemon would have
// to refuse its callers, and would not receive withdrawals of API keys. A peer
// relays single calls, keeps no state for them, and never relays a call to
// another peer.
package relay

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// maxPeers is the maximum number of peers tried for one call.
	maxPeers = 4
	// peerBackoff is how long a peer that failed is tried only if no other is
	// left.
	peerBackoff = 700 * time.Millisecond
	// peerTimeout bounds one call through a peer, in addition to the wait of a
	// feed.
	peerTimeout = 800 * time.Millisecond
	// probeInterval is the time between two attempts to reach the store directly
	// while it is unreachable.
	probeInterval = 400 * time.Millisecond
	// loggedProbe is the number of failed attempts after which one is logged.
	loggedProbe = 10
	// isolatedAfter is the time without a response from a peer after which a daemon
	// that cannot reach the store is considered isolated.
	isolatedAfter = 1500 * time.Millisecond
	// directTimeout bounds one direct call, in addition to the wait of a feed, and one
	// probe: a store that is fast enough for calls is reached again. After it the store is
	// considered unreachable.
	directTimeout = 700 * time.Millisecond
)

// Store is a store.Store that calls the store through peers while it cannot be
// reached directly. Use New.
type Store struct {
	caller wire.Caller
	direct store.Store
	log    *zap.Logger
	// peers returns the addresses of the other daemons.
	peers func() []netip.AddrPort

	mutex sync.Mutex
	// unreachable is whether the store cannot be reached directly.
	unreachable bool
	// failedProbes is the number of probes that failed since then.
	failedProbes int
	// lastPeer is the peer that last relayed a call successfully; zero if none.
	lastPeer netip.AddrPort
	// backoffUntil holds the time at which each failed peer may be tried normally
	// again.
	backoffUntil map[netip.AddrPort]time.Time
	// nextPeer is advanced with each call to distribute calls over the peers.
	nextPeer int
	// answeredAt is when a peer last answered a call.
	answeredAt time.Time
}

// New returns a Store that calls the store through direct, or through peers while
// direct fails.
func New(direct store.Store, c wire.Caller, peers func() []netip.AddrPort, log *zap.Logger) *Store {
	return &Store{caller: c, direct: direct, log: log, peers: peers}
}

// Handle registers the handler that relays peers' calls to the store.
func (s *Store) Handle(m *wire.Mux) {
	m.Handle(wire.KindStore, func(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
		var c call
		if err := msgpack.Unmarshal(body, &c); err != nil {
			return nil, errors.Wrap(err, "relay: call")
		}
		if s.Unreachable() {
			return response{Fault: faultUnavailable}, nil
		}
		resp, _ := s.callDirect(ctx, c)
		return resp, nil
	})
}

// Unreachable reports whether the store cannot be reached directly.
func (s *Store) Unreachable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.unreachable
}

// Isolated reports whether the store cannot be reached directly and no peer has
// answered within isolatedAfter.
func (s *Store) Isolated() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.unreachable && time.Since(s.answeredAt) > isolatedAfter
}

// Commit implements store.Store.
func (s *Store) Commit(ctx context.Context, t store.Txn) (store.Snapshot, error) {
	resp, err := s.do(ctx, call{Op: opCommit, Txn: t})
	return resp.Snapshot, err
}

// Feed implements store.Store.
func (s *Store) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Snapshot, error) {
	resp, err := s.do(ctx, call{Op: opFeed, Table: table, After: after, Wait: wait})
	return resp.Snapshot, err
}

// Parts implements store.Store.
func (s *Store) Parts(ctx context.Context, table, after string) ([]string, bool, error) {
	resp, err := s.do(ctx, call{Op: opParts, Table: table, PartsAfter: after, Paged: true})
	// A peer of an earlier build returns all parts, also those up to after.
	first := sort.Search(len(resp.Parts), func(i int) bool { return after == "" || resp.Parts[i] > after })
	return resp.Parts[first:], resp.MoreParts, err
}

// Read implements store.Store.
func (s *Store) Read(ctx context.Context, r store.Range) (store.Snapshot, error) {
	resp, err := s.do(ctx, call{Op: opRead, Range: r})
	return resp.Snapshot, err
}

// do calls the store directly, or through a peer while it cannot be reached.
func (s *Store) do(ctx context.Context, c call) (response, error) {
	if s.Unreachable() {
		return s.viaPeers(ctx, c)
	}
	direct, cancel := context.WithTimeout(ctx, directTimeout+c.Wait)
	resp, cause := s.callDirect(direct, c)
	cancel()
	err := resp.err()
	if !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrUnknown) || ctx.Err() == context.Canceled {
		return resp, err
	}
	s.markUnreachable(cause)
	if errors.Is(err, store.ErrUnknown) && c.Op == opCommit {
		// The write may have taken effect: the caller decides whether to repeat it.
		return resp, err
	}
	return s.viaPeers(ctx, c)
}

// viaPeers tries a call through one peer after another until one succeeds.
func (s *Store) viaPeers(ctx context.Context, c call) (response, error) {
	for _, p := range s.candidates(ctx) {
		b, cancel := context.WithTimeout(ctx, peerTimeout+c.Wait)
		var resp response
		err := s.caller.Call(b, p, wire.KindStore, c, &resp)
		cancel()
		reached := err == nil && !errors.Is(resp.err(), store.ErrUnavailable)
		s.recordCall(p, err == nil, reached)
		if reached {
			return resp, resp.err()
		}
		if c.Op == opCommit && errors.Is(err, wire.ErrLost) {
			return response{}, errors.Wrap(store.ErrUnknown, err.Error())
		}
		if ctx.Err() != nil {
			break
		}
	}
	return response{}, store.ErrUnavailable
}

// callDirect calls the store directly. The response has the fault of the error.
func (s *Store) callDirect(ctx context.Context, c call) (response, error) {
	var resp response
	var err error
	switch c.Op {
	case opCommit:
		resp.Snapshot, err = s.direct.Commit(ctx, c.Txn)
	case opFeed:
		resp.Snapshot, err = s.direct.Feed(ctx, c.Table, c.After, c.Wait)
	case opParts:
		if c.Paged {
			resp.Parts, resp.MoreParts, err = s.direct.Parts(ctx, c.Table, c.PartsAfter)
		} else {
			resp.Parts, err = store.AllParts(ctx, s.direct, c.Table)
		}
	case opRead:
		resp.Snapshot, err = s.direct.Read(ctx, c.Range)
	}
	resp.Fault = faultOf(err)
	return resp, err
}

// Serve probes the store while it cannot be reached directly, until the context
// ends. A probe does not wait for the one before: that may hang.
func (s *Store) Serve(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if s.Unreachable() {
			probes.Go(func() { s.probe(ctx) })
		}
	}
}

func (s *Store) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	_, err := s.direct.Read(ctx, store.Range{Table: probeTable, Limit: 1})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.unreachable {
		// Another probe was answered first.
		return
	}
	if err == nil {
		s.unreachable, s.failedProbes = false, 0
		s.log.Info("store reached directly again")
		return
	}
	s.failedProbes++
	if s.failedProbes%loggedProbe == 0 {
		s.log.Warn("store still not reached directly", zap.Int("Probes", s.failedProbes), zap.Error(err))
	}
}

// probeTable is read to check whether the store answers; it may be empty.
const probeTable = "members"

func (s *Store) markUnreachable(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.unreachable {
		s.log.Warn("store itself not reached, asking peers", zap.Error(err))
	}
	s.unreachable = true
}
