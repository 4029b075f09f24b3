package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	surgeSlots = 6
	surgeQueue = 24
	surgeWork  = 60 * time.Millisecond
)

// surgeServer runs surgeSlots requests at a time, queues surgeQueue and refuses others.
type surgeServer struct {
	slots   chan struct{}
	waiting atomic.Int32
}

func (s *surgeServer) run(ctx context.Context, work time.Duration, reports bool) (*backend.Response, error) {
	load := func() backend.Load {
		l := backend.Load{Known: true, Running: len(s.slots), Waiting: int(s.waiting.Load()), Slots: surgeSlots}
		if reports {
			l.Slowdown = 1
		}
		return l
	}
	if s.waiting.Load() >= surgeQueue {
		r := notRunResponse()
		r.Load = load()
		return r, nil
	}
	s.waiting.Add(1)
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-ctx.Done():
		s.waiting.Add(-1)
		return nil, backend.ErrIncomplete
	}
	defer func() { <-s.slots }()
	select {
	case <-time.After(work):
	case <-ctx.Done():
		return nil, backend.ErrIncomplete
	}
	r := okResponse()
	r.Load = load()
	return r, nil
}

// surgeClient sends requests to servers. The work of a request follows from its ID, not from the
// order in which requests are sent at one moment: that differs from run to run.
type surgeClient struct {
	backend.Client

	servers map[string]*surgeServer
	reports bool
}

// Do implements backend.Client.
func (c *surgeClient) Do(ctx context.Context, to backend.Server, q backend.Request) (*backend.Response, error) {
	n, err := strconv.Atoi(q.ID)
	if err != nil {
		return nil, err
	}
	return c.servers[to.ID].run(ctx, surgeWork/2+surgeWork*time.Duration(n%16)/15, c.reports)
}

// surgeResult counts the callers of a replay by what they got.
type surgeResult struct {
	mutex                                      sync.Mutex
	callers, inTime, answered, refused, failed int
	// refusal is the longest time until a refusal, and took the sum of the times of the answers
	// from the attempt that brought them.
	refusal, took time.Duration
}

// replaySurge replays a surge of a span at a rate, before and after which few callers come.
func replaySurge(t *testing.T, rate float64, span time.Duration, reports bool) *surgeResult {
	result := &surgeResult{}
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(3, 0))
		servers := map[string]*surgeServer{}
		software := map[string]string{}
		for _, id := range []string{"a", "b", "c"} {
			servers[id], software[id] = &surgeServer{slots: make(chan struct{}, surgeSlots)}, ""
		}
		c := &surgeClient{servers: servers, reports: reports}
		var m store.Memory
		daemons := make([]*Forwarder, 77)
		for i := range daemons {
			daemons[i], _ = newForwarderOf(t, c, &m, software)
			daemons[i].balancer.Random = rand.New(rand.NewPCG(3, uint64(i))).Uint64
		}
		target := route.Route{Kind: route.Safe, MaxServers: 3, Objective: 150 * time.Millisecond, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
		var callers sync.WaitGroup
		for start, n := time.Now(), 0; time.Since(start) < span+4*time.Second; n++ {
			current := 12.0
			if e := time.Since(start); e > 2*time.Second && e < 2*time.Second+span {
				current = rate
			}
			time.Sleep(time.Duration(r.ExpFloat64() / current * float64(time.Second)))
			deadline := time.Now().Add([]time.Duration{800 * time.Millisecond, 2 * time.Second}[n%2])
			first, second := daemons[r.IntN(len(daemons))], daemons[r.IntN(len(daemons))]
			callers.Go(func() { result.call(first, second, target, strconv.Itoa(n), deadline) })
		}
		callers.Wait()
	})
	return result
}

// call is a caller that tries twice.
func (s *surgeResult) call(first, second *Forwarder, target route.Route, id string, deadline time.Time) {
	for i, f := range []*Forwarder{first, second} {
		now := time.Now()
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		err := f.Do(ctx, target, "w", Request{Request: backend.Request{ID: id, Method: "POST", Deadline: deadline}, ArrivedAt: now}, &recordedResponse{})
		cancel()
		took := time.Since(now)
		var e *refusal.Error
		if i == 0 && errors.As(err, &e) && errors.Is(e, refusal.ErrNotRun) && !e.RetryAt.IsZero() {
			s.mutex.Lock()
			s.refusal = max(s.refusal, took)
			s.mutex.Unlock()
			time.Sleep(min(time.Until(e.RetryAt), time.Until(deadline)/3))
			continue
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.callers++
		switch {
		case err == nil && took <= target.Objective:
			s.inTime++
			s.answered++
			s.took += took
		case err == nil:
			s.answered++
			s.took += took
		case errors.Is(err, refusal.ErrNotRun):
			s.refused++
		default:
			s.failed++
		}
		return
	}
}

// TestSurgeIsAnsweredOrRefusedAtOnce replays surges of three times what the servers can do,
// with servers that report how fast they are and others that don't. With reports, refusals
// take no time and the callers come back spread over time, so that more are answered.
func TestSurgeIsAnsweredOrRefusedAtOnce(t *testing.T) {
	for _, span := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		without, with := replaySurge(t, 900, span, false), replaySurge(t, 900, span, true)
		t.Log(span, "without reports", without, "with", with)
		must.Eq(t, without.callers, with.callers)
		must.GreaterEq(t, 21*without.answered/20, with.answered)
		must.LessEq(t, 5*time.Millisecond, with.refusal)
		must.Eq(t, 0, with.failed)
	}
	// Two thirds of what the servers can do: nobody is refused.
	calm := replaySurge(t, 200, time.Second, true)
	must.Eq(t, calm.callers, calm.inTime, must.Sprint(calm))
}

// String returns the figures.
func (s *surgeResult) String() string {
	return fmt.Sprintf("callers %d in time %d answered %d refused %d failed %d, refusal %v, answer %v",
		s.callers, s.inTime, s.answered, s.refused, s.failed, s.refusal, s.took/time.Duration(max(1, s.answered)))
}

// TestRequestThatMissesItsDeadlineIsNotSent lets a server report that thirty requests wait for
// six slots: a request with little time left is refused at once as not run, without an
// attempt, and others are sent.
func TestRequestThatMissesItsDeadlineIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) {
			time.Sleep(300 * time.Millisecond)
			r := okResponse()
			r.Load = backend.Load{Known: true, Running: 6, Waiting: 30, Slots: 6, Slowdown: 1}
			return r, nil
		}}
		f, m := newForwarder(t, c)
		do := func(left time.Duration) error {
			now := time.Now()
			r := route.Route{Kind: route.Unsafe, MaxServers: 2, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
			return f.Do(t.Context(), r, "w", Request{Request: backend.Request{ID: "r", Method: "POST", Deadline: now.Add(left)}, ArrivedAt: now}, &recordedResponse{})
		}
		must.NoError(t, do(time.Second))
		start := time.Now()
		checkRefusal(t, do(200*time.Millisecond), refusal.ErrNotRun, refusal.ReasonOverload)
		must.Eq(t, start, time.Now())
		must.Len(t, 1, c.servers)
		must.Eq(t, 1, m.counted)
		must.NoError(t, do(time.Second))
	})
}
