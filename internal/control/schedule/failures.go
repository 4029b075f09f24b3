package schedule

import (
	"slices"
	"time"
)

const (
	// runsPerServer is how many failed runs for each server allowed are final,
	// if fewer servers than allowed can be tried.
	runsPerServer = 2
	// firstWait and longestWait bound the wait after a failed run. It doubles.
	firstWait   = 60 * time.Millisecond
	longestWait = 500 * time.Millisecond
)

// Failures are the runs of one item that servers answered with a failure. The
// load that it answers is a server that fails a part of all it is sent at once,
// while the others are busy: an item that comes back to it within milliseconds
// would be given up for one server's fault. The zero value has none.
type Failures struct {
	// Runs counts all, and Servers names the servers without repetition.
	Runs    int
	Servers []string
}

// Add takes a failed run.
func (f *Failures) Add(server string) {
	f.Runs++
	if !slices.Contains(f.Servers, server) {
		f.Servers = append(slices.Clone(f.Servers), server)
	}
}

// Final reports whether the item is to be given up: as many servers as allowed
// have failed it, or fewer have so often that others will not come.
func (f Failures) Final(maxServers int) bool {
	return len(f.Servers) >= maxServers || f.Runs >= runsPerServer*maxServers
}

// Wait returns how long the item waits before it is run again.
func (f Failures) Wait() time.Duration {
	if f.Runs == 0 {
		return 0
	}
	return min(longestWait, firstWait<<min(f.Runs-1, 10))
}
