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
// than view.ContactWindow because it applies to each member, not to a majority.
const liveWindow = 4 * time.Second

// maxDirectPings bounds the direct pings in flight of one pingAll or Confirm.
const maxDirectPings = 32

// handlePing answers a peer's ping.
func (r *Runtime) handlePing(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var p Ping
	if err := msgpack.Unmarshal(body, &p); err != nil {
		return nil, errors.Wrap(err, "member: ping")
	}
	a, err := doResult(ctx, r, func(now time.Time) option.Option[Pong] {
		r.recordPing(now, p)
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

// recordPing records what the sender of a ping reports, and records a sender
// that is not registered as a candidate. A received ping does not count as a
// contact, because the ping may have been delayed in transit.
func (r *Runtime) recordPing(now time.Time, p Ping) {
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
		c.candidates[asker.ID] = candidate{member: asker, pingedAt: now}
	}
}

// ping pings one daemon and records its answer. expected is the incarnation
// that is believed to be at the address; an answer from another one proves that
// it has ended. The zero MemberID means that the incarnation is not known.
func (r *Runtime) ping(ctx context.Context, to netip.AddrPort, expected fleet.MemberID) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sentAt := time.Now()
	p, err := doResult(ctx, r, func(time.Time) Ping {
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
		r.recordHeld(e.Member.ID, e.Held)
		if expected != (fleet.MemberID{}) && expected != e.Member.ID {
			r.recordEnded(expected)
		}
	})
}

// recordEnded records that an incarnation of a daemon has ended.
func (r *Runtime) recordEnded(id fleet.MemberID) {
	r.recordHeld(id, member.HeldRevisions{})
	r.control.evidence.Gone.Add(id)
}

// recordHeld records the revisions that a member reports to hold.
func (r *Runtime) recordHeld(id fleet.MemberID, h member.HeldRevisions) {
	known := r.control.evidence.Held[id]
	known.Config = max(known.Config, h.Config)
	known.Set = max(known.Set, h.Set)
	r.control.evidence.Held[id] = known
}

// pingPeers pings one member after another, without waiting for answers unless
// maxPings are in flight.
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
		return r.sendTargets(c, random, targets)
	})
	return g.Wait()
}

// sendTargets sends the members to ping at each interval to idle workers. A
// target is skipped when no worker is idle.
func (r *Runtime) sendTargets(ctx context.Context, random *rand.Rand, targets chan<- fleet.MemberID) error {
	t := time.NewTicker(view.PingEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		ids, err := doResult(ctx, r, func(now time.Time) []fleet.MemberID {
			r.refreshMembers(now)
			return r.pingTargets(now, random)
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

// pingTargets returns the members to ping now. A daemon that is not registered
// sends half of its pings, at random, to the member that adds candidates.
func (r *Runtime) pingTargets(now time.Time, random *rand.Rand) []fleet.MemberID {
	c := &r.control
	first := firstInRegion(c.members, r.self.Region)
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

// pingAll pings each of the members once and waits for the answers.
func (r *Runtime) pingAll(ctx context.Context, ids []fleet.MemberID) {
	var g errgroup.Group
	g.SetLimit(maxDirectPings)
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

// refreshMembers drops expired contacts and candidates, and publishes the live
// members if they have changed.
func (r *Runtime) refreshMembers(now time.Time) {
	c := &r.control
	c.view.Tick(now)
	for id, x := range c.candidates {
		if now.Sub(x.pingedAt) > liveWindow || c.view.Set().Contains(id) {
			delete(c.candidates, id)
		}
	}
	if ms := r.liveMembers(now); !slices.Equal(ms, c.members) {
		c.members = ms
		r.publishState()
	}
}

// applySet applies a set of the region if it is newer than the held one, and
// records the members that joined and were lost.
func (r *Runtime) applySet(now time.Time, s member.Set) {
	c := &r.control
	old := c.view.Set()
	if s.Revision <= old.Revision {
		return
	}
	c.view.TookSet(now, s)
	c.setAppliedAt = now
	r.recordHeld(r.self.ID, c.view.Held())
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
	r.pruneEvidence(s)
}

// pruneEvidence drops the evidence on daemons that are in no current or
// previous set.
func (r *Runtime) pruneEvidence(s member.Set) {
	e := &r.control.evidence
	for id := range e.Held {
		if id != r.self.ID && !s.Contains(id) && !slices.Contains(s.Previous, id) && !r.inOtherRegion(id) {
			delete(e.Held, id)
			e.Gone.Remove(id)
		}
	}
}

// inOtherRegion reports whether a daemon is in the current or previous set of
// another region.
func (r *Runtime) inOtherRegion(id fleet.MemberID) bool {
	for _, s := range r.control.otherSets {
		if s.Contains(id) || slices.Contains(s.Previous, id) {
			return true
		}
	}
	return false
}

func sortMembers(ms []fleet.Member) {
	slices.SortFunc(ms, func(a, b fleet.Member) int { return member.Compare(a.ID, b.ID) })
}
