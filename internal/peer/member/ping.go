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

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// liveWindow is how long a member counts as live after a contact. It is longer
// than view.ContactWindow, since it is about each member and not a majority.
const liveWindow = 4 * time.Second

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
	asker := p.Asker.member()
	if asker.Region != r.self.Region {
		c.view.Told(member.HeldRevisions{Config: p.Known.Config})
		return
	}
	c.view.Told(p.Known.held())
	for _, e := range p.Epochs {
		c.view.HeardEpoch(e.Duty, e.Epoch)
	}
	if !c.view.Set().Contains(asker.ID) {
		c.candidates[asker.ID] = candidate{member: asker, at: now}
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
		return Ping{Asker: daemonOf(r.self), Known: revisionsOf(v.Known()), Epochs: epochsOf(v.Epochs())}
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
	r.learn(id, member.HeldRevisions{})
	r.control.evidence.Gone.Add(id)
}

// learn keeps what a member says it holds.
func (r *Runtime) learn(id fleet.MemberID, h member.HeldRevisions) {
	known := r.control.evidence.Held[id]
	known.Config = max(known.Config, h.Config)
	known.Set = max(known.Set, h.Set)
	r.control.evidence.Held[id] = known
}

// pingPeers sends a ping to one member after another, without waiting for
// answers unless maxPings are under way.
func (r *Runtime) pingPeers(ctx context.Context) error {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	targets := make(chan fleet.MemberID)
	g, c := errgroup.WithContext(ctx)
	for range maxPings {
		g.Go(func() error {
			for to := range targets {
				_ = r.ping(c, to.Address, to)
			}
			return nil
		})
	}
	g.Go(func() error {
		defer close(targets)
		return r.pickTargets(c, random, targets)
	})
	return g.Wait()
}

// pickTargets sends whom to ping at each interval, to workers that are idle.
func (r *Runtime) pickTargets(ctx context.Context, random *rand.Rand, targets chan<- fleet.MemberID) error {
	t := time.NewTicker(view.PingEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		ids, err := ask(ctx, r, func(now time.Time) []fleet.MemberID {
			r.tend(now)
			return r.pick(now, random)
		})
		if err != nil {
			continue
		}
		for _, to := range ids {
			select {
			case targets <- to:
			default:
			}
		}
	}
}

// pick returns whom to ping now. A daemon that is not registered asks the
// member that adds candidates every other time.
func (r *Runtime) pick(now time.Time, random *rand.Rand) []fleet.MemberID {
	c := &r.control
	first := firstOf(c.members, r.self.Region)
	candidate := first.Address.IsValid() && !c.view.Set().Contains(r.self.ID) && first != r.self.ID
	var ids []fleet.MemberID
	for range c.view.Pings(now) {
		if candidate && random.IntN(2) == 0 {
			ids = append(ids, first)
			continue
		}
		if m, ok := c.view.Pick(now, random); ok {
			ids = append(ids, m.ID)
		}
	}
	return ids
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

// tend drops what has aged and publishes the live members when they changed.
func (r *Runtime) tend(now time.Time) {
	c := &r.control
	c.view.Tick(now)
	for id, x := range c.candidates {
		if now.Sub(x.at) > liveWindow || c.view.Set().Contains(id) {
			delete(c.candidates, id)
		}
	}
	if ms := r.liveMembers(now); !slices.Equal(ms, c.members) {
		c.members = ms
		r.replace()
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

func sortMembers(ms []fleet.Member) {
	slices.SortFunc(ms, func(a, b fleet.Member) int { return member.Compare(a.ID, b.ID) })
}
