package view_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/standin/recorded"
)

// trace is a recorded sequence of events with the expected outcomes.
type trace struct {
	// Outcome describes the behavior that the trace checks.
	Outcome string `yaml:"Outcome"`
	// Daemons are registered at the start and hold revision 1.
	Daemons []string    `yaml:"Daemons"`
	Steps   []traceStep `yaml:"Steps"`
}

type traceStep struct {
	// At is the time since the start of the trace.
	At time.Duration `yaml:"At"`
	// Do is Boot, Change, Copy, Count, Deliver, End, Expect, Finish, Ping,
	// Read, ReadSets, Send, SendRead, Take or Write. Take fetches from the table
	// and Copy from a peer. Count checks whether enough members hold a writer's
	// revision. Deliver delivers the answers to Send and SendRead.
	Do     string   `yaml:"Do"`
	Daemon string   `yaml:"Daemon"`
	Peers  []string `yaml:"Peers"`
	Want   string   `yaml:"Want"`
}

type replay struct {
	*model
	t *testing.T
}

func (r replay) node(name string) *node {
	for _, d := range r.daemons {
		if d.view.Self.ID == daemon(name).ID {
			return d
		}
	}
	r.t.Fatalf("no daemon %q", name)
	return nil
}

func (r replay) writer(d *node) *writer {
	for _, w := range r.writers {
		if w.node == d {
			return w
		}
	}
	r.t.Fatalf("no writer %v", d.view.Self.ID)
	return nil
}

// send starts a call that its target answers at once.
func (r replay) send(from, to *node) {
	r.calls = append(r.calls, &call{from: from, to: to, sentAt: r.now})
	r.deliver(len(r.calls) - 1)
}

// change replaces the members by those with the given names, if the rules for
// set changes allow it.
func (r replay) change(d *node, names []string) string {
	var c member.Change
	for _, n := range names {
		c.Add = append(c.Add, r.node(n).view.Self)
	}
	for _, id := range r.set.IDs() {
		keep := false
		for _, m := range c.Add {
			keep = keep || m.ID == id
		}
		if !keep {
			c.Remove = append(c.Remove, id)
		}
	}
	before := r.changes
	r.commit(&setChange{node: d, head: r.config, set: r.set, change: c})
	if r.changes == before {
		return "Refused"
	}
	return "Changed"
}

func (r replay) confirmed(d *node) string {
	if clock.Passed(r.now, d.view.ConfirmedUntil()) {
		return "Unconfirmed"
	}
	return "Confirmed"
}

// do runs one step and returns its outcome, or an empty string if it has none.
func (r replay) do(s traceStep) string {
	if s.Do == "Boot" {
		r.boot(s.Daemon)
		return ""
	}
	d := r.node(s.Daemon)
	switch s.Do {
	case "Take":
		r.fetch(d)
	case "Copy":
		r.copyFrom(d, r.node(s.Peers[0]))
	case "End":
		d.ended = true
	case "Ping", "Send":
		for _, n := range s.Peers {
			r.send(d, r.node(n))
		}
	case "Read", "SendRead":
		r.send(d, nil)
	case "Write":
		r.write(d)
	case "ReadSets":
		r.writer(d).set, r.writer(d).read = r.set, true
	case "Count":
		r.checkHeld(r.writer(d))
		return map[bool]string{true: "Behind", false: "Held"}[r.writer(d).heldAt.IsZero()]
	case "Finish":
		return map[bool]string{true: "Accepted", false: "Pending"}[r.accept(r.writer(d))]
	case "Change":
		return r.change(d, s.Peers)
	case "Expect":
		return r.confirmed(d)
	case "Deliver":
	default:
		r.t.Fatalf("unknown step %q", s.Do)
	}
	if s.Do == "Ping" || s.Do == "Read" || s.Do == "Deliver" {
		r.deliverAll(d)
	}
	return ""
}

// TestTraces replays the traces under testdata and requires the expected
// outcome of each step.
func TestTraces(t *testing.T) {
	recorded.Each(t, func(t *testing.T, x trace) {
		r := replay{model: newModel(x.Daemons...), t: t}
		start := r.now
		for i, s := range x.Steps {
			r.now = start.Add(s.At)
			got := r.do(s)
			must.Eq(t, s.Want, got, must.Sprintf("step %d: %+v", i, s))
			r.check(t)
		}
	})
}
