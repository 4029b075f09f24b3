package share

import "math"

// fairParts is the number of parts into which the slots are divided at most.
const fairParts = 256

// fair divides the slots of the pools among trainers. runs reports whether a trainer's
// items can run in a pool. The division is max-min fair in relation to the weights: no
// trainer could get more without taking it from one that has less. It returns the slots
// of each trainer in each pool.
func fair(weights []float64, pools []Pool, runs func(trainer, pool int) bool) [][]float64 {
	total := 0
	for _, p := range pools {
		total += p.Slots
	}
	// A part is a whole number of hundredths of a slot, so that small pools are divided too.
	const scale = 100
	part := int64(max(1, total*scale/fairParts))
	var n network
	sink := n.addNode()
	ends := make([]int, len(pools))
	for p := range pools {
		ends[p] = n.addNode()
		n.addEdge(ends[p], sink, int64(pools[p].Slots*scale))
	}
	sources, edges := make([]int, len(weights)), make([][]int, len(weights))
	for t := range weights {
		sources[t] = n.addNode()
		for p := range pools {
			room := int64(0)
			if runs(t, p) {
				room = int64(pools[p].Slots * scale)
			}
			edges[t] = append(edges[t], n.addEdge(sources[t], ends[p], room))
		}
	}
	got, full := make([]float64, len(weights)), make([]bool, len(weights))
	for {
		least := -1
		for t := range weights {
			if !full[t] && (least < 0 || got[t]/weights[t] < got[least]/weights[least]) {
				least = t
			}
		}
		if least < 0 {
			break
		}
		pushed := n.push(sources[least], sink, part)
		got[least] += float64(pushed)
		full[least] = pushed < part
	}
	out := make([][]float64, len(weights))
	for t := range weights {
		for _, e := range edges[t] {
			out[t] = append(out[t], float64(n.flow(e))/scale)
		}
	}
	return out
}

// weight returns the weight of a priority; 0 is the highest. Each level halves it.
func weight(priority int) float64 {
	const lowest = 10
	return math.Ldexp(1, -min(max(priority, 0), lowest))
}
