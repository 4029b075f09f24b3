package cell

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
)

// BenchmarkGrant measures one release, with the grant that follows from it, and
// one ask, in a cell with 64 workspaces and 1,000 waiting requests.
func BenchmarkGrant(b *testing.B) {
	policies := map[string]Policy[fleet.Workspace]{
		"MaxMin":     MaxMin[fleet.Workspace]{},
		"RoundRobin": &RoundRobin[fleet.Workspace]{},
	}
	for name, p := range policies {
		b.Run(name, func(b *testing.B) {
			c := Cell{Settings: DefaultSettings(), Policy: p}
			c.Servers(at(0), append(standard(8, 16), spot(8, 16)...))
			var names [64]string
			for i := range names {
				names[i] = fmt.Sprint("w", i)
			}
			n := 0
			ask := func() []Decision {
				n++
				a := request(strconv.Itoa(n), names[n%64], fleet.Live, 0)
				a.Request.Prefix = uint64(n % 256)
				return c.Ask(at(0), a)
			}
			var held []string
			for len(c.asks)-len(c.grants) < 1000 {
				for _, d := range ask() {
					held = append(held, d.Grant.ID)
				}
			}
			now := at(1)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				k := i % len(held)
				now = now.Add(time.Millisecond)
				for _, d := range c.Release(now, held[k], gate.Report{Outcome: gate.Completed, Tokens: 100}) {
					held[k] = d.Grant.ID
				}
				ask()
			}
		})
	}
}

// BenchmarkTick measures the check of the deadlines of 1,000 waiting requests.
func BenchmarkTick(b *testing.B) {
	c := Cell{Settings: DefaultSettings()}
	c.Servers(at(0), standard(16, 16))
	for i := range 1256 {
		c.Ask(at(0), request(fmt.Sprint(i), fmt.Sprint("w", i%64), fleet.Live, 0))
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Tick(at(1))
	}
}

// BenchmarkDispatcherChange measures how a new dispatcher rebuilds the state of
// a cell of 16 full servers: 256 grants registered by 9 daemons.
func BenchmarkDispatcherChange(b *testing.B) {
	servers := standard(16, 16)
	var regs []Registration
	for m := range 9 {
		r := Registration{Entry: fleet.MemberID{Incarnation: fleet.Incarnation(fmt.Sprint(m))}, Sequence: 1}
		for i := m; i < 256; i += 9 {
			r.Running = append(r.Running, Running{Grant: fmt.Sprint("g", i), Ask: AskID(fmt.Sprint("a", i)), Server: servers[i%16].ID})
		}
		regs = append(regs, r)
	}
	b.ReportAllocs()
	for b.Loop() {
		var c Cell
		c.Servers(at(0), servers)
		for _, r := range regs {
			c.Register(at(0), r)
		}
	}
}
