package cell

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/seed"
)

func members(n int) []fleet.Member {
	var out []fleet.Member
	for i := range n {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(i%250 + 1)}), 7000)
		out = append(out, fleet.Member{ID: fleet.MemberID{Address: a, Incarnation: "a"}, Region: "r"})
	}
	return out
}

func TestDispatchersAreDistributedAndStable(t *testing.T) {
	all := members(180)
	before := map[int]fleet.MemberID{}
	count := map[fleet.MemberID]int{}
	for i := range 64 {
		m, ok := ID{Region: "r", Pool: "p", Index: i, Of: 64}.Dispatcher(all)
		must.True(t, ok)
		before[i] = m.ID
		count[m.ID]++
	}
	for _, n := range count {
		must.LessEq(t, 5, n)
	}
	gone := before[0]
	var rest []fleet.Member
	for _, m := range all {
		if m.ID != gone {
			rest = append(rest, m)
		}
	}
	for i, id := range before {
		m, _ := ID{Region: "r", Pool: "p", Index: i, Of: 64}.Dispatcher(rest)
		if id != gone {
			must.Eq(t, id, m.ID)
		}
	}
	_, ok := ID{Region: "elsewhere"}.Dispatcher(all)
	must.False(t, ok)
}

func TestCellsPartitionPool(t *testing.T) {
	must.Eq(t, 1, Count(0))
	must.Eq(t, 1, Count(12))
	must.Eq(t, 2, Count(13))
	must.Eq(t, 64, Count(630))
	var servers []fleet.Server
	for i := range 630 {
		servers = append(servers, fleet.Server{ID: fleet.ServerID(fmt.Sprintf("vm-%04d", i)), Pool: "p", Region: "r"})
	}
	total, largest := 0, 0
	for i := range 64 {
		n := len(ID{Region: "r", Pool: "p", Index: i, Of: 64}.Servers(servers))
		total += n
		largest = max(largest, n)
	}
	must.Eq(t, 630, total)
	must.LessEq(t, 24, largest)
	must.True(t, ForServer(servers[5], 630).Contains(servers[5].ID))
}

func TestChooseFollowsPrefixUnlessBusy(t *testing.T) {
	r := rand.New(rand.NewPCG(seed.Value(), 1))
	idle := func(ID) float64 { return 0.5 }
	first := Choose("r", "p", 8, 42, idle, r.IntN)
	for range 50 {
		must.Eq(t, first, Choose("r", "p", 8, 42, idle, r.IntN))
	}
	busy := func(i ID) float64 {
		if i == first {
			return 2
		}
		return 0.5
	}
	for range 50 {
		must.NotEq(t, first, Choose("r", "p", 8, 42, busy, r.IntN))
	}
}
