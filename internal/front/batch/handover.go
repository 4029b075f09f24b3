package batch

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// handOverTimeout bounds one message to a peer.
const handOverTimeout = 500 * time.Millisecond

// handOver is what a daemon that leaves gives to a peer while it cannot write to
// the store: the items of one job, and results that are not listed yet.
type handOver struct {
	Head    Head
	Items   []Item
	States  map[string]Progress
	Results []Result
}

// Handle takes items from daemons that leave.
func (r *Runner) Handle(m *wire.Mux) {
	m.Handle(wire.KindHandOver, func(_ context.Context, _ netip.AddrPort, body []byte) (any, error) {
		var h handOver
		if err := msgpack.Unmarshal(body, &h); err != nil {
			return nil, errors.Wrap(err, "batch: hand-over")
		}
		return nil, r.adopt(h)
	})
}

// errLeaving says that a daemon takes no items because it leaves itself.
var errLeaving = errors.New("batch: daemon leaves")

// adopt takes what a peer hands over.
func (r *Runner) adopt(h handOver) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.leaving {
		return errLeaving
	}
	j := r.add(h.Head)
	if j.ended {
		return nil
	}
	taken := 0
	for _, i := range h.Items {
		if j.items[i.ID] != nil {
			continue
		}
		taken++
		p := h.States[i.ID]
		if p.After > 0 {
			p.Lineage = r.lineage()
		}
		j.items[i.ID] = &item{Item: i, progress: p, readyAt: time.Now()}
	}
	j.results = append(j.results, h.Results...)
	r.log.Info("items handed over", zap.String("Job", h.Head.ID), zap.Int("Items", taken), zap.Int("Results", len(h.Results)))
	r.kick()
	return nil
}

// handOverAll gives to peers what could not be written to the store. Each item
// goes to the daemon that would take it over anyway.
func (r *Runner) handOverAll(ctx context.Context, c wire.Caller) {
	members := &fleet.Members{}
	addresses := make(map[string]netip.AddrPort)
	for _, m := range r.runners() {
		if m.ID != r.self {
			members.List = append(members.List, m)
			addresses[m.ID] = m.Address
		}
	}
	for id, h := range r.parts(members) {
		err := r.give(ctx, c, addresses, id.member, h)
		r.log.Info("items given to a peer", zap.String("Job", id.job), zap.String("Member", id.member),
			zap.Int("Items", len(h.Items)), zap.Int("Results", len(h.Results)), zap.Error(err))
	}
}

// give sends a part to a peer, or to any other if that one does not take it.
func (r *Runner) give(ctx context.Context, c wire.Caller, peers map[string]netip.AddrPort, first string, h *handOver) error {
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

// part names what one peer gets of one job.
type part struct {
	job, member string
}

// parts divides the items and results of all open jobs among the peers.
func (r *Runner) parts(members *fleet.Members) map[part]*handOver {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	out := make(map[part]*handOver)
	at := func(j *job, work string) *handOver {
		p := part{j.head.ID, members.Pick(work)}
		if out[p] == nil {
			out[p] = &handOver{Head: j.head, States: make(map[string]Progress)}
		}
		return out[p]
	}
	if len(members.List) == 0 {
		return nil
	}
	for _, j := range r.jobs {
		if j.ended {
			continue
		}
		for _, i := range j.items {
			if i.done {
				continue
			}
			h := at(j, i.ID)
			h.Items = append(h.Items, i.Item)
			h.States[i.ID] = i.progress
		}
		for _, s := range append(j.results, j.inPage...) {
			h := at(j, s.ID)
			h.Results = append(h.Results, s)
		}
	}
	return out
}
