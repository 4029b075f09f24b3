// Package scale decides how many backend servers run in each failure domain
// and orders them from the platform, such that no two holders of the duty ever
// work on the same order.
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
	// shrinkAfter is how long the demand must stay lower before servers are
	// released.
	shrinkAfter = 5 * time.Minute
	// unfilledBackoff is how long no servers are added to a slot that the
	// platform could not fill.
	unfilledBackoff = time.Minute
)

// Planner decides target counts. The zero value is ready to use. It does no
// I/O and is not safe for concurrent use.
type Planner struct {
	// peaks holds the highest recent demand of each pool and when it expires.
	peaks map[fleet.Pool]peak
	// backoff holds the end of the backoff of each slot that could not be
	// filled.
	backoff map[order.Slot]time.Time
	// current holds the counts in effect at the platform.
	current map[order.Slot]int
	// standIns holds how many standard servers each pool runs in place of spot
	// servers that are not available.
	standIns map[fleet.Pool]int
}

// Site lists where the servers of one region may run.
type Site struct {
	Region fleet.Region
	// Domains are the failure domains that are not drained, in order.
	Domains []fleet.FailureDomain
}

type peak struct {
	servers int
	until   time.Time
}

// Plan returns the targets of one pool for a demand in servers: one line per
// slot, sorted by slot, without the standard slots that are in backoff. Standard
// servers are distributed such that the pool keeps its live floor after the loss
// of any one failure domain. Demand above them is met by spot servers, or by
// standard ones if the pool may not use spot servers or none are available.
func (p *Planner) Plan(now time.Time, s Site, c config.Pool, demand int) []order.Line {
	if len(s.Domains) == 0 {
		return nil
	}
	standard := Floor(c.LiveFloor, len(s.Domains))
	limit := cmp.Or(c.MaxServers, sum(standard))
	extra := max(0, min(p.peak(now, c.Name, demand), limit)-sum(standard))
	spot := make([]int, len(s.Domains))
	if c.SpotAllowed {
		extra = p.distributeSpot(now, s, c.Name, spot, extra, max(extra, limit-sum(standard)))
	}
	for ; extra > 0; extra-- {
		standard[smallest(standard, nil)]++
	}
	var lines []order.Line
	for i, d := range s.Domains {
		lines = append(lines,
			order.Line{Slot: slot(s.Region, d, c.Name, fleet.Spot), Count: spot[i]},
			order.Line{Slot: slot(s.Region, d, c.Name, fleet.Standard), Count: standard[i]})
	}
	lines = slices.DeleteFunc(lines, func(l order.Line) bool {
		return l.Slot.Kind == fleet.Standard && !clock.Passed(now, p.backoff[l.Slot])
	})
	slices.SortFunc(lines, func(a, b order.Line) int { return order.Compare(a.Slot, b.Slot) })
	return lines
}

// MarkUnfilled records that the platform could not fill a slot at now.
func (p *Planner) MarkUnfilled(now time.Time, s order.Slot) {
	if p.backoff == nil {
		p.backoff = make(map[order.Slot]time.Time)
	}
	p.backoff[s] = now.Add(unfilledBackoff)
}

// SetCurrent replaces the targets in effect at the platform.
func (p *Planner) SetCurrent(lines []order.Line) {
	p.current = make(map[order.Slot]int, len(lines))
	for _, l := range lines {
		p.current[l.Slot] = l.Count
	}
}

// Floor distributes as few standard servers as possible over a number of
// failure domains such that floor servers remain after the loss of any one of
// them. A single domain cannot satisfy this and gets floor servers.
func Floor(floor, domains int) []int {
	counts := make([]int, domains)
	if domains == 1 {
		counts[0] = floor
		return counts
	}
	// The fullest domain has at least floor/(domains-1) servers, for if it is
	// lost, the others must still have floor servers together.
	fullest := (floor + domains - 2) / (domains - 1)
	for i := range floor + fullest {
		counts[i%domains]++
	}
	return counts
}

// peak returns the highest recent demand, so that a short drop releases no
// servers.
func (p *Planner) peak(now time.Time, pool fleet.Pool, demand int) int {
	if p.peaks == nil {
		p.peaks = make(map[fleet.Pool]peak)
	}
	recent, ok := p.peaks[pool]
	if !ok || demand >= recent.servers || clock.Passed(now, recent.until) {
		recent = peak{servers: demand, until: now.Add(shrinkAfter)}
		p.peaks[pool] = recent
	}
	return recent.servers
}

// distributeSpot adds extra spot servers to spot, first to the domains with the
// fewest, and returns how many standard servers stand in for those that are not
// available. limit bounds spot servers and stand-ins together. Stand-ins are
// released only as the platform accepts the spot orders that replace them, or
// one at a time where limit leaves no capacity for both, so that little is lost
// if spot servers are requested again and there are still none.
func (p *Planner) distributeSpot(now time.Time, s Site, pool fleet.Pool, spot []int, extra, limit int) int {
	open := make([]bool, len(s.Domains))
	anyOpen := false
	current, placed := 0, 0
	for i, d := range s.Domains {
		k := slot(s.Region, d, pool, fleet.Spot)
		open[i] = clock.Passed(now, p.backoff[k])
		anyOpen = anyOpen || open[i]
		current += p.current[k]
		if !open[i] {
			// A slot in backoff keeps its servers.
			spot[i] = min(p.current[k], extra-placed)
			placed += spot[i]
		}
	}
	if p.standIns == nil {
		p.standIns = make(map[fleet.Pool]int)
	}
	missing := max(0, extra-current)
	if !anyOpen {
		p.standIns[pool] = missing
		return missing
	}
	standIns := min(missing, p.standIns[pool])
	if standIns > 0 && current+standIns >= limit {
		standIns--
	}
	p.standIns[pool] = standIns
	for range min(extra, limit-standIns) - placed {
		spot[smallest(spot, open)]++
	}
	return standIns
}

// smallest returns the index of the smallest count among the open ones, or -1 if
// none is open. A nil open means that all are open.
func smallest(counts []int, open []bool) int {
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
