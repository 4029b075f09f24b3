package schedule

import (
	"slices"
	"time"
)

const (
	// runsPerServer times maxServers is the number of failed runs after which an
	// item is given up even if they were on fewer than maxServers servers.
	runsPerServer = 2
	// minBackoff and maxBackoff bound the delay after a failed attempt. It doubles
	// with each further one.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Failures are the runs of one item that servers answered with a failure. Final
// and Backoff are designed for a server that fails some of its requests
// immediately while the other servers are busy: an item retried on it within
// milliseconds would be given up because of that one server. The zero value has
// no failures.
type Failures struct {
	// Runs counts all failed runs. Servers lists each server once.
	Runs    int
	Servers []string
}

// Add records a failed run.
func (f *Failures) Add(server string) {
	f.Runs++
	if !slices.Contains(f.Servers, server) {
		f.Servers = append(slices.Clone(f.Servers), server)
	}
}

// Final reports whether the item is to be given up: it has failed on maxServers
// different servers, or so often on fewer that no others are expected to become
// free.
func (f Failures) Final(maxServers int) bool {
	return len(f.Servers) >= maxServers || f.Runs >= runsPerServer*maxServers
}

// Backoff returns the delay before the item is run again.
func (f Failures) Backoff() time.Duration {
	return Backoff(f.Runs)
}

// Backoff returns the delay before the next attempt after the given number of failed
// ones.
func Backoff(failed int) time.Duration {
	if failed < 1 {
		return 0
	}
	return min(maxBackoff, minBackoff<<min(failed-1, 10))
}
