// Package relay reaches the platform's store through peers while the store
// turns this daemon away or cannot be reached from it.
//
// The load that it answers is a store that serves some VMs and refuses or
// ignores the others for many seconds. A daemon that is refused would have to
// refuse its callers in turn and could not hear of withdrawn keys. A peer passes
// on single calls and holds no state for them; it never passes a call on twice.
package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// maxPeers bounds the peers that are asked for one call.
	maxPeers = 4
	// peerRest is how long a peer that failed is asked only if no other is left.
	peerRest = 700 * time.Millisecond
	// peerTimeout bounds one call through a peer beyond the wait of a feed.
	peerTimeout = 800 * time.Millisecond
	// probeInterval is the time between two attempts to reach the store itself
	// while it is not reached.
	probeInterval = 400 * time.Millisecond
	// probeTimeout bounds such an attempt.
	probeTimeout = 400 * time.Millisecond
	// isolatedAfter is the time without an answer after which a daemon counts
	// as cut off from all.
	isolatedAfter = 1500 * time.Millisecond
	// slowAfter is how long a call of the store itself may take before it
	// counts as not reached.
	slowAfter = 700 * time.Millisecond
)

// Store is a store.Store that asks peers while the store itself is not reached.
// Use New.
type Store struct {
	caller wire.Caller
	direct store.Store
	log    *zap.Logger
	// peers returns the addresses of the other daemons.
	peers func() []netip.AddrPort

	mutex sync.Mutex
	// away is whether the store itself is not reached.
	away bool
	// last is the peer that passed a call on last; zero for none.
	last netip.AddrPort
	// restUntil holds when peers that failed are asked again.
	restUntil map[netip.AddrPort]time.Time
	// turn spreads the calls over the peers.
	turn int
	// heardAt is when a peer last answered.
	heardAt time.Time
}

// New returns a Store over the store itself.
func New(direct store.Store, c wire.Caller, peers func() []netip.AddrPort, log *zap.Logger) *Store {
	return &Store{caller: c, direct: direct, log: log, peers: peers}
}

// Handle answers peers' calls.
func (s *Store) Handle(m *wire.Mux) {
	m.Handle(wire.KindStore, func(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
		var c call
		if err := msgpack.Unmarshal(body, &c); err != nil {
			return nil, errors.Wrap(err, "relay: call")
		}
		if s.Away() {
			return answer{Fault: faultUnavailable}, nil
		}
		return s.perform(ctx, c), nil
	})
}

// Away reports whether the store itself is not reached.
func (s *Store) Away() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.away
}

// Isolated reports whether neither the store nor a peer has answered lately.
func (s *Store) Isolated() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.away && time.Since(s.heardAt) > isolatedAfter
}

// Commit implements store.Store.
func (s *Store) Commit(ctx context.Context, t store.Txn) (store.Snapshot, error) {
	a, err := s.do(ctx, call{Op: opCommit, Txn: t})
	return a.Snapshot, err
}

// Feed implements store.Store.
func (s *Store) Feed(ctx context.Context, table string, after int64, wait time.Duration) (store.Snapshot, error) {
	a, err := s.do(ctx, call{Op: opFeed, Table: table, After: after, Wait: wait})
	return a.Snapshot, err
}

// Parts implements store.Store.
func (s *Store) Parts(ctx context.Context, table string) ([]string, error) {
	a, err := s.do(ctx, call{Op: opParts, Table: table})
	return a.Parts, err
}

// Read implements store.Store.
func (s *Store) Read(ctx context.Context, r store.Range) (store.Snapshot, error) {
	a, err := s.do(ctx, call{Op: opRead, Range: r})
	return a.Snapshot, err
}

// do makes a call at the store itself, or through a peer while that fails.
func (s *Store) do(ctx context.Context, c call) (answer, error) {
	if s.Away() {
		return s.viaPeers(ctx, c)
	}
	direct, cancel := context.WithTimeout(ctx, slowAfter+c.Wait)
	a := s.perform(direct, c)
	cancel()
	err := a.err()
	if !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrUnknown) || ctx.Err() == context.Canceled {
		return a, err
	}
	s.lost(err)
	if errors.Is(err, store.ErrUnknown) && c.Op == opCommit {
		// It may have taken effect: what follows is the caller's to decide.
		return a, err
	}
	return s.viaPeers(ctx, c)
}

// viaPeers makes a call through one peer after another.
func (s *Store) viaPeers(ctx context.Context, c call) (answer, error) {
	for _, p := range s.choices() {
		b, cancel := context.WithTimeout(ctx, peerTimeout+c.Wait)
		var a answer
		err := s.caller.Call(b, p, wire.KindStore, c, &a)
		cancel()
		reached := err == nil && !errors.Is(a.err(), store.ErrUnavailable)
		s.note(p, err == nil, reached)
		if reached {
			return a, a.err()
		}
		if c.Op == opCommit && errors.Is(err, wire.ErrLost) {
			return answer{}, errors.Wrap(store.ErrUnknown, err.Error())
		}
		if ctx.Err() != nil {
			break
		}
	}
	return answer{}, store.ErrUnavailable
}

// perform makes a call at the store itself.
func (s *Store) perform(ctx context.Context, c call) answer {
	var a answer
	var err error
	switch c.Op {
	case opCommit:
		a.Snapshot, err = s.direct.Commit(ctx, c.Txn)
	case opFeed:
		a.Snapshot, err = s.direct.Feed(ctx, c.Table, c.After, c.Wait)
	case opParts:
		a.Parts, err = s.direct.Parts(ctx, c.Table)
	case opRead:
		a.Snapshot, err = s.direct.Read(ctx, c.Range)
	}
	a.Fault = faultOf(err)
	return a
}

// Serve looks for the store itself while it is not reached, until the context
// ends.
func (s *Store) Serve(ctx context.Context) error {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if s.Away() {
			s.probe(ctx)
		}
	}
}

func (s *Store) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := s.direct.Read(ctx, store.Range{Table: probeTable, Limit: 1}); err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = false
	s.log.Info("store itself reached again")
}

// probeTable is read to see whether the store answers; it may be empty.
const probeTable = "members"

func (s *Store) lost(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.away {
		s.log.Warn("store itself not reached, asking peers", zap.Error(err))
	}
	s.away = true
}
