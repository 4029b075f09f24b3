package share

import (
	"slices"
	"time"
)

// rounding is the number of tokens that may be lost where capacities are rounded.
const rounding = 200

// load is the work of a step that is to be done by a time.
type load struct {
	kind  int
	until time.Time
	items int
}

// fluid decides which loads fit the room of the pools together, as if the slots could be
// divided at will. Time is divided at the deadlines; a load may use no more slots at a
// time than it has items. NewFluid creates it.
type fluid struct {
	network

	sink int
	// source holds the node of each load.
	source []int
}

// newFluid returns a fluid of loads that none of the room is given to yet. slots has the
// number of slots of each pool.
func newFluid(now time.Time, loads []load, pools []Pool, slots []float64) *fluid {
	var ends []time.Time
	for _, l := range loads {
		if l.until.After(now) {
			ends = append(ends, l.until)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	ends = slices.CompactFunc(ends, time.Time.Equal)
	f := &fluid{}
	f.sink = f.addNode()
	for range loads {
		f.source = append(f.source, f.addNode())
	}
	fastest := fastestPace(pools)
	from := now
	for _, end := range ends {
		lasts := end.Sub(from)
		from = end
		nodes := make([]int, len(pools))
		for p := range pools {
			nodes[p] = f.addNode()
			f.addEdge(nodes[p], f.sink, int64(slots[p]*tokens(lasts, pools[p].Pace)))
		}
		for i, l := range loads {
			if l.until.Before(end) {
				continue
			}
			part := f.addNode()
			most := int64(float64(l.items) * tokens(lasts, fastest))
			f.addEdge(f.source[i], part, most)
			for p := range pools {
				if pools[p].runs(l.kind) && slots[p] > 0 {
					f.addEdge(part, nodes[p], most)
				}
			}
		}
	}
	return f
}

// fit gives a load the room for an amount of work, in tokens, and reports whether there
// was enough. Loads that have their room keep it. Without enough nothing changes.
func (f *fluid) fit(i int, work float64) bool {
	before := slices.Clone(f.room)
	if missing := int64(work) - f.push(f.source[i], f.sink, int64(work)); missing > rounding {
		f.room = before
		return false
	}
	return true
}

// tokens returns the number of tokens that a slot generates in a time.
func tokens(t, pace time.Duration) float64 {
	return float64(t) / float64(max(pace, 1))
}

// fastestPace returns the shortest time per token of the pools.
func fastestPace(pools []Pool) time.Duration {
	best := time.Duration(0)
	for _, p := range pools {
		if best == 0 || p.Pace < best {
			best = p.Pace
		}
	}
	return max(best, 1)
}

// slowestPace returns the longest time per token of the pools.
func slowestPace(pools []Pool) time.Duration {
	slowest := time.Duration(1)
	for _, p := range pools {
		slowest = max(slowest, p.Pace)
	}
	return slowest
}
