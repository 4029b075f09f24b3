package attempt_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/attempt"
	"github.com/lacewingtally/lacewingtally/internal/standin/recorded"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

var results = []attempt.Result{
	attempt.ResultCrashed, attempt.ResultTruncated, attempt.ResultNotSent, attempt.ResultProtocol,
	attempt.ResultRefused, attempt.ResultStopped, attempt.ResultComplete,
}

// mayRun reports whether an attempt with the given result may have run.
func mayRun(r attempt.Result) bool {
	return r != attempt.ResultNotSent && r != attempt.ResultRefused
}

// runAttempts passes results to a Run until the request ends and checks each
// decision. It returns the number of attempts.
func runAttempts(t rapid.TB, repeatable bool, next func(n int) attempt.Result) int {
	r := attempt.Run{Deadline: now.Add(time.Minute), Repeatable: repeatable}
	ran, crashes := false, 0
	for n := 0; ; n++ {
		if !r.Begin() {
			t.Fatalf("attempt %d was not allowed after a Retry", n)
		}
		result := next(n)
		ran = ran || mayRun(result)
		if result == attempt.ResultCrashed {
			crashes++
		}
		d := r.End(now, result, nil)
		if crashes > 2 {
			t.Fatalf("%d crashes", crashes)
		}
		switch d.Action {
		case attempt.Deliver:
			if result != attempt.ResultComplete {
				t.Fatalf("delivered after result %d", result)
			}
			return n + 1
		case attempt.Refuse:
			if ran && errors.Is(d.Refusal, refusal.ErrNotRun) {
				t.Fatal("refused with NotRun although an attempt may have run")
			}
			if !ran && !errors.Is(d.Refusal, refusal.ErrNotRun) {
				t.Fatalf("refused with %v although no attempt has run", d.Refusal)
			}
			return n + 1
		}
		if ran && !repeatable {
			t.Fatal("retried a request that may have run and must not be repeated")
		}
		if d.At.Before(now) || !d.At.Before(r.Deadline) {
			t.Fatalf("next attempt at %v", d.At)
		}
	}
}

func TestRunModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runAttempts(t, rapid.Bool().Draw(t, "repeatable"), func(int) attempt.Result {
			return rapid.SampledFrom(results).Draw(t, "result")
		})
	})
}

// TestMatrixRun runs every sequence of three results, the last one repeated
// until the request ends.
func TestMatrixRun(t *testing.T) {
	n := 0
	for _, a := range results {
		for _, b := range results {
			for _, c := range results {
				for _, repeatable := range []bool{false, true} {
					sequence := []attempt.Result{a, b, c}
					attempts := runAttempts(t, repeatable, func(n int) attempt.Result { return sequence[min(n, 2)] })
					must.LessEq(t, 8, attempts)
					n++
				}
			}
		}
	}
	must.EqOp(t, len(results)*len(results)*len(results)*2, n)
	t.Logf("%d cells", n)
}

func TestRunDeadline(t *testing.T) {
	r := attempt.Run{Deadline: now.Add(time.Millisecond), Repeatable: true}
	must.True(t, r.Begin())
	d := r.End(now, attempt.ResultNotSent, nil)
	must.EqOp(t, attempt.Refuse, d.Action)
	must.EqOp(t, refusal.ReasonDeadline, d.Refusal.Reason)
	must.ErrorIs(t, d.Refusal, refusal.ErrNotRun)
}

// Names of results and actions in the recorded traces.
var (
	resultNames = map[string]attempt.Result{
		"Crashed": attempt.ResultCrashed, "Truncated": attempt.ResultTruncated, "NotSent": attempt.ResultNotSent,
		"Protocol": attempt.ResultProtocol, "Refused": attempt.ResultRefused, "Stopped": attempt.ResultStopped,
		"Complete": attempt.ResultComplete,
	}
	actionNames = map[string]attempt.Action{
		"Deliver": attempt.Deliver, "Refuse": attempt.Refuse, "Retry": attempt.Retry,
	}
)

// trace is a recorded request: the results of its attempts with the expected
// decisions.
type trace struct {
	Name       string        `yaml:"Name"`
	Repeatable bool          `yaml:"Repeatable"`
	Deadline   time.Duration `yaml:"Deadline"`
	Steps      []struct {
		After   time.Duration `yaml:"After"`
		Result  string        `yaml:"Result"`
		Want    string        `yaml:"Want"`
		Wait    time.Duration `yaml:"Wait"`
		Refusal string        `yaml:"Refusal"`
	} `yaml:"Steps"`
}

func TestTraces(t *testing.T) {
	recorded.Each(t, func(t *testing.T, traces []trace) {
		must.SliceNotEmpty(t, traces)
		for _, x := range traces {
			t.Run(x.Name, func(t *testing.T) { replay(t, x) })
		}
	})
}

func replay(t *testing.T, x trace) {
	r := attempt.Run{Deadline: now.Add(x.Deadline), Repeatable: x.Repeatable}
	at := now
	for n, s := range x.Steps {
		note := must.Sprintf("step %d", n)
		must.True(t, r.Begin(), note)
		at = at.Add(s.After)
		d := r.End(at, resultNames[s.Result], nil)
		must.EqOp(t, actionNames[s.Want], d.Action, note)
		switch d.Action {
		case attempt.Retry:
			must.EqOp(t, s.Wait, d.At.Sub(at), note)
			at = d.At
		case attempt.Refuse:
			must.EqOp(t, s.Refusal, d.Refusal.Error(), note)
		}
	}
}

// TestOwedRequestSurvivesCrashes lets more servers crash under a request than others may
// crash: it must be retried.
func TestOwedRequestSurvivesCrashes(t *testing.T) {
	r := attempt.Run{Deadline: now.Add(time.Minute), Repeatable: true, Owed: true}
	for range 5 {
		must.True(t, r.Begin())
		must.EqOp(t, attempt.Retry, r.End(now, attempt.ResultCrashed, nil).Action)
	}
	must.True(t, r.Begin())
	must.EqOp(t, attempt.Deliver, r.End(now, attempt.ResultComplete, nil).Action)
}
