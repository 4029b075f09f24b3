//go:build soak

package endtoend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/base/seed"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

const (
	// soakVariable is the environment variable with the duration of a soak.
	soakVariable      = "LACEWINGTALLY_SOAK"
	defaultSoakLength = 40 * time.Second
	// maxAttempts is how often a caller sends one request at most.
	maxAttempts = 6
	// maxFreeze bounds how long a process stays frozen.
	maxFreeze = 6 * time.Second
	// maxFault bounds how long the table's fault lasts.
	maxFault = 8 * time.Second
	// answerTimeout is how long a caller waits for one answer.
	answerTimeout = 15 * time.Second
)

// booking is the outcome of one request that may not be repeated, as observed by
// its caller.
type booking struct {
	// answers holds the bodies of the complete answers.
	answers []string
	// mayHaveRun is whether the request may have run, according to the responses.
	mayHaveRun bool
}

// record collects what callers observed.
type record struct {
	mutex       sync.Mutex
	bookings    map[string]booking
	complete    int
	refused     int
	interrupted int
	wrong       []string
}

// fault is one kind of fault. run injects it and returns after it has ended.
type fault struct {
	name string
	run  func(c *cluster, r *rand.Rand)
}

func faults() []fault {
	return []fault{
		{name: "kill a daemon", run: func(c *cluster, r *rand.Rand) {
			d := c.daemons[r.IntN(len(c.daemons))]
			d.kill()
			sleepUpTo(r, 3*time.Second)
			c.startDaemon(d)
		}},
		{name: "restart a daemon", run: func(c *cluster, r *rand.Rand) {
			d := c.daemons[r.IntN(len(c.daemons))]
			d.terminate(c.t)
			c.startDaemon(d)
		}},
		{name: "freeze a daemon", run: func(c *cluster, r *rand.Rand) {
			d := c.daemons[r.IntN(len(c.daemons))]
			d.freeze()
			sleepUpTo(r, maxFreeze)
			d.resume()
		}},
		{name: "freeze an engine", run: func(c *cluster, r *rand.Rand) {
			e := c.engines[r.IntN(len(c.engines))]
			e.freeze()
			sleepUpTo(r, maxFreeze)
			e.resume()
		}},
		{name: "freeze the service", run: func(c *cluster, r *rand.Rand) {
			c.service.freeze()
			sleepUpTo(r, maxFreeze)
			c.service.resume()
		}},
		{name: "table unavailable", run: tableFaultFor("Outage")},
		{name: "table slow", run: tableFaultFor("Slow")},
		{name: "table loses answers", run: tableFaultFor("AnswersLost")},
	}
}

func tableFaultFor(mode string) func(c *cluster, r *rand.Rand) {
	return func(c *cluster, r *rand.Rand) {
		c.fault(c.table, tableFault{Mode: mode, DelayMillis: 700})
		sleepUpTo(r, maxFault)
		c.fault(c.table, tableFault{})
	}
}

func sleepUpTo(r *rand.Rand, longest time.Duration) {
	time.Sleep(time.Duration(r.Int64N(int64(longest))))
}

// TestSoak injects faults into a running system, at times two at once, and
// compares what callers observed with what the backend servers ran.
func TestSoak(t *testing.T) {
	c := newCluster(t, withSlowService(20*time.Millisecond))
	length, err := time.ParseDuration(os.Getenv(soakVariable))
	if err != nil {
		length = defaultSoakLength
	}
	ctx, stop := context.WithTimeout(t.Context(), length)
	defer stop()
	rec := &record{bookings: make(map[string]booking)}
	var callers, injectors sync.WaitGroup
	for w := range workers {
		callers.Go(func() { c.soakBookings(ctx, rec, w) })
		callers.Go(func() { c.soakStreams(ctx, rec, w) })
	}
	var daemons sync.Mutex
	for k := range 2 {
		injectors.Go(func() { c.injectFaults(ctx, &daemons, seed.Rand(uint64(100+k))) })
	}
	callers.Wait()
	injectors.Wait()
	for _, d := range c.daemons {
		c.awaitReady(d)
	}
	c.awaitServing()
	rec.check(t, c.runs())
	c.apply(0, c.changedConfig(), "after the soak")
}

// injectFaults injects one fault after another. Of the faults that run at once,
// only one may affect the daemons.
func (c *cluster) injectFaults(ctx context.Context, daemons *sync.Mutex, r *rand.Rand) {
	kinds := faults()
	for ctx.Err() == nil {
		f := kinds[r.IntN(len(kinds))]
		if strings.HasSuffix(f.name, "daemon") {
			daemons.Lock()
		}
		c.t.Logf("%s: %s", time.Now().Format("15:04:05.000"), f.name)
		f.run(c, r)
		if strings.HasSuffix(f.name, "daemon") {
			daemons.Unlock()
		}
		sleepUpTo(r, 2*time.Second)
	}
}

func (c *cluster) soakBookings(ctx context.Context, rec *record, w int) {
	r := seed.Rand(uint64(w))
	h := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("soak-%d-%d", w, n)
		var b booking
		for i := range maxAttempts {
			a := c.plainWith(h, r.IntN(len(c.daemons)), callerKey, "/bookings/oven", id, id)
			if a.err != nil || a.refusal == "MayHaveRun" {
				b.mayHaveRun = true
			}
			if a.err == nil && a.status == http.StatusOK {
				b.answers = append(b.answers, a.body)
			}
			// Some callers retry requests that have been answered.
			if len(b.answers) > 0 && i > r.IntN(2) {
				break
			}
		}
		rec.addBooking(id, b)
	}
}

func (c *cluster) soakStreams(ctx context.Context, rec *record, w int) {
	r := seed.Rand(uint64(50 + w))
	for n := 0; ctx.Err() == nil; n++ {
		m := &callerv1.GenerateRequest{Pool: string(pool), Prompt: fmt.Sprintf("soak %d %d", w, n), MaxTokens: 60, Seed: uint64(n)}
		requestCtx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		a, err := c.generateWith(requestCtx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
			r.IntN(len(c.daemons)), callerKey, m, nil)
		cancel()
		rec.addStream(m, a, err)
	}
}

func (r *record) addBooking(id string, b booking) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bookings[id] = b
}

// check compares what callers observed with how often the service started each
// request.
func (r *record) check(t *testing.T, runs map[string]int) {
	answered, unknown, notRun := 0, 0, 0
	for id, b := range r.bookings {
		n := runs[id]
		must.LessEq(t, 1, n, must.Sprintf("%s ran %d times", id, n))
		switch {
		case len(b.answers) > 0:
			answered++
			must.Eq(t, 1, n, must.Sprintf("%s was answered", id))
			for _, w := range b.answers {
				must.Eq(t, b.answers[0], w, must.Sprintf("%s has two different answers", id))
				must.StrContains(t, w, id)
			}
		case b.mayHaveRun:
			unknown++
		default:
			notRun++
			must.Eq(t, 0, n, must.Sprintf("%s was refused as not run each time", id))
		}
	}
	must.SliceEmpty(t, r.wrong)
	t.Logf("bookings: %d answered, %d may have run, %d not run; streams: %d complete, %d refused, %d interrupted",
		answered, unknown, notRun, r.complete, r.refused, r.interrupted)
	must.Positive(t, answered)
	must.Positive(t, r.complete)
}

func (r *record) addStream(m *callerv1.GenerateRequest, a generation, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	want := expected(m)
	switch {
	case err == nil && a.text != want:
		r.wrong = append(r.wrong, m.GetPrompt()+": answer of another request: "+a.text)
	case err == nil:
		r.complete++
	case !strings.HasPrefix(want, a.text):
		r.wrong = append(r.wrong, m.GetPrompt()+": wrong partial answer: "+a.text)
	case a.tokens == 0:
		r.refused++
	default:
		r.interrupted++
	}
}

// changedConfig returns a configuration that differs from config in one default.
func (c *cluster) changedConfig() config.Config {
	next := c.config()
	next.Defaults = map[config.Setting]float64{config.Weight: 3}
	return next
}
