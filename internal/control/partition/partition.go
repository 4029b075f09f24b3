// Package partition decides whether a daemon is partitioned from all backend servers.
//
// A server that does not answer may have ended, and a daemon that gets no answer from any
// server may have lost its network path to them, while other daemons reach them. Which
// one it is decides where requests go: to another server, or through another daemon. New
// connections to several servers tell the two apart.
package partition

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
)

const (
	// CheckTimeout is how long a check waits for a connection, unless the daemon lags:
	// several times a slow round trip.
	CheckTimeout = 150 * time.Millisecond
	// maxLagFraction is the largest lag, as a fraction of the timeout, at which a connection
	// that times out counts: opening one takes two steps of this daemon.
	maxLagFraction = 1. / 3
	// maxLagging limits how often the timeout is doubled because the daemon lags.
	maxLagging = 3
	// lagRetention is how long a lag counts after the check that found it.
	lagRetention = 5 * time.Second
	// checkServers is the number of servers to which a check connects.
	checkServers = 4
	// minServers is the number of servers that must be known for a verdict: a single one
	// may have ended.
	minServers = 2
	// Silence is how long a request may wait for its server, while no other server
	// answers either, until the daemon's path is in doubt.
	Silence = 150 * time.Millisecond
	// checkInterval is the minimum time between two checks, and recheckInterval that
	// while the daemon is partitioned.
	checkInterval   = time.Second
	recheckInterval = 250 * time.Millisecond
	// confirmingChecks is the number of successive checks that confirm a partition.
	confirmingChecks = 2
)

// Target is a server to which a check may connect.
type Target struct {
	ID      string
	Service string
	Domain  string
}

// Check is the result of connecting to some servers.
type Check struct {
	// BegunAt and EndedAt are when it began and ended.
	BegunAt, EndedAt time.Time
	// Tried is the number of servers, and Reached the number of them that accepted the
	// connection.
	Tried, Reached int
	// Silent is the number of servers that neither accepted nor refused it.
	Silent int
	// Lag is the longest time for which this daemon should have run and did not.
	Lag time.Duration
}

// Detector decides whether a daemon is partitioned. The zero value has seen nothing and
// reports no partition.
type Detector struct {
	// answeredAt is when a server last sent anything or a check reached one.
	answeredAt time.Time
	// unconnected holds the servers to which no connection could be opened since one
	// last was.
	unconnected set.Set[string]
	// unanswered holds the servers at which a request ended without any answer since a
	// server last sent anything.
	unanswered set.Set[string]
	// reported is whether another daemon has become partitioned since a server last sent
	// anything and since the last check.
	reported bool
	// checkedAt is when the last check ended; zero before the first one.
	checkedAt time.Time
	// lagging is the number of successive checks that do not count because of the lag, at
	// most maxLagging.
	lagging int
	// failed is the number of successive checks that reached no server.
	failed int
	// since is when a server last answered before the partition; zero while there is none.
	since time.Time
	// silent is whether a server neither accepted nor refused the last check.
	silent bool
}

// Answered records that a server has sent something.
func (d *Detector) Answered(at time.Time) {
	if at.After(d.answeredAt) {
		d.answeredAt = at
		d.reported = false
		d.unanswered = set.Set[string]{}
	}
}

// Connected records that a connection to a server was opened.
func (d *Detector) Connected() {
	d.unconnected = set.Set[string]{}
}

// NotConnected records that no connection to a server could be opened.
func (d *Detector) NotConnected(server string) {
	d.unconnected.Add(server)
}

// Unanswered records that a request to a server ended without any answer.
func (d *Detector) Unanswered(server string) {
	d.unanswered.Add(server)
}

// PeerPartitioned records that another daemon has become partitioned. What cuts it off may
// cut this daemon off as well.
func (d *Detector) PeerPartitioned() {
	d.reported = true
}

// InDoubt reports whether the daemon may be partitioned: several servers could not be
// connected to or did not answer; or no server has answered for Silence, and a request
// waits since a time or failed at one server. A zero time stands for no request.
func (d *Detector) InDoubt(now, waitingSince time.Time) bool {
	failed := max(d.unconnected.Len(), d.unanswered.Len())
	if d.Partitioned() || failed >= minServers {
		return true
	}
	if now.Sub(d.answeredAt) < Silence {
		return false
	}
	return failed > 0 || !waitingSince.IsZero() && now.Sub(waitingSince) >= Silence
}

// CheckDue reports whether to check now, given since when the request waits that has
// waited longest.
func (d *Detector) CheckDue(now, waitingSince time.Time) bool {
	interval := checkInterval
	if d.Partitioned() || d.Lagging(now) {
		interval = recheckInterval
	}
	reported := d.reported && now.Sub(d.answeredAt) >= Silence
	return now.Sub(d.checkedAt) >= interval && (reported || d.InDoubt(now, waitingSince))
}

// Lagging reports whether the last check did not count because the daemon lagged. Until one
// does, that servers don't answer tells nothing.
func (d *Detector) Lagging(now time.Time) bool {
	return d.lagging > 0 && now.Sub(d.checkedAt) < lagRetention
}

// Timeout returns how long a check that begins now waits for connections: longer after each
// one during which the daemon lagged, so that a partition is found all the same.
func (d *Detector) Timeout(now time.Time) time.Duration {
	if !d.Lagging(now) {
		return CheckTimeout
	}
	return CheckTimeout << d.lagging
}

// Checked applies the result of a check. A partition begins when a check reaches no server,
// and ends when one reaches at least half of them.
func (d *Detector) Checked(c Check) {
	timeout := d.Timeout(c.BegunAt)
	if !d.Lagging(c.BegunAt) {
		d.lagging = 0
	}
	d.checkedAt, d.reported = c.EndedAt, false
	if c.Reached == 0 && c.Silent > 0 && c.Lag > time.Duration(maxLagFraction*float64(timeout)) {
		d.lagging = min(d.lagging+1, maxLagging)
		return
	}
	d.lagging = 0
	if c.Reached > 0 {
		d.Connected()
		d.Answered(c.EndedAt)
	}
	switch {
	case c.Tried < minServers:
	case c.Reached == 0:
		d.failed++
		d.silent = c.Silent > 0
		if d.since.IsZero() {
			d.since = c.BegunAt
			if !d.answeredAt.IsZero() && d.answeredAt.Before(c.BegunAt) {
				d.since = d.answeredAt
			}
		}
	case 2*c.Reached >= c.Tried:
		d.failed, d.since, d.silent = 0, time.Time{}, false
	}
}

// Partitioned reports whether the daemon is partitioned.
func (d *Detector) Partitioned() bool {
	return !d.since.IsZero()
}

// Silent reports whether the daemon is partitioned and connections to servers hang: open
// ones probably do so as well.
func (d *Detector) Silent() bool {
	return d.Partitioned() && d.silent
}

// Confirmed reports whether the daemon is partitioned and another check has confirmed it.
func (d *Detector) Confirmed() bool {
	return d.Partitioned() && d.failed >= confirmingChecks
}

// Since returns when a server last answered before the partition, or the zero time.
func (d *Detector) Since() time.Time {
	return d.since
}

// Choose returns the servers to which the next check connects: of as many services and
// failure domains as possible, because those of one may have ended together. Servers are
// taken in the order given, those that could not be reached lately last.
func (d *Detector) Choose(all []Target) []Target {
	unconnected := func(t Target) bool { return d.unconnected.Contains(t.ID) }
	rest := slices.DeleteFunc(slices.Clone(all), unconnected)
	for _, t := range all {
		if unconnected(t) {
			rest = append(rest, t)
		}
	}
	var out []Target
	for len(out) < checkServers && len(rest) > 0 {
		best := 0
		for i := range rest {
			if novelty(rest[i], out) > novelty(rest[best], out) {
				best = i
			}
		}
		out = append(out, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return out
}

// novelty returns how much a server differs from those chosen: first by the service that
// fewest of them have, then by the failure domain.
func novelty(t Target, chosen []Target) int {
	n := 0
	for _, c := range chosen {
		if c.Service == t.Service {
			n -= checkServers
		}
		if c.Domain == t.Domain {
			n--
		}
	}
	return n
}
