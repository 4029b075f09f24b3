package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/base/seed"
)

// workers is the number of concurrent callers of each kind.
const workers = 4

// balancer chooses daemons as the platform's load balancer does: it polls their
// readiness, and therefore detects with a delay that one is draining.
type balancer struct {
	cluster *cluster
	next    atomic.Uint64
	ready   []atomic.Bool
	group   sync.WaitGroup
}

// newBalancer returns a balancer that polls until the context ends.
func newBalancer(ctx context.Context, c *cluster) *balancer {
	b := &balancer{cluster: c, ready: make([]atomic.Bool, len(c.daemons))}
	for i := range c.daemons {
		b.ready[i].Store(true)
		b.group.Go(func() {
			k := time.NewTicker(5 * pollInterval)
			defer k.Stop()
			for ctx.Err() == nil {
				b.ready[i].Store(c.ready(c.daemons[i]))
				<-k.C
			}
		})
	}
	return b
}

// choose returns the index of a daemon that was ready when last polled.
func (b *balancer) choose() int {
	for {
		i := int(b.next.Add(1)) % len(b.ready)
		if b.ready[i].Load() {
			return i
		}
	}
}

// TestDaemonKilledUnderLoad kills a daemon while callers send requests that may
// not be repeated and retry them with the same ID through other daemons. Each
// request must run at most once.
func TestDaemonKilledUnderLoad(t *testing.T) {
	c := newCluster(t, withSlowService(30*time.Millisecond))
	const requests = 40
	var sent atomic.Int64
	var g sync.WaitGroup
	answered := make([][]string, workers)
	for w := range workers {
		g.Go(func() {
			r := seed.Rand(uint64(w))
			for n := range requests {
				id := fmt.Sprintf("request-%d-%d", w, n)
				sent.Add(1)
				if c.book(id, r.IntN(len(c.daemons))) {
					answered[w] = append(answered[w], id)
				}
			}
		})
	}
	eventually(t, "callers send requests", func() bool { return sent.Load() > requests })
	c.daemons[1].kill()
	g.Wait()
	runs := c.runs()
	complete := 0
	for id, n := range runs {
		if strings.HasPrefix(id, "request-") {
			must.LessEq(t, 1, n, must.Sprintf("%s ran %d times", id, n))
		}
	}
	for _, ids := range answered {
		complete += len(ids)
		for _, id := range ids {
			must.Eq(t, 1, runs[id], must.Sprint(id))
		}
	}
	t.Logf("%d of %d requests were answered, each ran at most once", complete, workers*requests)
	// Only requests that the killed daemon was handling may remain unanswered.
	must.GreaterEq(t, workers*requests-workers, complete)
}

// book sends one request, first through daemon i and then through the others,
// until it is answered. It reports whether it received the answer to this
// request.
func (c *cluster) book(id string, i int) bool {
	for n := range 4 * len(c.daemons) {
		a := c.plain((i+n)%len(c.daemons), callerKey, "/bookings/oven", id, id)
		switch {
		case a.err == nil && a.status == http.StatusOK:
			return strings.Contains(a.body, id)
		case a.refusal == "MayHaveRun" || a.refusal == "GaveUp":
			return false
		}
	}
	return false
}

// TestRollingRestart restarts all daemons one after another under load. No
// request may be interrupted or refused.
func TestRollingRestart(t *testing.T) {
	c := newCluster(t, withSlowService(20*time.Millisecond), withSlowEngines(100))
	ctx, stop := context.WithCancel(t.Context())
	b := newBalancer(ctx, c)
	var g sync.WaitGroup
	var done atomic.Int64
	failures := make(chan string, 3*workers)
	for w := range workers {
		client := &http.Client{Transport: &http.Transport{}}
		t.Cleanup(client.CloseIdleConnections)
		g.Go(func() { c.load(ctx, &done, failures, func(n int) string { return c.loadPlain(b, client, w, n) }) })
		g.Go(func() { c.load(ctx, &done, failures, func(n int) string { return c.loadOpen(b, client) }) })
		g.Go(func() { c.load(ctx, &done, failures, func(n int) string { return c.loadStream(b, client, w, n) }) })
	}
	eventually(t, "callers send requests", func() bool { return done.Load() > 20 })
	for _, d := range c.daemons {
		before := done.Load()
		d.terminate(t)
		c.startDaemon(d)
		c.awaitReady(d)
		eventually(t, "callers still send requests", func() bool { return done.Load() > before+20 })
	}
	stop()
	g.Wait()
	b.group.Wait()
	close(failures)
	for f := range failures {
		t.Error(f)
	}
	t.Logf("%d requests while three daemons were restarted", done.Load())
	for id, n := range c.runs() {
		if strings.HasPrefix(id, "load-") {
			must.Eq(t, 1, n, must.Sprint(id))
		}
	}
}

// load sends requests until one fails or the context ends.
func (c *cluster) load(ctx context.Context, done *atomic.Int64, failures chan<- string, send func(n int) string) {
	for n := 0; ctx.Err() == nil; n++ {
		if f := send(n); f != "" {
			failures <- f
			return
		}
		done.Add(1)
	}
}

func (c *cluster) loadOpen(b *balancer, h *http.Client) string {
	i := b.choose()
	if a := c.plainWith(h, i, "", "/hours", "", "hours"); a.err != nil || a.status != http.StatusOK {
		return fmt.Sprintf("open request through daemon %d: %+v", i, a)
	}
	return ""
}

func (c *cluster) loadPlain(b *balancer, h *http.Client, w, n int) string {
	i := b.choose()
	id := fmt.Sprintf("load-%d-%d", w, n)
	a := c.plainWith(h, i, callerKey, "/bookings/oven", id, id)
	if a.err != nil || a.status != http.StatusOK || !strings.Contains(a.body, id) {
		return fmt.Sprintf("%s through daemon %d: %+v", id, i, a)
	}
	return ""
}

// loadStream generates one answer. Every fourth one takes longer than the
// balancer's delay.
func (c *cluster) loadStream(b *balancer, h *http.Client, w, n int) string {
	i := b.choose()
	m := &callerv1.GenerateRequest{Pool: string(pool), Prompt: fmt.Sprintf("story %d-%d", w, n), MaxTokens: 20}
	if n%4 == 0 {
		m.MaxTokens = 250
	}
	a, err := c.generateWith(c.t.Context(), h, i, callerKey, m, nil)
	if err != nil || a.text != expected(m) {
		return fmt.Sprintf("%s through daemon %d: %d tokens, %v", m.GetPrompt(), i, a.tokens, err)
	}
	return ""
}
