package schedule

import "time"

const (
	// firstPatience is how long a server may take to the first event.
	firstPatience = 700 * time.Millisecond
	// pausePatience is how long a server may pause between two events.
	pausePatience = 350 * time.Millisecond
	// settleTime is how long an item stays with a server before it is moved for
	// speed alone.
	settleTime = time.Second
	// moveGain is the least time that moving an item must save. Stopping it and
	// resuming it elsewhere takes about a quarter of it.
	moveGain = 600 * time.Millisecond
)

// Running is an item that runs.
type Running struct {
	Work   Work
	Server string
	// SentAt is when the item was sent to its server.
	SentAt time.Time
	// ProgressAt is when the last event came, or the item was sent.
	ProgressAt time.Time
	// Leaving is whether the server has announced that it leaves.
	Leaving bool
	// Begun is whether an event has come from this server.
	Begun bool
}

// Move returns which running items are to be stopped and resumed on another
// server: those whose server leaves or has fallen silent, and those that a slow
// server would finish later than a faster one with room. An item stays where it is
// while no other server has room.
func Move(now time.Time, running []Running, servers []Server) []Running {
	fastest := Fastest(servers)
	var out []Running
	for _, r := range running {
		i := pick(Work{Service: r.Work.Service, Model: r.Work.Model, MinVersion: r.Work.MinVersion, Avoid: r.Server}, servers, fastest, access{reserved: true})
		if i < 0 || servers[i].ID == r.Server {
			continue
		}
		if r.Leaving || r.Silent(now) || now.Sub(r.SentAt) > settleTime && gains(r, servers, servers[i], fastest) {
			servers[i].Free--
			out = append(out, r)
		}
	}
	return out
}

// Silent reports whether the item's server has made nothing for too long.
func (r Running) Silent(now time.Time) bool {
	patience := firstPatience
	if r.Begun {
		patience = pausePatience
	}
	return now.Sub(r.ProgressAt) > patience
}

// gains reports whether the rest of an item is done sooner by moving it to a
// server.
func gains(r Running, servers []Server, to Server, fastest time.Duration) bool {
	for _, s := range servers {
		if s.ID != r.Server {
			continue
		}
		if to.Slow(fastest) {
			return false
		}
		// The item itself is part of its server's load.
		here := Server{Pace: s.Pace, Load: s.Load - 1}
		saved := here.expected(fastest) - to.expected(fastest)
		return time.Duration(r.Work.Remaining)*saved > moveGain
	}
	return false
}
