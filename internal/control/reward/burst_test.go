package reward_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/reward"
)

const (
	daemons     = 8
	servers     = 6
	slots       = 6
	callTime    = 80 * time.Millisecond
	liveTime    = 25 * time.Millisecond
	liveEvery   = 20 * time.Millisecond
	groupSize   = 8
	burstGroups = 27
	// liveObjective is the target response time of the live requests.
	liveObjective = 150 * time.Millisecond
	tick          = 5 * time.Millisecond
)

// burst replays the moment at which all items of a step become complete at once,
// while live requests arrive at the same servers.
type burst struct {
	now     time.Time
	calls   map[string]*burstCall
	servers []*burstServer
	// liveTimes are the response times of the live requests.
	liveTimes []time.Duration
	// groupDone is when the last call of each group was answered.
	groupDone map[int]time.Duration
	begunAt   time.Time
}

type burstCall struct {
	reward.Call

	daemon int
	done   bool
}

// burstServer runs requests in the order of their arrival.
type burstServer struct {
	id      string
	running []*burstRequest
	waiting []*burstRequest
}

type burstRequest struct {
	// call is nil for a live request.
	call      *burstCall
	arrivedAt time.Time
	endsAt    time.Time
	took      time.Duration
}

// sendFunc sends the waiting calls of one daemon.
type sendFunc func(b *burst, daemon int)

func newBurst() *burst {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	b := &burst{now: at, begunAt: at, calls: make(map[string]*burstCall), groupDone: make(map[int]time.Duration)}
	for n := range servers {
		b.servers = append(b.servers, &burstServer{id: fmt.Sprint("s", n)})
	}
	for n := range burstGroups * groupSize {
		// The groups become complete in no particular order.
		group := n * 7 % burstGroups
		id := fmt.Sprintf("%03d", n)
		b.calls[id] = &burstCall{daemon: n % daemons, Call: reward.Call{
			ID: id, Service: "r", DueAt: at.Add(5 * time.Second), Group: group, Objective: 400 * time.Millisecond,
		}}
	}
	return b
}

// run advances the time until all calls are answered.
func (b *burst) run(t *testing.T, send sendFunc) {
	for n := 0; !b.finished(); n++ {
		must.Less(t, 2000, n)
		if b.now.Sub(b.begunAt)%liveEvery == 0 {
			b.least().arrive(b.now, &burstRequest{took: liveTime})
		}
		for d := range daemons {
			send(b, d)
		}
		b.now = b.now.Add(tick)
		for _, s := range b.servers {
			b.advance(s)
		}
	}
}

func (b *burst) finished() bool {
	for _, c := range b.calls {
		if !c.done {
			return false
		}
	}
	return true
}

// least returns the server with the fewest requests.
func (b *burst) least() *burstServer {
	return slices.MinFunc(b.servers, func(a, b *burstServer) int { return a.load() - b.load() })
}

func (b *burst) advance(s *burstServer) {
	var running []*burstRequest
	for _, r := range s.running {
		if b.now.Before(r.endsAt) {
			running = append(running, r)
			continue
		}
		b.answer(r)
	}
	s.running = running
	for len(s.running) < slots && len(s.waiting) > 0 {
		r := s.waiting[0]
		s.waiting = s.waiting[1:]
		r.endsAt = b.now.Add(r.took)
		s.running = append(s.running, r)
	}
}

func (b *burst) answer(r *burstRequest) {
	if r.call == nil {
		b.liveTimes = append(b.liveTimes, b.now.Sub(r.arrivedAt))
		return
	}
	r.call.done = true
	b.groupDone[r.call.Group] = b.now.Sub(b.begunAt)
}

func (s *burstServer) load() int {
	return len(s.running) + len(s.waiting)
}

func (s *burstServer) arrive(now time.Time, r *burstRequest) {
	r.arrivedAt = now
	s.waiting = append(s.waiting, r)
}

func (b *burst) send(id, server string) {
	c := b.calls[id]
	c.Servers = append(c.Servers, server)
	c.SentAt = b.now
	for _, s := range b.servers {
		if s.id == server {
			s.arrive(b.now, &burstRequest{call: c, took: callTime})
		}
	}
}

// waiting returns the unanswered calls of a daemon, in the order of their IDs.
func (b *burst) waiting(daemon int) []reward.Call {
	var out []reward.Call
	for _, c := range b.calls {
		if c.daemon == daemon && !c.done {
			out = append(out, c.Call)
		}
	}
	slices.SortFunc(out, func(a, b reward.Call) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// place sends calls as reward.Place decides.
func place(b *burst, daemon int) {
	calls := b.waiting(daemon)
	running := make(map[string]int)
	for _, c := range calls {
		for _, s := range c.Servers {
			running[s]++
		}
	}
	var list []reward.Server
	for n, s := range b.servers {
		// Each daemon is closest to other servers.
		distance := float64((n + daemon) % servers)
		list = append(list, reward.Server{
			ID: s.id, Service: "r", Slots: slots, Running: running[s.id],
			Cost: distance + 10*float64(running[s.id]), CallCost: 10,
		})
	}
	for _, p := range reward.Place(b.now, calls, list, reward.Share{Rank: daemon, Daemons: daemons}) {
		b.send(p.Call, p.Server)
	}
}

// sendAll is the plain baseline: it sends each call as soon as its text is
// complete, to one server after another.
func sendAll(b *burst, daemon int) {
	for n, c := range b.waiting(daemon) {
		if len(c.Servers) == 0 {
			b.send(c.ID, b.servers[(n+daemon)%servers].id)
		}
	}
}

// firstGroupsDone returns when the calls of the first n groups were answered.
func (b *burst) firstGroupsDone(n int) time.Duration {
	last := time.Duration(0)
	for g := range n {
		last = max(last, b.groupDone[g])
	}
	return last
}

// TestBurstLeavesRoomForLiveRequests replays a burst of calls. Live requests must
// stay within their objective, and the groups that the trainer listed first must
// be scored first; the baseline misses both.
func TestBurstLeavesRoomForLiveRequests(t *testing.T) {
	placed, plain := newBurst(), newBurst()
	placed.run(t, place)
	plain.run(t, sendAll)
	must.LessEq(t, liveObjective, slices.Max(placed.liveTimes))
	must.Greater(t, liveObjective, slices.Max(plain.liveTimes))
	half := burstGroups / 2
	must.Less(t, plain.firstGroupsDone(half), placed.firstGroupsDone(half))
	t.Logf("slowest live request %v, baseline %v; first half of the groups %v, baseline %v; all groups %v, baseline %v",
		slices.Max(placed.liveTimes), slices.Max(plain.liveTimes), placed.firstGroupsDone(half), plain.firstGroupsDone(half),
		placed.firstGroupsDone(burstGroups), plain.firstGroupsDone(burstGroups))
}
