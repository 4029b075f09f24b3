// Package wave decides which backend servers load a new version of a model's
// weights, and when.
//
// A trainer's step accepts the version before the newest, too, so a server that
// has it need not load. About half of the servers load at each version: those
// that are two behind, which soon no step accepts. The others go on serving
// both open steps meanwhile, and each load is paid for by two versions.
package wave

import "slices"

// minAtOnce is the number of servers that may always load at the same time.
const minAtOnce = 2

// atOnceShare is the part of the servers that may load at the same time. The
// source of weights serves more of them more slowly.
const atOnceShare = 0.2

// Server is a backend server as a roll-out sees it.
type Server struct {
	ID string
	// Version is the version of the model that the server runs.
	Version int
	// Loading is whether it is loading weights, or may be.
	Loading bool
	// Running is the number of its runs, if known.
	Running int
}

// Pick returns the servers that are to load the version named now.
func Pick(servers []Server, named int) []string {
	atOnce := max(minAtOnce, int(atOnceShare*float64(len(servers))+0.5))
	newest := 0
	var behind []Server
	for _, s := range servers {
		switch {
		case s.Loading:
			atOnce--
			newest++
		case s.Version >= named:
			newest++
		default:
			behind = append(behind, s)
		}
	}
	slices.SortStableFunc(behind, func(a, b Server) int {
		if a.Version != b.Version {
			return a.Version - b.Version
		}
		return a.Running - b.Running
	})
	half := (len(servers) + 1) / 2
	var out []string
	for _, s := range behind {
		if len(out) >= atOnce {
			break
		}
		if s.Version < named-1 || newest < half {
			out = append(out, s.ID)
			newest++
		}
	}
	return out
}
