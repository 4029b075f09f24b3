package weight_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/weight"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
	"github.com/lacewingtally/lacewingtally/internal/standin/recorded"
)

// trace is a recorded roll-out with its expected outcome.
type trace struct {
	Servers int     `yaml:"Servers"`
	Events  []event `yaml:"Events"`
	// Outcome lists the swaps ordered, each with its time since the start.
	Outcome []string `yaml:"Outcome"`
}

// event is one input; absent fields have no effect.
type event struct {
	At      time.Duration       `yaml:"At"`
	Publish fleet.WeightVersion `yaml:"Publish"`
	Report  *report             `yaml:"Report"`
	Fail    fleet.ServerID      `yaml:"Fail"`
	Leave   fleet.ServerID      `yaml:"Leave"`
}

type report struct {
	Server  fleet.ServerID      `yaml:"Server"`
	Version fleet.WeightVersion `yaml:"Version"`
}

func TestTraces(t *testing.T) {
	recorded.Each(t, func(t *testing.T, x trace) {
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		all := servers(x.Servers)
		r := &weight.Rollout{Policy: weight.Policy{Share: 0.5, MaxFailures: 2}}
		reportAll(r, start, all, 1)
		var got []string
		for _, e := range x.Events {
			now := start.Add(e.At)
			all = e.apply(now, r, all)
			for _, s := range r.Decide(now) {
				got = append(got, fmt.Sprintf("%s %s to %d", e.At, s.Server.ID, s.Weights.Version))
			}
		}
		must.Eq(t, x.Outcome, got)
	})
}

func (e event) apply(now time.Time, r *weight.Rollout, all []fleet.Server) []fleet.Server {
	if e.Publish > 0 {
		r.Publish(weights.Weights{Pool: "p", Version: e.Publish})
	}
	if e.Report != nil {
		r.Report(now, e.Report.Server, e.Report.Version)
	}
	if e.Fail != "" {
		r.Fail(now, e.Fail)
	}
	for i := range all {
		if all[i].ID == e.Leave {
			all[i].State = fleet.StateLeaving
		}
	}
	r.SetServers(all)
	return all
}

// TestRolloutInvariants runs a roll-out with servers that swap, fail, do not
// respond or report late.
func TestRolloutInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "servers")
		rate := rapid.SampledFrom([]float64{0, 2, 20}).Draw(t, "rate")
		r := &weight.Rollout{Policy: weight.Policy{Share: 0.25, Rate: rate}}
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		all := servers(n)
		reportAll(r, now, all, 1)
		version := fleet.WeightVersion(1)
		swapping := make(map[fleet.ServerID]time.Time)
		ordered := 0
		for step := range 300 {
			now = now.Add(tick)
			if rapid.IntRange(0, 50).Draw(t, "publish") == 0 {
				version++
				r.Publish(weights.Weights{Pool: "p", Version: version})
			}
			for id, at := range swapping {
				if now.Sub(at) >= 5*time.Second {
					delete(swapping, id)
				}
			}
			for _, s := range r.Decide(now) {
				must.MapNotContainsKey(t, swapping, s.Server.ID)
				swapping[s.Server.ID] = now
				ordered++
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					r.Fail(now, s.Server.ID)
					delete(swapping, s.Server.ID)
				case 1:
					r.Report(now, s.Server.ID, s.Weights.Version)
					delete(swapping, s.Server.ID)
				}
			}
			must.LessEq(t, max(1, n/4), len(swapping))
			if rate > 0 {
				must.LessEq(t, rate*tick.Seconds()*float64(step+2)+1, float64(ordered))
			}
		}
	})
}
