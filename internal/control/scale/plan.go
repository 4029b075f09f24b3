// Package scale decides how many backend servers run in each failure domain,
// and orders them from the platform without two holders of the duty ever
// working on one order.
package scale

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/platform/order"
)

const (
	// shrinkAfter is how long the demand must have been lower before servers
	// are given back.
	shrinkAfter = 5 * time.Minute
	// unfilledRest is how long a slot that the platform could not fill is left
	// alone.
	unfilledRest = time.Minute
)

// Planner decides target counts. The zero value is ready. It is a decision: it
// does no I/O and is not safe for concurrent use.
type Planner struct {
	// peaks holds the highest demand of each pool and when it stops counting.
	peaks map[fleet.Pool]peak
	// resting holds until when slots that could not be filled are left alone.
	resting map[order.Slot]time.Time
	// filled holds the counts that the platform has in force.
	filled map[order.Slot]int
	// standIns holds how many standard servers each pool has in place of spot
	// ones that could not be had.
	standIns map[fleet.Pool]int
}

// Site is where one region's servers may run.
type Site struct {
	Region fleet.Region
	// Domains are the failure domains in use, drained ones left out, in order.
	Domains []fleet.FailureDomain
}

type peak struct {
	servers int
	until   time.Time
}

// Plan returns the targets of one pool for a demand, in servers, one line a
// slot and in the order of the slots. Standard servers are spread such that
// the loss of any one failure domain leaves the pool's live floor; what the
// demand asks for above them are spot servers, or standard ones where the
// pool may not use spot or spot cannot be had.
func (p *Planner) Plan(now time.Time, s Site, c config.Pool, demand int) []order.Line {
	if len(s.Domains) == 0 {
		return nil
	}
	standard := Floor(c.LiveFloor, len(s.Domains))
	most := cmp.Or(c.MaxServers, sum(standard))
	rest := max(0, min(p.peak(now, c.Name, demand), most)-sum(standard))
	spot := make([]int, len(s.Domains))
	if c.SpotAllowed {
		rest = p.spread(now, s, c.Name, spot, rest, max(rest, most-sum(standard)))
	}
	for ; rest > 0; rest-- {
		standard[least(standard, nil)]++
	}
	var lines []order.Line
	for i, d := range s.Domains {
		lines = append(lines,
			order.Line{Slot: slot(s.Region, d, c.Name, fleet.Spot), Count: spot[i]},
			order.Line{Slot: slot(s.Region, d, c.Name, fleet.Standard), Count: standard[i]})
	}
	lines = slices.DeleteFunc(lines, func(l order.Line) bool {
		return l.Slot.Kind == fleet.Standard && !clock.Passed(now, p.resting[l.Slot])
	})
	slices.SortFunc(lines, func(a, b order.Line) int { return order.Compare(a.Slot, b.Slot) })
	return lines
}

// Unfilled takes the platform's word that it cannot fill a slot now.
func (p *Planner) Unfilled(now time.Time, s order.Slot) {
	if p.resting == nil {
		p.resting = make(map[order.Slot]time.Time)
	}
	p.resting[s] = now.Add(unfilledRest)
}

// InForce takes the targets that the platform has in force.
func (p *Planner) InForce(lines []order.Line) {
	p.filled = make(map[order.Slot]int, len(lines))
	for _, l := range lines {
		p.filled[l.Slot] = l.Count
	}
}

// Floor spreads standard servers over a number of failure domains such that
// any one of them can be lost and floor servers remain, with as few servers as
// possible. With one domain there is no such spread, and Floor returns floor.
func Floor(floor, domains int) []int {
	counts := make([]int, domains)
	if domains == 1 {
		counts[0] = floor
		return counts
	}
	// The fullest domain holds at least floor/(domains-1), or the others could
	// not hold the floor.
	fullest := (floor + domains - 2) / (domains - 1)
	for i := range floor + fullest {
		counts[i%domains]++
	}
	return counts
}

// peak returns the highest demand of late, so that a short lull gives no
// servers back.
func (p *Planner) peak(now time.Time, pool fleet.Pool, demand int) int {
	if p.peaks == nil {
		p.peaks = make(map[fleet.Pool]peak)
	}
	k, ok := p.peaks[pool]
	if !ok || demand >= k.servers || clock.Passed(now, k.until) {
		k = peak{servers: demand, until: now.Add(shrinkAfter)}
		p.peaks[pool] = k
	}
	return k.servers
}

// spread puts the servers above the floor, rest of at most so many, where there
// are fewest spot ones, and returns how many standard servers stand in for
// them. Stand-ins go only as the platform takes the spot orders that replace
// them, or one at a time where most leaves no room for both, so that asking
// for spot again does little harm when there is still none.
func (p *Planner) spread(now time.Time, s Site, pool fleet.Pool, spot []int, rest, most int) int {
	open := make([]bool, len(s.Domains))
	found := false
	filled, placed := 0, 0
	for i, d := range s.Domains {
		k := slot(s.Region, d, pool, fleet.Spot)
		open[i] = clock.Passed(now, p.resting[k])
		found = found || open[i]
		filled += p.filled[k]
		if !open[i] {
			// A resting slot keeps what it has.
			spot[i] = min(p.filled[k], rest-placed)
			placed += spot[i]
		}
	}
	if p.standIns == nil {
		p.standIns = make(map[fleet.Pool]int)
	}
	missing := max(0, rest-filled)
	if !found {
		p.standIns[pool] = missing
		return missing
	}
	standing := min(missing, p.standIns[pool])
	if standing > 0 && filled+standing >= most {
		standing--
	}
	p.standIns[pool] = standing
	for range min(rest, most-standing) - placed {
		spot[least(spot, open)]++
	}
	return standing
}

// least returns the index of the smallest count among the open ones; nil means
// that all are open.
func least(counts []int, open []bool) int {
	best := -1
	for i, n := range counts {
		if open != nil && !open[i] {
			continue
		}
		if best < 0 || n < counts[best] {
			best = i
		}
	}
	return best
}

func slot(r fleet.Region, d fleet.FailureDomain, p fleet.Pool, k fleet.Kind) order.Slot {
	return order.Slot{Region: r, FailureDomain: d, Pool: p, Kind: k}
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
