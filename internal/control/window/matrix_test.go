package window_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/control/window"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	"github.com/lacewingtally/lacewingtally/internal/platform/usage"
	"github.com/lacewingtally/lacewingtally/internal/standin/matrix"
)

// Steps in the life cycle of a window.
const (
	stepBegin   matrix.Step = "Begin"
	stepPart    matrix.Step = "Part"
	stepResolve matrix.Step = "Resolve"
	stepCursor  matrix.Step = "Cursor"
	stepClose   matrix.Step = "Close"
	stepParts   matrix.Step = "Parts"
	stepSeal    matrix.Step = "Seal"
	stepReport  matrix.Step = "Report"
	// stepChecked is between the last check of the charge and the report.
	stepChecked matrix.Step = "Checked"
	stepAdvance matrix.Step = "Advance"
)

// stepInterval is the time between two steps of the duty and between two
// additions of usage.
const stepInterval = 5 * time.Second

var steps = []matrix.Step{
	stepBegin, stepPart, stepResolve, stepCursor, stepClose, stepParts, stepSeal, stepReport, stepChecked, stepAdvance,
}

// dutyLease assigns the duty to one daemon at a time.
type dutyLease struct {
	mutex   sync.Mutex
	epoch   fleet.Epoch
	holder  int
	expires time.Time
}

// heldCharge is the charge of one holder between two renewals.
type heldCharge struct {
	epoch fleet.Epoch
	until time.Time
}

func (h heldCharge) Check(now time.Time) (fleet.Epoch, time.Time, error) {
	if !now.Before(h.until) {
		return 0, time.Time{}, lease.ErrNotHeld
	}
	return h.epoch, h.until, nil
}

// renew returns the charge of daemon n, which has expired unless n is the holder.
func (l *dutyLease) renew(n int) heldCharge {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if l.holder != n {
		if now.Before(l.expires) {
			return heldCharge{}
		}
		l.holder = n
		l.epoch++
	}
	l.expires = now.Add(3 * stepInterval)
	return heldCharge{epoch: l.epoch, until: now.Add(2 * stepInterval)}
}

// reporter is the usage service as one process calls it, with injected faults.
type reporter struct {
	process *matrix.Process
	usage   *usage.Memory
}

func (r reporter) Report(ctx context.Context, p usage.Report) error {
	if strings.HasPrefix(p.Window, "1999") {
		return r.usage.Report(ctx, p)
	}
	check := func() error { return rest.CheckGuard(ctx) }
	if err := r.process.Do(stepReport, matrix.PlatformErrors(), check); err != nil {
		return err
	}
	return r.process.Do(stepChecked, matrix.PlatformErrors(), func() error { return r.usage.Report(context.Background(), p) })
}

// step returns the step of a call. Windows before the first usage are empty and
// have no step, since a fault there cannot change the result.
func step(commit bool, keys []table.Key) matrix.Step {
	first, last := string(keys[0]), string(keys[len(keys)-1])
	switch {
	case strings.Contains(last, "/1999"):
		return ""
	case strings.HasPrefix(first, "Usage/r/Part/") && commit:
		return stepPart
	case strings.HasPrefix(first, "Usage/r/Part/") && len(keys) == 3:
		return stepResolve
	case first == "Usage/r/Part/":
		return stepBegin
	case strings.HasPrefix(first, "Usage/r/Part/"):
		return stepParts
	case strings.HasPrefix(first, "Usage/r/Closed/") && commit:
		return stepClose
	case strings.HasPrefix(last, "Usage/r/Sealed/") && commit:
		return stepSeal
	case first == "Usage/r/Cursor" && commit && len(keys) > 1:
		return stepAdvance
	case first == "Usage/r/Cursor" && !commit:
		return stepCursor
	}
	return ""
}

// daemon is one process with a writer and the duty.
type daemon struct {
	process *matrix.Process
	writer  *window.Writer
	wait    sync.WaitGroup
	// counted is the number of tokens passed to the writer while the process
	// ran.
	counted uint64
}

func start(ctx context.Context, t *table.Memory, u *usage.Memory, i *matrix.Injector, l *dutyLease, n int) *daemon {
	ctx, kill := context.WithCancel(ctx)
	d := &daemon{process: matrix.NewProcess(i, kill)}
	d.process.FreezeTime = window.Length + window.Grace + stepInterval
	d.process.DelayTime = window.Length
	faulty := &matrix.Table{Inner: t, Process: d.process, Step: step}
	incarnation := fleet.Incarnation(fmt.Sprint(n))
	d.writer = window.NewWriter(faulty, "r", incarnation)
	duty := window.NewDuty(faulty, reporter{process: d.process, usage: u}, "r", incarnation, events{})
	d.wait.Go(func() { _ = d.writer.Serve(ctx) })
	d.wait.Go(func() {
		for ctx.Err() == nil {
			d.process.Pause()
			_ = duty.Step(ctx, l.renew(n))
			time.Sleep(stepInterval)
		}
	})
	d.wait.Go(func() { d.traffic(ctx) })
	return d
}

// traffic adds tokens for one and a half windows.
func (d *daemon) traffic(ctx context.Context) {
	for range 18 {
		d.process.Pause()
		if d.process.Killed() || ctx.Err() != nil {
			return
		}
		d.writer.Add(usageOf(5))
		d.counted += 5
		time.Sleep(stepInterval)
	}
}

// runCase runs one cell of the matrix and returns an error that describes what
// went wrong.
func runCase(t *testing.T, c matrix.Cell) (err error) {
	synctest.Test(t, func(t *testing.T) {
		m, u := &table.Memory{}, &usage.Memory{}
		ctx, stop := context.WithCancel(t.Context())
		i := matrix.NewInjector(c)
		l := &dutyLease{}
		a := start(ctx, m, u, i, l, 1)
		time.Sleep(700 * time.Millisecond)
		b := start(ctx, m, u, i, l, 2)
		time.Sleep(9 * window.Length)
		stop()
		for _, d := range []*daemon{a, b} {
			d.wait.Wait()
			d.process.Wait()
		}
		if err = check(t, c, u.Received(), a, b); err == nil {
			err = checkSealedRows(t, m, u.Received())
		}
	})
	return err
}

// check returns an error unless each window was reported with one total, in order
// of epochs, and no tokens were lost or counted twice. A dead process may lose
// what it counted since its last flush and the content of a flush in progress.
func check(t *testing.T, c matrix.Cell, reports []usage.Report, daemons ...*daemon) error {
	// Reports may arrive out of the order of epochs only if a holder is frozen
	// between its last check and the write, or a report is delayed for longer
	// than a lease. The totals are the same even then.
	mayReorder := c.Has(stepChecked, matrix.FreezeBefore) || c.Has(stepReport, matrix.FreezeAfter) ||
		c.Has(stepChecked, matrix.Delayed)
	bodies := make(map[string]string)
	var newest fleet.Epoch
	var total uint64
	for _, r := range reports {
		if r.Epoch < newest && !mayReorder {
			return errors.Errorf("report of epoch %d after %d", r.Epoch, newest)
		}
		newest = max(newest, r.Epoch)
		if known, ok := bodies[r.Window]; ok {
			if known != string(r.Body) {
				return errors.Errorf("different totals reported for %s", r.Window)
			}
			continue
		}
		bodies[r.Window] = string(r.Body)
		var f window.Totals
		must.NoError(t, json.Unmarshal(r.Body, &f))
		for _, l := range f.Lines {
			total += l.Tokens
		}
	}
	var counted, lost uint64
	dead := 0
	for _, d := range daemons {
		counted += d.counted
		if d.process.Killed() {
			dead++
			lost += maxLossPerDaemon
		}
	}
	if dead == len(daemons) {
		lost = counted
	}
	if total > counted || total+lost < counted {
		return errors.Errorf("reported %d of %d tokens, %d may be lost", total, counted, lost)
	}
	return nil
}

// checkSealedRows returns an error if a sealed row differs from the report of its
// window.
func checkSealedRows(t *testing.T, m *table.Memory, reports []usage.Report) error {
	for _, r := range reports {
		rows, err := m.Read(t.Context(), table.Key("Usage/r/Sealed/"+r.Window))
		must.NoError(t, err)
		var s struct{ Body []byte }
		must.NoError(t, json.Unmarshal(rows[0].Value, &s))
		if string(s.Body) != string(r.Body) {
			return errors.Errorf("sealed row of %s changed after the report", r.Window)
		}
	}
	return nil
}

// maxLossPerDaemon is how many tokens a dead process may lose: two additions of
// five tokens in a flush in progress or held back by the cell's other fault, and
// one addition since.
const maxLossPerDaemon = 15

func TestMatrixWindowsReportedOnce(t *testing.T) {
	matrix.Run(t, steps, 1, func(t *testing.T, c matrix.Cell, _ int) error { return runCase(t, c) })
}

func TestNoFaults(t *testing.T) {
	must.NoError(t, runCase(t, nil))
}
