package grant

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

func TestAcquireThroughAnyDaemon(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, 3, 2, 2)
		defer w.end()
		for i, d := range w.daemons {
			g, err := d.client.Acquire(t.Context(), ask(fmt.Sprint(i), time.Minute))
			must.NoError(t, err)
			must.NoError(t, d.client.Check(time.Now(), g))
			d.client.Release(g, gate.Report{Outcome: gate.Completed, Tokens: 100})
		}
	})
}

func TestWaitingRequestGetsTheReleasedSlot(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, 3, 1, 1)
		defer w.end()
		d := w.other(w.owner())
		g, err := d.client.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		got := make(chan error, 1)
		go func() {
			g, err := w.owner().client.Acquire(t.Context(), ask("2", time.Minute))
			w.owner().client.Release(g, gate.Report{Outcome: gate.Completed})
			got <- err
		}()
		time.Sleep(5 * time.Second)
		select {
		case err := <-got:
			t.Fatal("granted above capacity", err)
		default:
		}
		d.client.Release(g, gate.Report{Outcome: gate.Completed})
		must.NoError(t, <-got)
	})
}

func TestDeadlineRefuses(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, 3, 1, 1)
		defer w.end()
		d := w.other(w.owner())
		g, err := d.client.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		_, err = d.client.Acquire(t.Context(), ask("2", 3*time.Second))
		must.ErrorIs(t, err, refusal.ErrNotRun)
		d.client.Release(g, gate.Report{Outcome: gate.Completed})
	})
}

func TestDispatcherDeathKeepsCapacity(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, 3, 1, 1)
		defer w.end()
		first := w.owner()
		d := w.other(first)
		g, err := d.client.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		w.kill(first)
		w.spread(first)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = d.client.Acquire(ctx, ask("2", time.Minute))
		must.ErrorIs(t, err, refusal.ErrNotRun, must.Sprint("the next dispatcher knows what runs"))
		d.client.Release(g, gate.Report{Outcome: gate.Completed})
		_, err = d.client.Acquire(t.Context(), ask("3", time.Minute))
		must.NoError(t, err)
	})
}

func TestLeavingServerGetsNoGrantAnywhere(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, 5, 2, 4)
		defer w.end()
		leaving := w.list[0].ID
		w.daemons[4].client.Leave(time.Now(), leaving)
		synctest.Wait()
		for i, d := range w.daemons {
			d.servers.UpdateList(time.Now(), w.list)
			g, err := d.client.Acquire(t.Context(), ask(fmt.Sprint(i), time.Second))
			if err == nil {
				must.NotEq(t, leaving, g.Server.ID)
			}
		}
	})
}

// TestNoticeIsRepeatedAfterACut has no traffic that could carry the notice.
func TestNoticeIsRepeatedAfterACut(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, 4, 2, 4)
		defer w.end()
		from := w.daemons[0]
		set := func(c wire.Cut) {
			for _, d := range w.daemons[1:] {
				w.network.Cut(from.member.ID.Address, d.member.ID.Address, c)
			}
		}
		set(wire.CutSilent)
		from.client.Leave(time.Now(), w.list[0].ID)
		time.Sleep(3 * time.Second)
		must.True(t, w.daemons[1].servers.Snapshot().Usable(w.list[0].ID))
		set(0)
		time.Sleep(2 * demandPeriod)
		for _, d := range w.daemons {
			must.False(t, d.servers.Snapshot().Usable(w.list[0].ID))
		}
	})
}

func TestGrantEndsWithItsWindow(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, 2, 1, 1)
		defer w.end()
		c := w.daemons[0].client
		g, err := c.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		must.NoError(t, c.Check(time.Now(), g))
		time.Sleep(cell.GrantWindow)
		must.ErrorIs(t, c.Check(time.Now(), g), ErrLeaving)
		c.Release(g, gate.Report{Outcome: gate.Stopped})
	})
}

func TestSilentDispatcherIsPassedOver(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, 3, 2, 2)
		defer w.end()
		o := w.owner()
		d := w.other(o)
		w.network.Cut(d.member.ID.Address, o.member.ID.Address, wire.CutSilent)
		begun := time.Now()
		_, err := d.client.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		must.Less(t, 5*time.Second, time.Since(begun))
	})
}

func TestLimitHoldsOverDaemons(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, 4, 1, 1000)
		defer w.end()
		w.config = config.NewSnapshot(config.Config{Defaults: map[config.Setting]float64{config.RequestsPerSecond: 40}})
		w.spread()
		const seconds = 30
		granted := 0
		for range seconds * 20 {
			for i, d := range w.daemons {
				for range 1 + 3*i {
					g, err := d.client.Acquire(t.Context(), ask("", time.Second))
					if err != nil {
						must.ErrorIs(t, err, refusal.ErrNotRun)
						continue
					}
					granted++
					d.client.Release(g, gate.Report{Outcome: gate.Completed, Tokens: 100})
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("granted %d in %d s of a limit of 40/s", granted, seconds)
		must.LessEq(t, 40*(seconds+6), granted)
		must.GreaterEq(t, 40*seconds*8/10, granted)
	})
}

func TestFailedServerDoesNotChargeTwice(t *testing.T) {
	bubble(t, func(t *testing.T) {
		w := newWorld(t, 1, 2, 100)
		defer w.end()
		w.config = config.NewSnapshot(config.Config{Defaults: map[config.Setting]float64{config.RequestsPerSecond: 0.5}})
		w.spread()
		c := w.daemons[0].client
		g, err := c.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		c.Release(g, gate.Report{Outcome: gate.Crashed})
		r := ask("1", time.Minute)
		r.Exclude = []fleet.ServerID{g.Server.ID}
		g, err = c.Acquire(t.Context(), r)
		must.NoError(t, err)
		c.Release(g, gate.Report{Outcome: gate.Completed})
		_, err = c.Acquire(t.Context(), ask("1", time.Minute))
		must.ErrorIs(t, err, refusal.ErrNotRun, must.Sprint("a caller's own repeat counts"))
	})
}
