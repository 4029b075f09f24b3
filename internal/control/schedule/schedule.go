// Package schedule decides which item of a batch job runs next and on which
// backend server. Its functions do no I/O and read no clock.
//
// It is designed for the worst load: more items than slots, two or more jobs open
// at once, lengths that vary by a factor of a hundred and are known only roughly,
// and servers that load new weights one after another. The item with the least
// slack goes first. Slack is the time until its job is due less the time that the
// item still needs, so the longest items of a new job start before the shorter
// ones of an older job, unless the older job is late itself.
//
// A training step ends with its longest items, and a server generates each item
// faster the fewer it runs. So up to half of the servers, depending on how much load
// slows them down, are reserved for long items as long as the short ones, which end
// early anyway, are not urgent.
package schedule

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
)

const (
	// DefaultPace is the time per token assumed for a server without
	// measurements.
	DefaultPace = 700 * time.Microsecond
	// slowFactor times the time per token of the fastest server is the bound
	// above which a server gets work only if no other has a free slot.
	slowFactor = 2
	// nearFastestFactor is the ratio of the times per token up to which servers
	// count as equally fast.
	nearFastestFactor = 1.15
	// spreadFactor is the load factor assumed when long items are placed. Spreading them
	// costs nothing, and saves memory even on servers that load does not slow down:
	// a server that has no memory left preempts items.
	spreadFactor = defaultLoadFactor
	// longItemTime is the remaining time above which an item counts as long.
	longItemTime = 1500 * time.Millisecond
	// maxLongShare limits the fraction of the servers that is reserved for long items.
	maxLongShare = 0.5
	// urgentWait and urgentSlack make a short item urgent, so that it may take
	// any server: after that wait, or with less than that slack.
	urgentWait  = 500 * time.Millisecond
	urgentSlack = 3 * time.Second
	// maxSlowdown is the slowdown above which short items prefer another server.
	maxSlowdown = 1.5
	// spareWait is how long an item waits before it takes a slot of another
	// daemon's quota. Until then the other daemon can start its own items, and
	// its heartbeats report them.
	spareWait = time.Second
	// spareShare is the fraction of a server's slots up to which daemons without
	// a slot in their quota may use it.
	spareShare = 0.5
)

// Item is an item of a batch job that waits to be run.
type Item struct {
	ID string
	// Group identifies the items that the trainer accepts only together.
	Group string
	// Step is the ID of the batch job, and Trainer identifies who submitted it.
	Step    string
	Trainer string
	// Model and MinVersion are the model and the oldest version of its weights
	// that may run the item.
	Model      string
	MinVersion int
	// Service is the service whose servers may run the item.
	Service string
	DueAt   time.Time
	// Remaining is the expected number of tokens still to be generated.
	Remaining int
	// NotBefore is when the item may be tried again; zero is immediately.
	NotBefore time.Time
	// ReadyAt is when the item last started to wait.
	ReadyAt time.Time
	// Avoid is a server on which the item failed; empty for none.
	Avoid string
	// Software is the version of the software that generated the item's text so far, which
	// only servers of this version can continue. It is empty if there is no text.
	Software option.Option[string]
	// Produced is the number of tokens of that text.
	Produced int
	// Allows reports whether the item may run in a failure domain; nil if it may in all.
	Allows func(domain string) bool
}

// MayRunIn reports whether the item may run in a failure domain.
func (i Item) MayRunIn(domain string) bool {
	return i.Allows == nil || i.Allows(domain)
}

// Server is a backend server as the scheduler sees it.
type Server struct {
	ID      string
	Service string
	// Domain is the server's failure domain.
	Domain string
	// Software is the version of the server's software.
	Software string
	// Version returns the version of a model's weights on the server.
	Version func(model string) int
	// Free is the number of free slots in this daemon's quota.
	Free int
	// Spare is the number of slots outside its quota that this daemon may use
	// for items that have waited longer than spareWait.
	Spare int
	// Load is the number of items that all daemons run on the server, as far as
	// known.
	Load int
	// Pace is the time per token at low load; 0 is unknown.
	Pace time.Duration
	// Cold is whether the server is cold: it takes few requests, and may be lost if it gets
	// too many.
	Cold bool
	// Slowdown is how many times as long as by Pace work is expected to take at this moment,
	// because of other work on the server's machine; 0 or 1 if there is none. It passes
	// sooner than long items end.
	Slowdown float64
	// Loading is the model whose weights the server is loading; empty for none.
	// The server refuses the model's items meanwhile.
	Loading string

	// reserved is whether the server is reserved for long items.
	reserved bool
}

// Placement assigns an item to a server.
type Placement struct {
	Item   Item
	Server string
}

// Slack returns how long an item can wait and still be finished when its job is
// due.
func (i Item) Slack(now time.Time) time.Duration {
	return i.DueAt.Sub(now) - time.Duration(i.Remaining)*DefaultPace
}

// long reports whether an item counts as long.
func (i Item) long() bool {
	return time.Duration(i.Remaining)*DefaultPace > longItemTime
}

// urgent reports whether an item is urgent, so that it may take any server.
func (i Item) urgent(now time.Time) bool {
	return now.Sub(i.ReadyAt) > urgentWait || i.Slack(now) < urgentSlack
}

// Place assigns waiting items to servers on which they start now, given that there
// are no other servers. It updates Free, Spare and Load of the servers.
func Place(now time.Time, waiting []Item, servers []Server) []Placement {
	return NewSurvey(servers, defaultLoadFactor).Place(now, waiting, servers)
}

// Place assigns waiting items to servers on which they start now. It updates Free,
// Spare and Load of the servers, which may be a part of those surveyed.
func (v Survey) Place(now time.Time, waiting []Item, servers []Server) []Placement {
	return v.PlaceInOrder(now, waiting, servers, func(bySlack []Item) []Item { return bySlack })
}

// PlaceInOrder is Place with items starting in the order that arrange returns, given
// those that may start in the order of their slack.
func (v Survey) PlaceInOrder(now time.Time, waiting []Item, servers []Server, arrange func(bySlack []Item) []Item) []Placement {
	ready := make([]Item, 0, len(waiting))
	for _, it := range waiting {
		if !now.Before(it.NotBefore) {
			ready = append(ready, it)
		}
	}
	slices.SortStableFunc(ready, func(a, b Item) int { return int(a.Slack(now)/time.Millisecond - b.Slack(now)/time.Millisecond) })
	for i := range servers {
		servers[i].reserved = v.reserved.Contains(servers[i].ID)
	}
	var out []Placement
	for _, it := range arrange(ready) {
		i := v.pick(it, servers, it.access(now))
		if i < 0 {
			continue
		}
		servers[i].takeSlot()
		out = append(out, Placement{Item: it, Server: servers[i].ID})
	}
	return out
}

// FastestPace returns the time per token of the fastest server, DefaultPace if
// no server has measurements.
func FastestPace(servers []Server) time.Duration {
	best := time.Duration(0)
	for _, s := range servers {
		if s.Pace > 0 && (best == 0 || s.Pace < best) {
			best = s.Pace
		}
	}
	if best == 0 {
		return DefaultPace
	}
	return best
}

// nearFastest reports whether a server is about as fast as the fastest. A server
// without measurements counts as fast.
func (s Server) nearFastest(fastest time.Duration) bool {
	return float64(s.Pace) <= nearFastestFactor*float64(fastest)
}

// expected returns the time per token that one more item on a server would have, if
// each item slows it down by loadFactor.
func (v Survey) expected(s Server, loadFactor float64) time.Duration {
	return time.Duration(float64(max(s.Pace, v.fastest)) * (1 + loadFactor*float64(s.Load+1)))
}

// Slow reports whether a server is much slower than the fastest.
func (s Server) Slow(fastest time.Duration) bool {
	return s.Pace > slowFactor*fastest
}

// slowedDown reports whether work on a server takes much longer at this moment.
func (s Server) slowedDown() bool {
	return s.Slowdown > maxSlowdown
}

// access is which slots an item may take besides those in the daemon's quota.
type access struct {
	// reserved are slots on servers reserved for long items, spare those in the
	// quotas of other daemons.
	reserved, spare bool
}

// access returns which slots an item may take.
func (i Item) access(now time.Time) access {
	return access{
		reserved: i.long() || i.urgent(now),
		spare:    !i.ReadyAt.IsZero() && now.Sub(i.ReadyAt) > spareWait,
	}
}

// allows reports whether a server has a free slot that the item may take.
func (a access) allows(s Server) bool {
	if s.reserved && !a.reserved {
		return false
	}
	return s.Free > 0 || a.spare && s.Free == 0 && s.Spare > 0
}

// takeSlot takes a slot: a free one of the daemon's quota, or else a spare one.
func (s *Server) takeSlot() {
	s.Load++
	if s.Free > 0 {
		s.Free--
		return
	}
	s.Spare--
}

// pick returns the index of the best server for an item, or -1 if there is none.
func (v Survey) pick(it Item, servers []Server, a access) int {
	best := -1
	for i, s := range servers {
		if !s.canRun(it) || !a.allows(s) {
			continue
		}
		if best < 0 || v.better(it, s, servers[best]) {
			best = i
		}
	}
	return best
}

// canRun reports whether a server can run an item now: it is of the item's service, it
// can continue the item's text, and its weights are new enough and not being replaced.
func (s Server) canRun(it Item) bool {
	return s.Service == it.Service && it.MayRunIn(s.Domain) && it.Software.Or(s.Software) == s.Software &&
		s.Version(it.Model) >= it.MinVersion && !s.isLoading(it.Model)
}

// isLoading reports whether a server is loading the weights of a model.
func (s Server) isLoading(model string) bool {
	return s.Loading != "" && s.Loading == model
}

// better reports whether server a suits an item better than server b.
func (v Survey) better(it Item, a, b Server) bool {
	if (a.ID == it.Avoid) != (b.ID == it.Avoid) {
		return b.ID == it.Avoid
	}
	if a.Slow(v.fastest) != b.Slow(v.fastest) {
		return b.Slow(v.fastest)
	}
	if it.long() && a.Cold != b.Cold {
		return b.Cold
	}
	if a.reserved != b.reserved {
		return a.reserved == it.long()
	}
	if a.slowedDown() != b.slowedDown() && !it.long() {
		return b.slowedDown()
	}
	if x, y := v.expected(a, spreadFactor), v.expected(b, spreadFactor); it.long() && x != y {
		return x < y
	}
	if a.Load != b.Load {
		return a.Load < b.Load
	}
	if a.Free != b.Free {
		return a.Free > b.Free
	}
	return a.Pace < b.Pace
}
