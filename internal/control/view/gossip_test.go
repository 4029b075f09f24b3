package view_test

import (
	"fmt"
	"math/bits"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/seed"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

const (
	gossipStep = 5 * time.Millisecond
	// gossipPingSteps is the interval between two pings of a member, in steps.
	gossipPingSteps = 40
	// gossipSteps is the number of steps of a run.
	gossipSteps = 4000
	// gossipConverged is the step by which every member has contact ages of all
	// others.
	gossipConverged = 1000
	// gossipLoss is the step in which every third member stops responding.
	gossipLoss = 2000
)

// TestContactsReachAllMembersThroughFewPeers requires that members stay
// confirmed without the table by the contact ages that they exchange, also
// after the loss of a third of them, while each pings only a few others.
func TestContactsReachAllMembersThroughFewPeers(t *testing.T) {
	for _, n := range []int{9, 60, 180} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { testGossip(t, n) })
	}
}

func testGossip(t *testing.T, n int) {
	r := seed.Rand(uint64(n))
	now := time.Now()
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("%03d", i))
	}
	s := setOf(1, names...)
	views := make(map[fleet.MemberID]*view.View)
	phases := make([]int, n)
	pings := 0
	pinged := make([]set.Set[fleet.MemberID], n)
	for i, m := range s.Members {
		v := &view.View{Self: m, Region: "r"}
		v.TookConfig(now, 1)
		v.TookSet(now, s)
		views[m.ID] = v
		phases[i] = r.IntN(gossipPingSteps)
	}
	for step := range gossipSteps {
		now = now.Add(gossipStep)
		for i, m := range s.Members {
			v := views[m.ID]
			if lost(step, i) {
				continue
			}
			// The table answers only during the first ContactWindow.
			if step < int(view.ContactWindow/gossipStep) {
				v.TableRead(now, now, member.HeldRevisions{Config: 1, Set: 1})
			}
			must.True(t, now.Before(v.ConfirmedUntil()), must.Sprintf("member %d at step %d", i, step))
			if step%gossipPingSteps != phases[i] {
				continue
			}
			for range v.Pings(now) {
				pings++
				to, ok := v.Pick(now, r)
				must.True(t, ok)
				if lost(step, s.Index(to.ID)) {
					continue
				}
				v.Heard(now, now, views[to.ID].Echo(now))
				if step >= gossipConverged && step < gossipLoss {
					pinged[i].Add(to.ID)
				}
			}
		}
	}
	t.Logf("%d members: %.1f pings a second each", n, float64(pings)/float64(n)/(gossipSteps*gossipStep.Seconds()))
	// The distances around the set, and as many again for members that appear
	// unresponsive at times.
	maxPeers := 2 * bits.Len(uint(n))
	for i := range pinged {
		must.LessEq(t, maxPeers, pinged[i].Len(), must.Sprintf("member %d", i))
	}
}

func lost(step, i int) bool {
	return step >= gossipLoss && i%3 == 0
}
