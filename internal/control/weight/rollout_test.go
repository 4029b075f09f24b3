package weight_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/weight"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
)

const tick = 100 * time.Millisecond

func servers(n int) []fleet.Server {
	var all []fleet.Server
	for i := range n {
		all = append(all, fleet.Server{ID: fleet.ServerID(fmt.Sprintf("s%03d", i)), Pool: "p", State: fleet.StateLive})
	}
	return all
}

func reportAll(r *weight.Rollout, now time.Time, all []fleet.Server, v fleet.WeightVersion) {
	r.SetServers(all)
	for _, s := range all {
		r.Report(now, s.ID, v)
	}
}

func TestConcurrentSwapsStayWithinShare(t *testing.T) {
	r := &weight.Rollout{Policy: weight.Policy{Share: 0.25}}
	now := time.Now()
	all := servers(9)
	reportAll(r, now, all, 1)
	r.Publish(weights.Weights{Pool: "p", Version: 2})
	swapping := map[fleet.ServerID]time.Time{}
	for range 200 {
		for id, at := range swapping {
			if !now.Before(at) {
				delete(swapping, id)
				r.Report(now, id, 2)
			}
		}
		for _, s := range r.Decide(now) {
			swapping[s.Server.ID] = now.Add(time.Second)
		}
		must.LessEq(t, 2, len(swapping))
		now = now.Add(tick)
	}
	must.True(t, r.Settled(now))
}

func TestFailingServerIsQuarantinedAndOthersContinue(t *testing.T) {
	r := &weight.Rollout{Policy: weight.Policy{Share: 0.25, MaxFailures: 2}}
	now := time.Now()
	all := servers(4)
	reportAll(r, now, all, 1)
	r.Publish(weights.Weights{Pool: "p", Version: 2})
	failures := 0
	for range 100 {
		for _, s := range r.Decide(now) {
			if s.Server.ID == "s001" {
				failures++
				r.Fail(now, s.Server.ID)
				continue
			}
			r.Report(now, s.Server.ID, 2)
		}
		now = now.Add(tick)
	}
	must.Eq(t, 2, failures)
	must.Eq(t, []fleet.ServerID{"s001"}, r.Quarantined(now))
	must.True(t, r.Settled(now))
}
