package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// liveWindow is how long a member counts as live after a contact.
const liveWindow = 3 * time.Second

// maxPolls bounds the direct pings of one poll that are in flight.
const maxPolls = 32

// handlePing answers a peer's ping.
func (r *Runtime) handlePing(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var p Ping
	if err := msgpack.Unmarshal(body, &p); err != nil {
		return nil, errors.Wrap(err, "member: ping")
	}
	a, err := ask(ctx, r, func(now time.Time) option.Option[Pong] {
		r.pinged(now, p)
		if r.control.left {
			return option.Option[Pong]{}
		}
		return option.Some(pongOf(r.control.view.Echo(now)))
	})
	if err != nil {
		return nil, err
	}
	if pong, ok := a.Get(); ok {
		return pong, nil
	}
	return nil, errLeft
}

// pinged takes what the asker of a ping says of itself. It proves no contact:
// the ping may have been on its way for long.
func (r *Runtime) pinged(now time.Time, p Ping) {
	c := &r.control
	known := p.Known
	if p.Member.Region != r.self.Region {
		known.Set = 0
	}
	c.view.Told(known)
	if p.Member.Region != r.self.Region {
		return
	}
	for _, e := range p.Epochs {
		c.view.HeardEpoch(e.Duty, e.Epoch)
	}
	if !c.view.Set().Contains(p.Member.ID) {
		c.candidates[p.Member.ID] = candidate{member: p.Member, at: now}
	}
}

// ping asks one daemon and takes its answer. expected is the run of the daemon
// that is thought to be at the address; another run there proves its end.
func (r *Runtime) ping(ctx context.Context, to netip.AddrPort, expected fleet.MemberID) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sentAt := time.Now()
	p, err := ask(ctx, r, func(time.Time) Ping {
		v := &r.control.view
		return Ping{Member: r.self, Known: v.Known(), Epochs: v.Epochs()}
	})
	if err != nil {
		return err
	}
	var a Pong
	if err := r.caller.Call(ctx, to, wire.KindPing, p, &a); err != nil {
		return err
	}
	return r.do(ctx, func(now time.Time) {
		c := &r.control
		e := a.echo()
		c.view.Heard(now, sentAt, e)
		r.learn(e.Member.ID, e.Held)
		if expected != (fleet.MemberID{}) && expected != e.Member.ID {
			r.ended(expected)
		}
	})
}

// ended keeps that a run of a daemon has ended.
func (r *Runtime) ended(id fleet.MemberID) {
	r.learn(id, member.Held{})
	r.control.evidence.Gone.Add(id)
}

// learn keeps what a member says it holds.
func (r *Runtime) learn(id fleet.MemberID, h member.Held) {
	known := r.control.evidence.Held[id]
	known.Config = max(known.Config, h.Config)
	known.Set = max(known.Set, h.Set)
	r.control.evidence.Held[id] = known
}

// pingPeers sends a ping to one member after another, without waiting for
// answers.
func (r *Runtime) pingPeers(ctx context.Context) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := semaphore.NewWeighted(maxPings)
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	g, c := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			_ = g.Wait()
			return ctx.Err()
		case <-t.C:
		}
		m, err := ask(c, r, func(now time.Time) option.Option[fleet.MemberID] {
			r.tend(now)
			return r.pick(now, random)
		})
		to, ok := m.Get()
		if err != nil || !ok || !s.TryAcquire(1) {
			continue
		}
		g.Go(func() error {
			defer s.Release(1)
			_ = r.ping(c, to.Address, to)
			return nil
		})
	}
}

// pick returns whom to ping next.
func (r *Runtime) pick(now time.Time, random *rand.Rand) option.Option[fleet.MemberID] {
	if m, ok := r.control.view.Pick(now, random); ok {
		return option.Some(m.ID)
	}
	return option.Option[fleet.MemberID]{}
}

// poll pings members until each has been asked once.
func (r *Runtime) poll(ctx context.Context, ids []fleet.MemberID) {
	var g errgroup.Group
	g.SetLimit(maxPolls)
	for _, id := range ids {
		if id == r.self.ID {
			continue
		}
		g.Go(func() error {
			_ = r.ping(ctx, id.Address, id)
			return nil
		})
	}
	_ = g.Wait()
}

// tend drops what has aged and tells joined and lost members.
func (r *Runtime) tend(now time.Time) {
	c := &r.control
	for id, x := range c.candidates {
		if now.Sub(x.at) > liveWindow || c.view.Set().Contains(id) {
			delete(c.candidates, id)
		}
	}
}

// tookSet takes over a set of the region and records the difference.
func (r *Runtime) tookSet(now time.Time, s member.Set) {
	c := &r.control
	old := c.view.Set()
	if s.Revision <= old.Revision {
		return
	}
	c.view.TookSet(now, s)
	c.setAt = now
	r.learn(r.self.ID, c.view.Held())
	for _, m := range s.Members {
		if !old.Contains(m.ID) {
			r.record(timeline.Event{Kind: timeline.MemberJoined, Detail: m.ID.String()})
		}
	}
	for _, m := range old.Members {
		if !s.Contains(m.ID) {
			r.record(timeline.Event{Kind: timeline.MemberLost, Detail: m.ID.String()})
		}
	}
	r.forgetEvidence(s)
}

// forgetEvidence drops what was learned of daemons that no set mentions.
func (r *Runtime) forgetEvidence(s member.Set) {
	e := &r.control.evidence
	for id := range e.Held {
		if id != r.self.ID && !s.Contains(id) && !slices.Contains(s.Previous, id) && !r.elsewhere(id) {
			delete(e.Held, id)
			e.Gone.Remove(id)
		}
	}
}

// elsewhere reports whether a daemon is registered in another region.
func (r *Runtime) elsewhere(id fleet.MemberID) bool {
	for _, s := range r.control.others {
		if s.Contains(id) || slices.Contains(s.Previous, id) {
			return true
		}
	}
	return false
}

func sameMembers(a, b []fleet.Member) bool {
	return slices.Equal(a, b)
}

func sortMembers(ms []fleet.Member) {
	slices.SortFunc(ms, func(a, b fleet.Member) int { return member.Compare(a.ID, b.ID) })
}
