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
	spreadStep = 5 * time.Millisecond
	// spreadPings is the time between two pings of a member, in steps.
	spreadPings = 40
	// spreadEnd is how many steps the table is away.
	spreadEnd = 4000
	// spreadKnown is the step by which all members know that all answer.
	spreadKnown = 1000
	// spreadLoss is the step in which every third member falls silent.
	spreadLoss = 2000
)

// TestEvidenceReachesAllByFewPeers keeps members confirmed without the table by
// what they pass on, through the loss of a third of them, while each asks few
// others.
func TestEvidenceReachesAllByFewPeers(t *testing.T) {
	for _, n := range []int{9, 60, 180} {
		t.Run(fmt.Sprint(n), func(t *testing.T) { spread(t, n) })
	}
}

func spread(t *testing.T, n int) {
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
	asked := make([]set.Set[fleet.MemberID], n)
	for i, m := range s.Members {
		v := &view.View{Self: m, Region: "r"}
		v.TookConfig(now, 1)
		v.TookSet(now, s)
		views[m.ID] = v
		phases[i] = r.IntN(spreadPings)
	}
	for step := range spreadEnd {
		now = now.Add(spreadStep)
		for i, m := range s.Members {
			v := views[m.ID]
			if lost(step, i) {
				continue
			}
			// The table answers for one window at the start.
			if step < int(view.ContactWindow/spreadStep) {
				v.TableRead(now, now, member.HeldRevisions{Config: 1, Set: 1})
			}
			must.True(t, now.Before(v.ConfirmedUntil()), must.Sprintf("member %d at step %d", i, step))
			if step%spreadPings != phases[i] {
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
				if step >= spreadKnown && step < spreadLoss {
					asked[i].Add(to.ID)
				}
			}
		}
	}
	t.Logf("%d members: %.1f pings a second each", n, float64(pings)/float64(n)/(spreadEnd*spreadStep.Seconds()))
	// The distances around the set, and as many again for members that seem
	// silent at times.
	most := 2 * bits.Len(uint(n))
	for i := range asked {
		must.LessEq(t, most, asked[i].Len(), must.Sprintf("member %d", i))
	}
}

func lost(step, i int) bool {
	return step >= spreadLoss && i%3 == 0
}
