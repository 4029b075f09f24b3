package quarantine

import "maps"

// MaxFailures is the number of server failures during a request after which it is taken for the
// cause and not run again.
const MaxFailures = 3

// Shares of a failure for which a request is blamed.
const (
	// partlyBlamed is the share if another request may be the cause as well.
	partlyBlamed = 1
	// fullyBlamed is the share otherwise.
	fullyBlamed = 2
)

// Failures counts the failures of servers while they ran one request, by the hash of the server's
// incarnation. The zero value has none.
type Failures struct {
	// Unanswered are those before the request had any answer.
	Unanswered map[uint64]int
	// Interrupted are those before or after which the request, a stream, made progress.
	Interrupted map[uint64]int
}

// Blamed reports whether a request is the cause of its failures, given those of all requests
// that have not been answered since.
//
// A server that ends interrupts all its streams, and they go on elsewhere, where the cause may be
// as well. So an interruption counts in full only for the request that lost more servers than any
// other one which lost the same server; in part for several that lost equally many; and not at all
// for others if one that lost the server is known to be a cause, as it got no answer at
// MaxFailures servers.
func Blamed(request Fingerprint, all map[Fingerprint]Failures) bool {
	own := all[request]
	total := fullyBlamed * own.unanswered()
	for server, n := range own.Interrupted {
		total += max(0, n*share(server, request, all)-fullyBlamed*own.Unanswered[server])
	}
	return total >= MaxFailures*fullyBlamed
}

// share returns the share of a server's failure for which a request is blamed.
func share(server uint64, request Fingerprint, all map[Fingerprint]Failures) int {
	lost := all[request].servers()
	out := fullyBlamed
	for other, f := range all {
		switch {
		case other == request || !f.lost(server):
		case f.unanswered() >= MaxFailures:
			return 0
		case f.servers() >= lost:
			out = partlyBlamed
		}
	}
	return out
}

// Empty reports whether no server failed.
func (f Failures) Empty() bool {
	return len(f.Unanswered) == 0 && len(f.Interrupted) == 0
}

// Merge adds what another daemon observed. What several daemons observed of a server counts once.
func (f Failures) Merge(o Failures) Failures {
	return Failures{Unanswered: larger(f.Unanswered, o.Unanswered), Interrupted: larger(f.Interrupted, o.Interrupted)}
}

// servers returns the number of servers that failed.
func (f Failures) servers() int {
	n := len(f.Unanswered)
	for server := range f.Interrupted {
		if f.Unanswered[server] == 0 {
			n++
		}
	}
	return n
}

// lost reports whether a server failed.
func (f Failures) lost(server uint64) bool {
	return f.Unanswered[server] > 0 || f.Interrupted[server] > 0
}

// unanswered returns the number of failures without an answer.
func (f Failures) unanswered() int {
	n := 0
	for _, c := range f.Unanswered {
		n += c
	}
	return n
}

// larger returns the larger count for each server.
func larger(a, b map[uint64]int) map[uint64]int {
	if len(b) == 0 {
		return a
	}
	out := make(map[uint64]int, len(a)+len(b))
	maps.Copy(out, a)
	for server, n := range b {
		out[server] = max(out[server], n)
	}
	return out
}
