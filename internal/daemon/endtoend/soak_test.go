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
	// soakVariable is the environment variable with the length of a soak.
	soakVariable = "LACEWINGTALLY_SOAK"
	standardSoak = 40 * time.Second
	// repeats is how often a caller sends one request at most.
	repeats = 6
	// longestFreeze bounds how long a daemon stays frozen.
	longestFreeze = 6 * time.Second
	// longestFault bounds how long the table's fault lasts.
	longestFault = 8 * time.Second
	// patience is how long a caller waits for one answer.
	patience = 15 * time.Second
)

// booking is what one caller saw of one request that may not be repeated.
type booking struct {
	// whole holds the bodies of the whole answers.
	whole []string
	// begun is whether the request may have run, by what the caller was told.
	begun bool
}

// record collects what callers saw.
type record struct {
	mutex    sync.Mutex
	bookings map[string]booking
	whole    int
	refused  int
	cut      int
	wrong    []string
}

// fault is one kind of trouble; it returns once the trouble is over.
type fault struct {
	name string
	run  func(c *cluster, r *rand.Rand)
}

func faults() []fault {
	return []fault{
		{name: "kill a daemon", run: func(c *cluster, r *rand.Rand) {
			d := c.daemons[r.IntN(len(c.daemons))]
			d.kill()
			pause(r, 3*time.Second)
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
			pause(r, longestFreeze)
			d.thaw()
		}},
		{name: "freeze an engine", run: func(c *cluster, r *rand.Rand) {
			e := c.engines[r.IntN(len(c.engines))]
			e.freeze()
			pause(r, longestFreeze)
			e.thaw()
		}},
		{name: "freeze the service", run: func(c *cluster, r *rand.Rand) {
			c.service.freeze()
			pause(r, longestFreeze)
			c.service.thaw()
		}},
		{name: "table out", run: tableFaultFor("Outage")},
		{name: "table slow", run: tableFaultFor("Slow")},
		{name: "table loses answers", run: tableFaultFor("AnswersLost")},
	}
}

func tableFaultFor(mode string) func(c *cluster, r *rand.Rand) {
	return func(c *cluster, r *rand.Rand) {
		c.fault(c.table, tableFault{Mode: mode, DelayMillis: 700})
		pause(r, longestFault)
		c.fault(c.table, tableFault{})
	}
}

func pause(r *rand.Rand, longest time.Duration) {
	time.Sleep(time.Duration(r.Int64N(int64(longest))))
}

// TestSoak puts faults on a running system, at times two at once, and checks
// what callers saw against what the backend servers did.
func TestSoak(t *testing.T) {
	c := newCluster(t, withSlowService(20*time.Millisecond))
	length, err := time.ParseDuration(os.Getenv(soakVariable))
	if err != nil {
		length = standardSoak
	}
	ctx, stop := context.WithTimeout(t.Context(), length)
	defer stop()
	rec := &record{bookings: make(map[string]booking)}
	var callers, troubles sync.WaitGroup
	for w := range workers {
		callers.Go(func() { c.soakBookings(ctx, rec, w) })
		callers.Go(func() { c.soakStreams(ctx, rec, w) })
	}
	var daemons sync.Mutex
	for k := range 2 {
		troubles.Go(func() { c.trouble(ctx, &daemons, seed.Rand(uint64(100+k))) })
	}
	callers.Wait()
	troubles.Wait()
	for _, d := range c.daemons {
		c.awaitReady(d)
	}
	c.awaitServing()
	rec.check(t, c.runs())
	c.apply(0, c.changedConfig(), "after the soak")
}

// trouble puts one fault after another on the system. Only one of the faults
// that run at once touches the daemons.
func (c *cluster) trouble(ctx context.Context, daemons *sync.Mutex, r *rand.Rand) {
	all := faults()
	for ctx.Err() == nil {
		f := all[r.IntN(len(all))]
		if strings.HasSuffix(f.name, "daemon") {
			daemons.Lock()
		}
		c.t.Logf("%s: %s", time.Now().Format("15:04:05.000"), f.name)
		f.run(c, r)
		if strings.HasSuffix(f.name, "daemon") {
			daemons.Unlock()
		}
		pause(r, 2*time.Second)
	}
}

func (c *cluster) soakBookings(ctx context.Context, rec *record, w int) {
	r := seed.Rand(uint64(w))
	h := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("soak-%d-%d", w, n)
		var b booking
		for i := range repeats {
			a := c.plainWith(h, r.IntN(len(c.daemons)), callerKey, "/bookings/oven", id, id)
			if a.err != nil || a.refusal == "MayHaveRun" {
				b.begun = true
			}
			if a.err == nil && a.status == http.StatusOK {
				b.whole = append(b.whole, a.body)
			}
			// Some callers repeat what they have an answer to.
			if len(b.whole) > 0 && i > r.IntN(2) {
				break
			}
		}
		rec.book(id, b)
	}
}

func (c *cluster) soakStreams(ctx context.Context, rec *record, w int) {
	r := seed.Rand(uint64(50 + w))
	for n := 0; ctx.Err() == nil; n++ {
		m := &callerv1.GenerateRequest{Pool: string(pool), Prompt: fmt.Sprintf("soak %d %d", w, n), MaxTokens: 60, Seed: uint64(n)}
		one, cancel := context.WithTimeout(context.Background(), patience)
		a, err := c.generateWith(one, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
			r.IntN(len(c.daemons)), callerKey, m, nil)
		cancel()
		rec.stream(m, a, err)
	}
}

func (k *record) book(id string, b booking) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.bookings[id] = b
}

// check compares what callers saw with how often the service began each
// request.
func (k *record) check(t *testing.T, runs map[string]int) {
	answered, unknown, notRun := 0, 0, 0
	for id, b := range k.bookings {
		n := runs[id]
		must.LessEq(t, 1, n, must.Sprintf("%s ran %d times", id, n))
		switch {
		case len(b.whole) > 0:
			answered++
			must.Eq(t, 1, n, must.Sprintf("%s has an answer", id))
			for _, w := range b.whole {
				must.Eq(t, b.whole[0], w, must.Sprintf("%s has two answers", id))
				must.StrContains(t, w, id)
			}
		case b.begun:
			unknown++
		default:
			notRun++
			must.Eq(t, 0, n, must.Sprintf("%s was refused as not run each time", id))
		}
	}
	must.SliceEmpty(t, k.wrong)
	t.Logf("bookings: %d answered, %d may have run, %d not run; streams: %d whole, %d refused, %d cut",
		answered, unknown, notRun, k.whole, k.refused, k.cut)
	must.Positive(t, answered)
	must.Positive(t, k.whole)
}

func (k *record) stream(m *callerv1.GenerateRequest, a text, err error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	whole := expected(m)
	switch {
	case err == nil && a.text != whole:
		k.wrong = append(k.wrong, m.GetPrompt()+": not its own answer: "+a.text)
	case err == nil:
		k.whole++
	case !strings.HasPrefix(whole, a.text):
		k.wrong = append(k.wrong, m.GetPrompt()+": wrong part: "+a.text)
	case a.tokens == 0:
		k.refused++
	default:
		k.cut++
	}
}

// changedConfig differs from config in one default.
func (c *cluster) changedConfig() config.Config {
	next := c.config()
	next.Defaults = map[config.Setting]float64{config.Weight: 3}
	return next
}
