package experiment

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

const (
	// windowLength is that of a usage window, and windowGrace how long after
	// its end the last parts may come.
	windowLength = time.Minute
	windowGrace  = 15 * time.Second
	// lateAfter is how long after its end a window's report is late.
	lateAfter = time.Minute
	// spotPrice is the price of a spot server, a standard one being 1 an hour.
	spotPrice = 0.35
)

// Result is what one run measured.
type Result struct {
	// Idle is the part of the time that trainers waited, after their first
	// step.
	Idle float64
	// Lag is the mean number of versions that used samples were behind, and
	// OldPart the part of them at the bound.
	Lag     float64
	OldPart float64
	// Discarded is the part of the samples that became too old.
	Discarded float64
	// Steps is the number of training steps begun.
	Steps float64
	// WorstWait is the 99th percentile of the wait for the first token of the
	// workspace where it is largest, in seconds; WorstInTime is the part of
	// the answers that came whole and in time where it is smallest. The
	// workspace that overloads is left out.
	WorstWait   float64
	WorstInTime float64
	// DeskWait is the 99th percentile of the plain service's wait.
	DeskWait float64
	// Cost is that of a million useful tokens, in hours of a standard server.
	Cost float64
	// Late is the part of the usage windows reported late.
	Late float64
	// SpotPart is the part of the tokens made on spot servers.
	SpotPart float64
	// Harm is the part of the tokens lost by reclaims, and Cut the number of
	// requests cut by them.
	Harm float64
	Cut  float64
}

// tally counts during a run.
type tally struct {
	workspaces map[fleet.Workspace]*count
	deskWaits  []float64
	standard   int
	spot       int
	usefulSum  int
	lostSum    int
	reclaimed  int
	cut        int
	cost       float64
	// open are the ends of windows that are not reported.
	open    []time.Time
	windows int
	late    int
}

type count struct {
	waits  []float64
	served int
	failed int
}

func (t *tally) failed(k *work) {
	if k.arrival == nil {
		return
	}
	t.of(k.request.Workspace).failed++
}

func (t *tally) lost(tokens int) { t.lostSum += tokens }

func (t *tally) made(k fleet.Kind, tokens int) {
	if k == fleet.Spot {
		t.spot += tokens
	} else {
		t.standard += tokens
	}
}

func (t *tally) of(w fleet.Workspace) *count {
	if t.workspaces == nil {
		t.workspaces = make(map[fleet.Workspace]*count)
	}
	c := t.workspaces[w]
	if c == nil {
		c = &count{}
		t.workspaces[w] = c
	}
	return c
}

// pay counts the cost of a server up to now.
func (t *tally) pay(n *node, now time.Time) {
	price := 1.0
	if n.server.Kind == fleet.Spot {
		price = spotPrice
	}
	if n.server.Pool == "models" {
		t.cost += price * now.Sub(n.startAt).Hours()
	}
}

func (t *tally) served(k *work) {
	wait := k.firstAt.Sub(k.arrivedAt).Seconds()
	if k.arrival.Class == fleet.Critical {
		t.deskWaits = append(t.deskWaits, wait)
		return
	}
	c := t.of(k.request.Workspace)
	c.served++
	c.waits = append(c.waits, wait)
	t.useful(k.arrival.Tokens)
}

func (t *tally) useful(tokens int) { t.usefulSum += tokens }

// closeWindow ends a usage window; it is reported after the grace, or once the
// table service is back.
func (w *world) closeWindow() {
	end := w.now
	w.tally.windows++
	w.after(windowGrace, func() {
		w.tally.open = append(w.tally.open, end)
		w.storeReturned()
	})
}

// storeReturned does what had to wait for the table service.
func (w *world) storeReturned() {
	if w.storeDown {
		return
	}
	for _, end := range w.tally.open {
		if w.now.Sub(end) > lateAfter {
			w.tally.late++
		}
	}
	w.tally.open = w.tally.open[:0]
	for _, t := range w.trainers {
		t.form()
	}
}

func (w *world) result() Result {
	t := &w.tally
	for _, id := range w.nodeIDs {
		if n := w.nodes[id]; !n.gone {
			t.pay(n, w.now)
		}
	}
	made := max(float64(t.standard+t.spot), 1)
	r := Result{
		WorstInTime: 1,
		DeskWait:    percentile(t.deskWaits, 0.99),
		Cost:        t.cost / max(float64(t.usefulSum), 1) * 1e6,
		Late:        float64(t.late) / float64(max(t.windows, 1)),
		SpotPart:    float64(t.spot) / made,
		Harm:        float64(t.reclaimed) / made,
		Cut:         float64(t.cut),
	}
	for name, c := range t.workspaces {
		if name == w.trace.OverloadingWorkspace {
			continue
		}
		r.WorstWait = max(r.WorstWait, percentile(c.waits, 0.99))
		r.WorstInTime = min(r.WorstInTime, float64(c.served)/float64(max(c.served+c.failed, 1)))
	}
	w.trainingResult(&r)
	return r
}

func (w *world) trainingResult(r *Result) {
	var used, discarded, lags, old int
	var idle, whole float64
	for _, t := range w.trainers {
		if !t.busy && !t.firstAt.IsZero() {
			t.idle += w.now.Sub(t.idleSince)
		}
		if t.firstAt.IsZero() {
			t.idle += w.trace.Duration
			t.firstAt = epoch
		}
		idle += t.idle.Seconds()
		whole += w.now.Sub(t.firstAt).Seconds()
		used += t.used
		discarded += t.discarded
		r.Steps += float64(t.steps)
		for lag, n := range t.lags {
			lags += lag * n
		}
		old += t.lags[maxLag]
	}
	r.Idle = idle / whole
	r.Lag = float64(lags) / float64(max(used, 1))
	r.OldPart = float64(old) / float64(max(used, 1))
	r.Discarded = float64(discarded) / float64(max(used+discarded, 1))
}

// percentile returns the value below which a part of the values lie.
func percentile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	v := slices.Sorted(slices.Values(values))
	return v[min(int(part*float64(len(v))), len(v)-1)]
}
