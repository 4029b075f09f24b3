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
	runWithFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, 2)
		defer c.end()
		for i, d := range c.daemons {
			g, err := d.client.Acquire(t.Context(), ask(fmt.Sprint(i), time.Minute))
			must.NoError(t, err)
			must.NoError(t, d.client.Check(time.Now(), g))
			d.client.Release(g, gate.Report{Outcome: gate.Completed, Tokens: 100})
		}
	})
}

func TestWaitingRequestGetsReleasedSlot(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, 1)
		defer c.end()
		d := c.otherThan(c.owner())
		g, err := d.client.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		got := make(chan error, 1)
		go func() {
			g, err := c.owner().client.Acquire(t.Context(), ask("2", time.Minute))
			c.owner().client.Release(g, gate.Report{Outcome: gate.Completed})
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

func TestWaitingRequestPastDeadlineIsRefused(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, 1)
		defer c.end()
		d := c.otherThan(c.owner())
		g, err := d.client.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		_, err = d.client.Acquire(t.Context(), ask("2", 3*time.Second))
		must.ErrorIs(t, err, refusal.ErrNotRun)
		d.client.Release(g, gate.Report{Outcome: gate.Completed})
	})
}

func TestDispatcherFailureKeepsCapacity(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, 1)
		defer c.end()
		first := c.owner()
		d := c.otherThan(first)
		g, err := d.client.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		c.kill(first)
		c.setViews(first)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = d.client.Acquire(ctx, ask("2", time.Minute))
		must.ErrorIs(t, err, refusal.ErrNotRun, must.Sprint("the next dispatcher must count the running request"))
		d.client.Release(g, gate.Report{Outcome: gate.Completed})
		_, err = d.client.Acquire(t.Context(), ask("3", time.Minute))
		must.NoError(t, err)
	})
}

func TestLeavingServerGetsNoGrantFromAnyDaemon(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 5, 2, 4)
		defer c.end()
		leaving := c.servers[0].ID
		c.daemons[4].client.MarkLeaving(time.Now(), leaving)
		synctest.Wait()
		for i, d := range c.daemons {
			d.servers.UpdateList(time.Now(), c.servers)
			g, err := d.client.Acquire(t.Context(), ask(fmt.Sprint(i), time.Second))
			if err == nil {
				must.NotEq(t, leaving, g.Server.ID)
			}
		}
	})
}

// TestLeaveNoticeIsResentAfterPartition guards against a leave notice that is
// lost while its daemon is partitioned. No other message carries the notice.
func TestLeaveNoticeIsResentAfterPartition(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 2, 4)
		defer c.end()
		from := c.daemons[0]
		set := func(cut wire.Cut) {
			for _, d := range c.daemons[1:] {
				c.network.SetCut(from.member.ID.Address, d.member.ID.Address, cut)
			}
		}
		set(wire.CutUnresponsive)
		from.client.MarkLeaving(time.Now(), c.servers[0].ID)
		time.Sleep(3 * time.Second)
		must.True(t, c.daemons[1].servers.Snapshot().Usable(c.servers[0].ID))
		set(0)
		time.Sleep(2 * demandPeriod)
		for _, d := range c.daemons {
			must.False(t, d.servers.Snapshot().Usable(c.servers[0].ID))
		}
	})
}

func TestGrantExpiresAfterItsWindow(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 1, 1)
		defer c.end()
		client := c.daemons[0].client
		g, err := client.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		must.NoError(t, client.Check(time.Now(), g))
		time.Sleep(cell.GrantWindow)
		must.ErrorIs(t, client.Check(time.Now(), g), ErrUnusable)
		client.Release(g, gate.Report{Outcome: gate.Stopped})
	})
}

func TestUnresponsiveDispatcherIsSkipped(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, 2)
		defer c.end()
		o := c.owner()
		d := c.otherThan(o)
		c.network.SetCut(d.member.ID.Address, o.member.ID.Address, wire.CutUnresponsive)
		start := time.Now()
		_, err := d.client.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		must.Less(t, 5*time.Second, time.Since(start))
	})
}

func TestLimitHoldsAcrossDaemons(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 4, 1, 1000)
		defer c.end()
		c.config = config.NewSnapshot(config.Config{Defaults: map[config.Setting]float64{config.RequestsPerSecond: 40}})
		c.setViews()
		const seconds = 30
		granted := 0
		for range seconds * 20 {
			for i, d := range c.daemons {
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
		t.Logf("granted %d requests in %d s at a limit of 40/s", granted, seconds)
		must.LessEq(t, 40*(seconds+6), granted)
		must.GreaterEq(t, 40*seconds*8/10, granted)
	})
}

func TestRetryAfterServerFailureIsNotChargedTwice(t *testing.T) {
	runWithFakeTime(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 100)
		defer c.end()
		c.config = config.NewSnapshot(config.Config{Defaults: map[config.Setting]float64{config.RequestsPerSecond: 0.5}})
		c.setViews()
		client := c.daemons[0].client
		g, err := client.Acquire(t.Context(), ask("1", time.Minute))
		must.NoError(t, err)
		client.Release(g, gate.Report{Outcome: gate.Crashed})
		r := ask("1", time.Minute)
		r.Exclude = []fleet.ServerID{g.Server.ID}
		g, err = client.Acquire(t.Context(), r)
		must.NoError(t, err)
		client.Release(g, gate.Report{Outcome: gate.Completed})
		_, err = client.Acquire(t.Context(), ask("1", time.Minute))
		must.ErrorIs(t, err, refusal.ErrNotRun, must.Sprint("a repeat by the caller is charged"))
	})
}
