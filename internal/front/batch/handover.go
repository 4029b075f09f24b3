package batch

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// handOverTimeout limits one message to a peer.
const handOverTimeout = 500 * time.Millisecond

// handOver is the message that a leaving daemon sends to a peer if it cannot write
// to the store. It contains unfinished items of one job, and results that are not
// stored yet.
type handOver struct {
	Head    Head
	Items   []Item
	States  map[string]Progress
	Results []Result
}

// Handle registers the handler for hand-overs from leaving daemons.
func (r *Runner) Handle(m *wire.Mux) {
	m.Handle(wire.KindHandOver, func(_ context.Context, _ netip.AddrPort, body []byte) (any, error) {
		var h handOver
		if err := msgpack.Unmarshal(body, &h); err != nil {
			return nil, errors.Wrap(err, "batch: hand-over")
		}
		return nil, r.acceptHandOver(h)
	})
}

// errLeaving is returned when a daemon refuses a hand-over because it is
// leaving itself.
var errLeaving = errors.New("batch: daemon is leaving")

// acceptHandOver adds the items and results of a hand-over, unless the job has
// ended. Its error is errLeaving if this daemon is leaving.
func (r *Runner) acceptHandOver(h handOver) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.leaving {
		return errLeaving
	}
	j := r.add(h.Head)
	if j.ended {
		return nil
	}
	added := 0
	for _, i := range h.Items {
		if j.items[i.ID] != nil {
			continue
		}
		added++
		p := h.States[i.ID]
		if p.After > 0 {
			p.Lineage = r.newLineage()
		}
		j.put(&item{Item: i, progress: p, readyAt: time.Now()})
	}
	j.results = append(j.results, h.Results...)
	r.log.Info("items handed over", zap.String("Job", h.Head.ID), zap.Int("Items", added), zap.Int("Results", len(h.Results)))
	r.trigger()
	return nil
}

// handOverAll sends to peers what could not be written to the store. Each item
// goes to the daemon that will own it once this one has left.
func (r *Runner) handOverAll(ctx context.Context, c wire.Caller) {
	members := &fleet.Members{}
	addresses := make(map[string]netip.AddrPort)
	for _, m := range r.runners() {
		if m.ID != r.self {
			members.List = append(members.List, m)
			addresses[m.ID] = m.Address
		}
	}
	for k, h := range r.handOvers(members) {
		to := maps.Clone(addresses)
		if allows := r.allowsOf(h.Head); allows != nil {
			to = make(map[string]netip.AddrPort)
			for _, m := range membersIn(members.List, allows).List {
				to[m.ID] = m.Address
			}
		}
		err := r.deliver(ctx, c, to, k.member, h)
		r.log.Info("items sent to a peer", zap.String("Job", k.job), zap.String("Member", k.member),
			zap.Int("Items", len(h.Items)), zap.Int("Results", len(h.Results)), zap.Error(err))
	}
}

// deliver sends a hand-over to a peer, or to any other peer if the first one
// does not accept it.
func (r *Runner) deliver(ctx context.Context, c wire.Caller, peers map[string]netip.AddrPort, first string, h *handOver) error {
	err := send(ctx, c, peers[first], h)
	for id, address := range peers {
		if err == nil || ctx.Err() != nil {
			return err
		}
		if id != first {
			err = send(ctx, c, address, h)
		}
	}
	return err
}

func send(ctx context.Context, c wire.Caller, to netip.AddrPort, h *handOver) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return c.Call(ctx, to, wire.KindHandOver, h, nil)
}

// handOverKey identifies a hand-over: each peer gets at most one per job.
type handOverKey struct {
	job, member string
}

// handOvers divides the unfinished items and the unwritten results of all open
// jobs among the peers.
func (r *Runner) handOvers(members *fleet.Members) map[handOverKey]*handOver {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	out := make(map[handOverKey]*handOver)
	home := members
	handOverFor := func(j *job, id string) *handOver {
		k := handOverKey{j.head.ID, home.Pick(id)}
		if out[k] == nil {
			out[k] = &handOver{Head: j.head, States: make(map[string]Progress)}
		}
		return out[k]
	}
	if len(members.List) == 0 {
		return nil
	}
	for _, j := range r.jobs {
		if j.ended {
			continue
		}
		home = members
		if allows := r.allowsOf(j.head); allows != nil {
			home = membersIn(members.List, allows)
		}
		if len(home.List) == 0 {
			// The store has the items and their checkpoints; progress since the last one is lost.
			continue
		}
		for _, i := range j.items {
			if i.done {
				continue
			}
			h := handOverFor(j, i.ID)
			h.Items = append(h.Items, i.Item)
			h.States[i.ID] = i.progress
		}
		for _, s := range append(j.results, j.currentPage...) {
			h := handOverFor(j, s.ID)
			h.Results = append(h.Results, s)
		}
	}
	return out
}
