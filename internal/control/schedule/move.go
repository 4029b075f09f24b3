package schedule

import "time"

const (
	// firstPatience is how long a server may take to the first event.
	firstPatience = 700 * time.Millisecond
	// pausePatience is how long a server may pause between two events.
	pausePatience = 400 * time.Millisecond
	// moveCost is what stopping an item and resuming it elsewhere takes.
	moveCost = 150 * time.Millisecond
)

// Running is an item that runs.
type Running struct {
	Work   Work
	Server string
	// ProgressAt is when the last event came, or the item was sent.
	ProgressAt time.Time
	// Begun is whether an event has come from this server.
	Begun bool
}

// Move returns which running items are to be stopped and resumed on another
// server: those whose server has fallen silent, and those that a slow server
// would finish later than a faster one with room. An item stays where it is
// while no other server has room.
func Move(now time.Time, running []Running, servers []Server) []Running {
	fastest := Fastest(servers)
	var out []Running
	for _, r := range running {
		i := pick(Work{Service: r.Work.Service, Model: r.Work.Model, MinVersion: r.Work.MinVersion, Avoid: r.Server}, servers, fastest)
		if i < 0 || servers[i].ID == r.Server || servers[i].Busy {
			continue
		}
		if silent(now, r) || gains(r, servers, servers[i], fastest) {
			servers[i].Free--
			out = append(out, r)
		}
	}
	return out
}

func silent(now time.Time, r Running) bool {
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
		if !s.Slow(fastest) || to.Slow(fastest) {
			return false
		}
		pace := max(to.Pace, fastest)
		return time.Duration(r.Work.Remaining)*(s.Pace-pace) > moveCost
	}
	return false
}
