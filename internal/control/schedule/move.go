package schedule

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
)

const (
	// firstEventTimeout is how long a server may take until the first event of
	// an item.
	firstEventTimeout = 700 * time.Millisecond
	// eventTimeout is how long a server may take between two events.
	eventTimeout = 350 * time.Millisecond
	// maxStallDoublings limits how often the timeouts of an item are doubled.
	maxStallDoublings = 5
	// minRunTime is how long an item stays on a server before it may be moved
	// only because another server is faster.
	minRunTime = time.Second
	// minMoveGain is the least time that moving an item must save. Stopping an
	// item and resuming it elsewhere takes about a quarter of that.
	minMoveGain = 600 * time.Millisecond
)

// Running is an item that runs on a server.
type Running struct {
	Item   Item
	Server string
	// SentAt is when the item was sent to its server.
	SentAt time.Time
	// ProgressAt is when the last event arrived; before the first one, when the
	// item was sent.
	ProgressAt time.Time
	// Leaving is whether the server has announced that it will be removed.
	Leaving bool
	// Started is whether an event has arrived from this server.
	Started bool
	// Stalls is the number of times that the item was stopped because its server
	// counted as unresponsive.
	Stalls int
}

// Move is Survey.Move, given that there are no other servers.
func Move(now time.Time, running []Running, servers []Server) []Running {
	return NewSurvey(servers, defaultLoadFactor).Move(now, running, servers)
}

// Move returns the running items that are to be stopped and resumed on another
// server: those whose server leaves or has stopped responding, and those that a
// faster server would finish sooner, which is not cold. An item stays where it is while no other
// server has a free slot. Only servers of the software version that generated its text
// can continue it; an item on a server that has stopped responding moves to another
// version if there is no such server, and starts over. Move updates Free of the servers,
// which may be a part of those surveyed but must contain those of the running items.
func (v Survey) Move(now time.Time, running []Running, servers []Server) []Running {
	var out []Running
	for _, r := range running {
		unresponsive := r.Unresponsive(now)
		i := v.pickOther(r, r.Item.Software, servers)
		if i < 0 && unresponsive {
			i = v.pickOther(r, option.Option[string]{}, servers)
		}
		if i < 0 {
			continue
		}
		// What a cold server takes is for items that do not run.
		if r.Leaving || unresponsive || now.Sub(r.SentAt) > minRunTime && !servers[i].Cold && v.finishesSooner(r, servers, servers[i]) {
			servers[i].Free--
			out = append(out, r)
		}
	}
	return out
}

// pickOther returns the index of the best server for an item other than the one that runs
// it, of the given software version if that is not empty; -1 if there is none.
func (v Survey) pickOther(r Running, software option.Option[string], servers []Server) int {
	it := Item{Service: r.Item.Service, Model: r.Item.Model, MinVersion: r.Item.MinVersion, Avoid: r.Server, Software: software, Allows: r.Item.Allows}
	i := v.pick(it, servers, access{reserved: true})
	if i >= 0 && servers[i].ID == r.Server {
		return -1
	}
	return i
}

// Unresponsive reports whether the item has received no event for longer than the
// timeout. The timeout doubles each time that the item is stopped for it: on engines
// that are slower than it allows, stopping the item again and again would not help.
func (r Running) Unresponsive(now time.Time) bool {
	timeout := firstEventTimeout
	if r.Started {
		timeout = eventTimeout
	}
	return now.Sub(r.ProgressAt) > timeout<<min(r.Stalls, maxStallDoublings)
}

// finishesSooner reports whether moving an item to a server finishes it sooner by
// more than minMoveGain. It is false if that server is slow itself.
func (v Survey) finishesSooner(r Running, servers []Server, to Server) bool {
	for _, s := range servers {
		if s.ID != r.Server {
			continue
		}
		if to.Slow(v.fastest) {
			return false
		}
		// The item itself is part of its server's load.
		current := Server{Pace: s.Pace, Load: s.Load - 1}
		saved := v.expected(current, v.loadFactor) - v.expected(to, v.loadFactor)
		return time.Duration(r.Item.Remaining)*saved > minMoveGain
	}
	return false
}
