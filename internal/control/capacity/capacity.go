// Package capacity decides how many backend servers a service needs in each
// failure domain for the work that trainers submit.
//
// It is designed for a training step whose longest item takes nearly all of the
// step's time. Servers run such an item faster the fewer other items they run, so
// a service gets several times the servers that its throughput requires. Those
// beyond the standard servers are spot servers, which cost a fraction and whose
// loss only moves items to other servers.
package capacity

import "slices"

// targetUtilization is the target mean utilization of the slots.
const targetUtilization = 0.2

// Domain is a failure domain of a service.
type Domain struct {
	Name string
	// Standard and Spot are the numbers of servers that run there.
	Standard int
	Spot     int
	// Price is the price of a server per second, relative to other domains.
	Price float64
}

// Bounds limits the number of servers of a service in each failure domain.
type Bounds struct {
	Max int
	// HasSpot is whether spot servers may be ordered.
	HasSpot bool
}

// Order requests a number of spot servers in a failure domain.
type Order struct {
	Domain string
	Spot   int
}

// Needed returns the number of servers for a rate of work, given the rate of one
// server at full load in the same unit. It is 0 if perServer is not positive.
func Needed(rate, perServer float64) int {
	if perServer <= 0 {
		return 0
	}
	return int(rate/perServer/targetUtilization + 1)
}

// Distribute returns the number of spot servers that each domain is to have, so
// that all domains together have the needed number of servers. The domain with
// the fewest servers is filled first, so that the loss of one domain costs the
// least; among equals, the cheapest one. No domain gets more than b.Max servers.
// The result is nil if b.HasSpot is false.
func Distribute(needed int, domains []Domain, b Bounds) []Order {
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
			if best < 0 || fewerServers(d, out[i].Spot, domains[best], out[best].Spot) {
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

func fewerServers(a Domain, spotA int, b Domain, spotB int) bool {
	if x, y := a.Standard+spotA, b.Standard+spotB; x != y {
		return x < y
	}
	return a.Price < b.Price
}
