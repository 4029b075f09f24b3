package fleet

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	memberTable = "members"
	// heartbeatInterval is the least time between two heartbeats of a daemon,
	// and between two reads of all.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatShare is the time that each daemon adds to the interval, so that
	// large fleets stay below what one part of the store takes.
	heartbeatShare = 8 * time.Millisecond
)

// Member is a daemon as it describes itself.
type Member struct {
	// ID is unique for one run of a daemon.
	ID      string
	Machine string
	Domain  string
	Address netip.AddrPort
	// Share is the part of a core that the daemon has.
	Share float64
	// Leaving is set once the daemon shuts down.
	Leaving bool
	// Loaded are the versions of weights that the daemon has seen servers
	// finish loading, while it gives the orders.
	Loaded map[string]map[string]int
	// Running counts the items of batch jobs that the daemon runs, by server.
	Running map[string]int
	// Suspects counts the servers that the daemon saw fail in the middle of the
	// same request, by the request's fingerprint.
	Suspects map[uint64]int
	// Ahead is by how much the daemon's time of day is ahead of the store's
	// clock, which has another origin; 0 is not known.
	Ahead time.Duration
	// Paces are the times between two events that the daemon saw lately, by
	// server.
	Paces map[string]time.Duration
}

// Members is an immutable list of the daemons that are alive, in order of their
// IDs.
type Members struct {
	List []Member
}

// Has reports whether a daemon is alive and stays.
func (m *Members) Has(id string) bool {
	return slices.ContainsFunc(m.List, func(o Member) bool { return o.ID == id && !o.Leaving })
}

// Pick returns the daemon to do some work, the same one whichever daemon asks;
// when it dies, only its own work moves. It is empty if no daemon stays.
func (m *Members) Pick(work string) string {
	best, bestScore := "", uint64(0)
	for _, o := range m.List {
		if o.Leaving {
			continue
		}
		if score := xxhash.Sum64String(work + "\x00" + o.ID); best == "" || score > bestScore {
			best, bestScore = o.ID, score
		}
	}
	return best
}

// Strongest returns up to n of the daemons that stay: those with the largest
// part of a core, the same ones whichever daemon asks.
func (m *Members) Strongest(n int) *Members {
	list := m.Staying()
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	return &Members{List: list[:min(n, len(list))]}
}

// Staying returns the daemons that do not shut down.
func (m *Members) Staying() []Member {
	var out []Member
	for _, o := range m.List {
		if !o.Leaving {
			out = append(out, o)
		}
	}
	return out
}

// Members returns the daemons that are alive.
func (f *State) Members() *Members {
	return f.members.Load()
}

// ServeMembers writes the daemon's own heartbeat and reads all others until the
// context ends. Self is asked before each heartbeat.
func (f *State) ServeMembers(ctx context.Context, self func() Member) error {
	r := roster{self: self().ID}
	for ctx.Err() == nil {
		if err := f.Heartbeat(ctx, self()); err != nil {
			f.failed(memberTable, err)
		}
		f.readMembers(ctx, &r)
		Sleep(ctx, r.interval())
	}
	return nil
}

// Heartbeat writes the daemon's own row.
func (f *State) Heartbeat(ctx context.Context, m Member) error {
	b, err := msgpack.Marshal(&m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := Uptime()
	s, err := f.store.Commit(ctx, store.Txn{Puts: []store.Row{{Key: store.Key{Table: memberTable, Name: m.ID}, Value: b}}})
	if err == nil {
		f.answered(s, sentAt)
	}
	return err
}

func (f *State) readMembers(ctx context.Context, r *roster) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := Uptime()
	s, err := store.ReadAll(c, f.store, store.Range{Table: memberTable})
	if err != nil {
		f.failed(memberTable, err)
		return
	}
	f.read(memberTable, s, sentAt)
	for _, id := range r.take(s.Rows, sentAt) {
		f.log.Info("daemon no longer alive", zap.String("Member", id))
	}
	m := r.alive()
	if before := len(f.Members().List); before != len(m.List) {
		f.log.Info("daemons alive", zap.Int("Before", before), zap.Int("Now", len(m.List)))
	}
	for _, o := range m.List {
		for server, models := range o.Loaded {
			for model, v := range models {
				f.SawLoaded(server, model, v)
			}
		}
	}
	f.members.Store(m)
	f.forget(ctx, r)
}

// forget removes the rows of daemons that died long ago. One daemon does so.
func (f *State) forget(ctx context.Context, r *roster) {
	old := r.forgotten()
	if len(old) == 0 || f.Members().Pick(memberTable) != r.self {
		return
	}
	var t store.Txn
	for _, id := range old {
		t.Removes = append(t.Removes, store.Key{Table: memberTable, Name: id})
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := f.store.Commit(c, t); err != nil {
		f.log.Info("rows of dead daemons not removed", zap.Error(err))
	}
}
