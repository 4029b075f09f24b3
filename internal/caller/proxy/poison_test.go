package proxy_test

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	standengine "github.com/lacewingtally/lacewingtally/internal/standin/engine"
	"github.com/lacewingtally/lacewingtally/internal/standin/link"
)

// harmlessPrompts run concurrently with a request that crashes its servers.
var harmlessPrompts = []string{"ovens", "fridges", "mixers", "knives", "pans", "sinks"}

// TestMatrixPoison sends a request that crashes each engine that runs it, after
// various numbers of chunks, concurrently with harmless requests through one to
// three daemons. A crashed engine restarts soon, late or not at all. The request
// must be quarantined after two crashes and the harmless ones must complete.
func TestMatrixPoison(t *testing.T) {
	chunks := []int{0, 1, tokens / 2, tokens}
	downs := []int{1, 5_000, 3_600_000}
	daemons := []int{1, 2, 3}
	n := 0
	for _, after := range chunks {
		for _, down := range downs {
			for _, d := range daemons {
				synctest.Test(t, func(t *testing.T) { poisonCell(t, after, down, d) })
				n++
			}
		}
	}
	must.EqOp(t, len(chunks)*len(downs)*len(daemons), n)
	t.Logf("%d cells", n)
}

func poisonCell(t *testing.T, after, down, daemons int) {
	f := newFixture(t, fixtureOptions{
		daemons: daemons, engines: 5,
		engine: []standengine.Option{standengine.WithTokensPerSecond(20)},
	})
	defer f.close()
	for _, e := range f.engines {
		e.SetFaults(standengine.Fault{Kind: standengine.FaultCrash, After: after, Word: "poison", Down: down})
	}
	note := must.Sprintf("after %d chunks, down %d ms, %d daemons", after, down, daemons)
	var w sync.WaitGroup
	for n, prompt := range harmlessPrompts {
		w.Go(func() {
			text, err := f.generate(n%daemons, key, prompt, nil)
			must.NoError(t, err, note)
			must.EqOp(t, standengine.Text(prompt, 7, 0, tokens), text, note)
		})
	}
	_, err := f.generate(0, key, "poison", nil)
	requireQuarantined(t, err, note)
	// Repeats through every daemon must be refused at once, as soon as the peers
	// have received the quarantine.
	synctest.Wait()
	for n := range 2 * daemons {
		start := time.Now()
		_, err := f.generate(n%daemons, key, "poison", nil)
		requireQuarantined(t, err, note)
		must.EqOp(t, start, time.Now(), note)
	}
	w.Wait()
	// Wait for the updates that are still on their way to the peers.
	synctest.Wait()
	must.EqOp(t, 2, crashCount(f), note)
	for _, d := range f.daemons {
		for _, prompt := range harmlessPrompts {
			e := d.suspects.Check(time.Now(), quarantine.FingerprintOf("bakers", "assistant", prompt))
			must.EqOp(t, quarantine.Clear, e.Status, note)
		}
	}
}

func TestPoisonRunsAgainAfterQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{engines: 3})
		defer f.close()
		for _, e := range f.engines {
			e.SetFaults(standengine.Fault{Kind: standengine.FaultCrash, After: 1, Word: "poison", Count: 1})
		}
		_, err := f.generate(0, key, "poison", nil)
		r := requireQuarantined(t, err)
		time.Sleep(r.RetryAfter.AsDuration())
		text, err := f.generate(0, key, "poison", nil)
		must.NoError(t, err)
		must.EqOp(t, standengine.Text("poison", 7, 0, tokens), text)
	})
}

func crashCount(f *fleetFixture) int {
	n := 0
	for _, e := range f.engines {
		n += e.Crashes()
	}
	return n
}

// requireQuarantined checks that a request was refused because it is quarantined.
func requireQuarantined(t *testing.T, err error, note ...must.Setting) *callerv1.Refusal {
	r := refusalOf(t, err)
	must.EqOp(t, callerv1.Refusal_KIND_GAVE_UP, r.Kind, note...)
	must.EqOp(t, string(refusal.ReasonQuarantine), r.Reason, note...)
	must.Positive(t, r.RetryAfter.AsDuration(), note...)
	return r
}

// TestUnreachableServerMakesNoSuspect makes a server unreachable, so that its
// connections stop responding and new ones are not accepted, or crashes a leaving
// server. Neither may make a request a suspect.
func TestUnreachableServerMakesNoSuspect(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var lost atomic.Bool
			hang := func(e link.Event) link.Action {
				if lost.Load() && e.To == address(1, 0) {
					return link.Action{Fault: link.FaultHang}
				}
				return link.Action{}
			}
			f := newFixture(t, fixtureOptions{
				engines: 2, decide: hang, engine: []standengine.Option{standengine.WithTokensPerSecond(10)},
			})
			defer f.close()
			var w sync.WaitGroup
			for _, prompt := range harmlessPrompts {
				w.Go(func() {
					text, err := f.generate(0, key, prompt, nil)
					must.NoError(t, err)
					must.EqOp(t, standengine.Text(prompt, 7, 0, tokens), text)
				})
			}
			time.Sleep(550 * time.Millisecond)
			if leaving {
				f.source.Change(func(s *view.State) {
					s.Servers = slices.Clone(s.Servers)
					s.Servers[0].State = fleet.StateLeaving
				})
				f.engines[0].Crash(time.Hour)
			}
			lost.Store(!leaving)
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				for _, prompt := range harmlessPrompts {
					e := f.daemons[0].suspects.Check(time.Now(), quarantine.FingerprintOf("bakers", "assistant", prompt))
					must.EqOp(t, quarantine.Clear, e.Status)
				}
			}
			w.Wait()
		})
	}
}
