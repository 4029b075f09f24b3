package share

import "math"

// network is a directed graph whose edges have capacities, for maximum flows. Each edge
// is followed by its reverse, whose capacity is the flow over the edge.
type network struct {
	// edges holds the indexes of the edges that leave each node.
	edges [][]int
	to    []int
	room  []int64
}

// addNode adds a node and returns it.
func (n *network) addNode() int {
	n.edges = append(n.edges, nil)
	return len(n.edges) - 1
}

// addEdge adds an edge and returns its index.
func (n *network) addEdge(from, to int, room int64) int {
	e := len(n.to)
	n.to = append(n.to, to, from)
	n.room = append(n.room, room, 0)
	n.edges[from] = append(n.edges[from], e)
	n.edges[to] = append(n.edges[to], e+1)
	return e
}

// flow returns the flow over an edge.
func (n *network) flow(e int) int64 {
	return n.room[e^1]
}

// push adds a flow of up to amount from one node to another, by shortest paths, and
// returns what it added. Earlier flows are rerouted but not reduced.
func (n *network) push(from, to int, amount int64) int64 {
	pushed := int64(0)
	for pushed < amount {
		path := n.path(from, to)
		if path == nil {
			break
		}
		step := amount - pushed
		for _, e := range path {
			step = min(step, n.room[e])
		}
		for _, e := range path {
			n.room[e] -= step
			n.room[e^1] += step
		}
		pushed += step
	}
	return pushed
}

// path returns the edges of a shortest path with room, or nil if there is none.
func (n *network) path(from, to int) []int {
	const unseen = math.MinInt
	by := make([]int, len(n.edges))
	for i := range by {
		by[i] = unseen
	}
	by[from] = -1
	queue := []int{from}
	for len(queue) > 0 && by[to] == unseen {
		u := queue[0]
		queue = queue[1:]
		for _, e := range n.edges[u] {
			if v := n.to[e]; n.room[e] > 0 && by[v] == unseen {
				by[v] = e
				queue = append(queue, v)
			}
		}
	}
	if by[to] == unseen {
		return nil
	}
	var path []int
	for u := to; u != from; u = n.to[by[u]^1] {
		path = append(path, by[u])
	}
	return path
}
