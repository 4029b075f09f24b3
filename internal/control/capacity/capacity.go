// Package capacity decides how many backend servers a service needs in each
// failure domain, by the work that trainers ask for.
//
// The load that it answers is a step whose longest item takes nearly all of the
// time that the step has. Servers run such an item the faster the fewer others
// they run, so a service is given several times the servers that it needs to
// keep up. Those beyond the standard ones are spot servers, which cost a part
// and whose loss only moves items.
package capacity

import "slices"

// targetUse is the part of the places that is to be in use on average.
const targetUse = 0.2

// Domain is a failure domain of a service.
type Domain struct {
	Name string
	// Standard and Spot are the servers that run there.
	Standard int
	Spot     int
	// Price is that of a server's second, relative to the other domains.
	Price float64
}

// Bounds limit the servers of a service in each failure domain.
type Bounds struct {
	Min, Max int
	// HasSpot is whether spot servers may be ordered.
	HasSpot bool
}

// Order asks for a number of spot servers in a failure domain.
type Order struct {
	Domain string
	Spot   int
}

// Needed returns the number of servers for a rate of work, given the work that
// one server does when it is full.
func Needed(rate, perServer float64) int {
	if perServer <= 0 {
		return 0
	}
	return int(rate/perServer/targetUse + 1)
}

// Spread returns how many spot servers each domain is to have, so that all have
// the needed number of servers together. The emptiest domain is filled first,
// so that the loss of one costs the least, and the cheaper of two alike.
func Spread(needed int, domains []Domain, b Bounds) []Order {
	out := make([]Order, len(domains))
	total := 0
	for i, d := range domains {
		out[i].Domain = d.Name
		total += d.Standard
	}
	if !b.HasSpot {
		return nil
	}
	for total < needed {
		best := -1
		for i, d := range domains {
			if d.Standard+out[i].Spot >= b.Max {
				continue
			}
			if best < 0 || emptier(d, out[i].Spot, domains[best], out[best].Spot) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		out[best].Spot++
		total++
	}
	return slices.Clip(out)
}

func emptier(a Domain, spotA int, b Domain, spotB int) bool {
	if x, y := a.Standard+spotA, b.Standard+spotB; x != y {
		return x < y
	}
	return a.Price < b.Price
}
