package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/standin/recorded"
)

// trace is recorded events of one lease with the outcomes stated for them.
type trace struct {
	// Outcome says what the trace shows.
	Outcome string      `yaml:"Outcome"`
	Steps   []traceStep `yaml:"Steps"`
}

type traceStep struct {
	// At is counted from the start of the trace.
	At     time.Duration `yaml:"At"`
	Daemon string        `yaml:"Daemon"`
	// Do is Act (a call that is answered at once), Send (one that arrives and
	// is not answered yet), Answer or Lose (the answer of the oldest call),
	// Release (sent likewise) or Check.
	Do   string `yaml:"Do"`
	Want string `yaml:"Want"`
}

type replay struct {
	*leaseModel
	t *testing.T
}

// send lets an action arrive at the table and names it.
func (r replay) send(d *challenger, a lease.Action) string {
	name := map[lease.ActionKind]string{
		lease.Wait: "Wait", lease.Look: "Look", lease.Acquire: "Acquire", lease.Renew: "Renew",
	}[a.Kind]
	if a.Kind != lease.Wait {
		c := &call{from: d, action: a, sentAt: r.local(d)}
		r.calls = append(r.calls, c)
		r.arrive(c)
	}
	return name
}

// reply delivers or loses the answer to a daemon's oldest call.
func (r replay) reply(d *challenger, lost bool) {
	for i, c := range r.calls {
		if c.from == d {
			r.calls = append(r.calls[:i], r.calls[i+1:]...)
			r.answer(c, lost)
			return
		}
	}
	r.t.Fatal("no call under way")
}

func (r replay) do(d *challenger, s traceStep) string {
	switch s.Do {
	case "Act":
		name := r.send(d, d.lease.Next(r.local(d)))
		if name != "Wait" {
			r.reply(d, false)
		}
		return name
	case "Send":
		return r.send(d, d.lease.Next(r.local(d)))
	case "Release":
		a, ok := d.lease.Release(r.local(d))
		if !ok {
			return "NotHeld"
		}
		r.send(d, a)
		return "Released"
	case "Answer", "Lose":
		r.reply(d, s.Do == "Lose")
		return ""
	case "Check":
		e, _, err := d.lease.Check(r.local(d))
		if err != nil {
			return "NotHeld"
		}
		return fmt.Sprintf("Epoch %d", e)
	}
	r.t.Fatalf("unknown step %q", s.Do)
	return ""
}

// TestTraces replays the traces under testdata and requires the outcome stated
// for each step.
func TestTraces(t *testing.T) {
	recorded.Each(t, func(t *testing.T, x trace) {
		m := &leaseModel{start: time.Unix(1_000_000, 0)}
		daemons := make(map[string]*challenger)
		for _, name := range []string{"a", "b"} {
			daemons[name] = &challenger{lease: lease.Lease{Self: id(name)}, rate: 1}
			m.daemons = append(m.daemons, daemons[name])
		}
		r := replay{leaseModel: m, t: t}
		for i, s := range x.Steps {
			m.elapsed = s.At
			must.Eq(t, s.Want, r.do(daemons[s.Daemon], s), must.Sprintf("step %d: %+v", i, s))
			m.check(t)
		}
	})
}
