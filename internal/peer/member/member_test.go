package member_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/peer/member"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func configWithKeys(names ...string) config.Config {
	c := config.Config{Workspaces: []config.Workspace{{Name: "w"}}}
	for _, n := range names {
		c.Keys = append(c.Keys, config.Key{Hash: config.HashKey(n), Workspace: "w"})
	}
	return c
}

func withKeyWithdrawn(doc config.Config, at time.Time) config.Config {
	doc.Keys = []config.Key{{Hash: doc.Keys[0].Hash, Workspace: "w", WithdrawnAt: at}}
	return doc
}

// serves reports whether a daemon would accept a request with the key now.
func serves(d *daemon, key string) bool {
	s := d.State()
	_, ok := s.Config.Workspace(key)
	return ok && s.Confirmed(time.Now())
}

func registered(t *testing.T, d *daemon) bool {
	s, err := d.Status(context.Background())
	must.NoError(t, err)
	return s.Registered
}

func TestDaemonsRegisterAndServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.apply(0, configWithKeys("k"))
		for n := range 5 {
			c.start(n+1, "r")
		}
		time.Sleep(10 * time.Second)
		for _, d := range c.daemons {
			must.True(t, registered(t, d))
			must.True(t, serves(d, "k"))
			must.Eq(t, 5, len(d.State().Members))
		}
	})
}

func TestConfirmAfterWithdrawal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		doc := c.apply(0, configWithKeys("k"))
		for n := range 6 {
			c.start(n+1, fleet.Region([]string{"r", "s"}[n%2]))
		}
		time.Sleep(10 * time.Second)
		start := time.Now()
		doc = c.apply(1, withKeyWithdrawn(doc, start))
		a, err := c.daemons[0].Confirm(context.Background(), doc.Revision)
		must.NoError(t, err)
		must.True(t, a.Accepted())
		must.Less(t, 3*time.Second, time.Since(start))
		for _, d := range c.daemons {
			must.False(t, serves(d, "k"))
			must.Eq(t, 2, d.State().Config.Config.Revision)
		}
	})
}

// TestWithdrawalAcceptedWithin3s requires that a withdrawal is in effect
// everywhere and accepted within 3 s of its commit, with 9 and 11 daemons in
// the region, also with one of them cut off.
func TestWithdrawalAcceptedWithin3s(t *testing.T) {
	for _, n := range []int{9, 11} {
		for _, cut := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				defer c.close()
				doc := c.apply(0, configWithKeys("k"))
				for i := range n {
					c.start(i+1, "r").table.SetDelay(5 * time.Millisecond)
				}
				time.Sleep(20 * time.Second)
				if cut {
					c.cutPeers(c.at(n-1), wire.CutUnresponsive)
					c.at(n - 1).table.SetCut(true)
				}
				start := time.Now()
				doc = c.apply(1, withKeyWithdrawn(doc, start))
				a, err := c.at(0).Confirm(context.Background(), doc.Revision)
				must.NoError(t, err)
				must.True(t, a.Accepted())
				must.Less(t, 3*time.Second, time.Since(start))
				t.Logf("%d daemons, one cut off: %t: accepted in %v", n, cut, time.Since(start))
				for _, d := range c.all() {
					must.False(t, serves(d, "k"))
				}
				c.clearFaults()
			})
		}
	}
}

func TestServesThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.apply(0, configWithKeys("k"))
		for n := range 3 {
			c.start(n+1, "r")
		}
		time.Sleep(10 * time.Second)
		for _, d := range c.daemons {
			d.table.SetCut(true)
		}
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, d := range c.daemons {
				must.True(t, serves(d, "k"))
			}
		}
		late := c.start(9, "r", member.WithSeeds([]netip.AddrPort{address(1), address(2), address(3)}))
		late.table.SetCut(true)
		time.Sleep(5 * time.Second)
		must.True(t, serves(late, "k"))
		must.False(t, registered(t, late))
	})
}

func TestSilentMemberIsTakenOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.apply(0, configWithKeys("k"))
		for n := range 4 {
			c.start(n+1, "r")
		}
		time.Sleep(10 * time.Second)
		c.kill(c.daemons[3])
		c.daemons = c.daemons[:3]
		time.Sleep(20 * time.Second)
		s, err := c.daemons[0].Status(context.Background())
		must.NoError(t, err)
		must.Eq(t, 3, len(s.Peers))
	})
}

// TestMemberOfThePreviousSetFails kills one of the two members of the previous
// set, long after the current set replaced it. Its removal requires proof that it
// held the current set, and the daemon that removes it does not ping it regularly.
// It runs several rounds because the order in which daemons join is random.
func TestMemberOfThePreviousSetFails(t *testing.T) {
	for range 10 {
		synctest.Test(t, memberOfThePreviousSetFails)
	}
}

func memberOfThePreviousSetFails(t *testing.T) {
	c := newCluster(t)
	defer c.close()
	c.apply(0, configWithKeys("k"))
	c.start(2, "r")
	failing := c.start(4, "r")
	time.Sleep(5 * time.Second)
	proposer := c.start(1, "r")
	c.start(3, "r")
	time.Sleep(10 * time.Second)
	c.kill(failing)
	c.daemons = slices.DeleteFunc(c.daemons, func(d *daemon) bool { return d == failing })
	time.Sleep(20 * time.Second)
	s, err := proposer.Status(context.Background())
	must.NoError(t, err)
	must.Eq(t, 3, len(s.Peers))
}

func TestGracefulStopRemovesDaemonFromSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.apply(0, configWithKeys("k"))
		for n := range 3 {
			c.start(n+1, "r")
		}
		time.Sleep(10 * time.Second)
		c.daemons[2].stop()
		c.daemons[2].done.Wait()
		must.False(t, serves(c.daemons[2], "k"))
		time.Sleep(2 * time.Second)
		s, err := c.daemons[0].Status(context.Background())
		must.NoError(t, err)
		must.Eq(t, 2, len(s.Peers))
	})
}

func TestCutOffDaemonStopsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		doc := c.apply(0, configWithKeys("k"))
		for n := range 3 {
			c.start(n+1, "r")
		}
		time.Sleep(10 * time.Second)
		cut := c.daemons[2]
		c.cutPeers(cut, wire.CutUnresponsive)
		cut.table.SetCut(true)
		doc = c.apply(1, withKeyWithdrawn(doc, time.Now()))
		a, err := c.daemons[0].Confirm(context.Background(), doc.Revision)
		must.NoError(t, err)
		must.True(t, a.Accepted())
		must.False(t, serves(cut, "k"))
		c.cutPeers(cut, 0)
	})
}

func TestAllKilledAndRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		doc := c.apply(0, configWithKeys("k"))
		for n := range 3 {
			c.start(n+1, "r")
		}
		time.Sleep(5 * time.Second)
		for _, d := range c.all() {
			c.kill(d)
		}
		c.daemons = nil
		for n := range 3 {
			c.start(n+1, "r")
		}
		time.Sleep(10 * time.Second)
		for _, d := range c.all() {
			must.True(t, registered(t, d))
		}
		doc = c.apply(1, withKeyWithdrawn(doc, time.Now()))
		a, err := c.at(0).Confirm(context.Background(), doc.Revision)
		must.NoError(t, err)
		must.True(t, a.Accepted())
	})
}

func TestLoneDaemonServesThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		c.apply(0, configWithKeys("k"))
		d := c.start(1, "r")
		time.Sleep(5 * time.Second)
		d.table.SetCut(true)
		time.Sleep(time.Minute)
		must.True(t, serves(d, "k"))
	})
}
