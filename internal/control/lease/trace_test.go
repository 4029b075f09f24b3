package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/standin/recorded"
)

// trace is a recorded sequence of events of one lease with the expected outcomes.
type trace struct {
	// Outcome describes what the trace shows.
	Outcome string      `yaml:"Outcome"`
	Steps   []traceStep `yaml:"Steps"`
}

type traceStep struct {
	// At is the time since the start of the trace.
	At     time.Duration `yaml:"At"`
	Daemon string        `yaml:"Daemon"`
	// Do is Act (make the next call and answer it at once), Send (make the
	// next call without an answer yet), Answer or Lose (deliver or lose the
	// answer to the oldest call), Release (sent without an answer yet) or
	// Check.
	Do   string `yaml:"Do"`
	Want string `yaml:"Want"`
}

type replayer struct {
	*leaseModel
	t *testing.T
}

// send applies an action to the row and returns the name of its kind.
func (r replayer) send(d *modelDaemon, a lease.Action) string {
	name := map[lease.ActionKind]string{
		lease.Wait: "Wait", lease.Read: "Read", lease.Acquire: "Acquire", lease.Renew: "Renew",
	}[a.Kind]
	if a.Kind != lease.Wait {
		c := &call{daemon: d, action: a, sentAt: r.localTime(d)}
		r.calls = append(r.calls, c)
		r.arrive(c)
	}
	return name
}

// reply delivers or loses the answer to a daemon's oldest call.
func (r replayer) reply(d *modelDaemon, lost bool) {
	for i, c := range r.calls {
		if c.daemon == d {
			r.calls = append(r.calls[:i], r.calls[i+1:]...)
			r.answer(c, lost)
			return
		}
	}
	r.t.Fatal("no call in flight")
}

func (r replayer) execute(d *modelDaemon, s traceStep) string {
	switch s.Do {
	case "Act":
		name := r.send(d, d.lease.Next(r.localTime(d)))
		if name != "Wait" {
			r.reply(d, false)
		}
		return name
	case "Send":
		return r.send(d, d.lease.Next(r.localTime(d)))
	case "Release":
		a, ok := d.lease.Release(r.localTime(d))
		if !ok {
			return "NotHeld"
		}
		r.send(d, a)
		return "Released"
	case "Answer", "Lose":
		r.reply(d, s.Do == "Lose")
		return ""
	case "Check":
		e, _, err := d.lease.Check(r.localTime(d))
		if err != nil {
			return "NotHeld"
		}
		return fmt.Sprintf("Epoch %d", e)
	}
	r.t.Fatalf("unknown step %q", s.Do)
	return ""
}

// TestTraces replays the traces under testdata and requires the expected outcome
// of each step.
func TestTraces(t *testing.T) {
	recorded.Each(t, func(t *testing.T, x trace) {
		m := &leaseModel{start: time.Unix(1_000_000, 0)}
		daemons := make(map[string]*modelDaemon)
		for _, name := range []string{"a", "b"} {
			daemons[name] = &modelDaemon{lease: lease.Lease{Self: id(name)}, rate: 1}
			m.daemons = append(m.daemons, daemons[name])
		}
		r := replayer{leaseModel: m, t: t}
		for i, s := range x.Steps {
			m.elapsed = s.At
			must.Eq(t, s.Want, r.execute(daemons[s.Daemon], s), must.Sprintf("step %d: %+v", i, s))
			m.requireSingleHolder(t)
		}
	})
}
