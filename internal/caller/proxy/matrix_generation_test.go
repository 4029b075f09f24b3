package proxy_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	standengine "github.com/lacewingtally/lacewingtally/internal/standin/engine"
)

// middleRead is the index of a read in the middle of a stream from the stand-in
// engine: the first read returns the headers, each later one a chunk.
const middleRead = 5

// TestMatrixGenerationComplete requests an answer from a daemon and, after a
// refusal, the rest of it from the next daemon, until the answer is complete. It
// must then contain each token once.
func TestMatrixGenerationComplete(t *testing.T) {
	faults := []fault{
		faultBreak, faultCrash, faultWrongAttempt, faultDaemonDies, faultDuplicate, faultKey,
		faultDelay, faultNoEnd, faultRefuse, faultHang, faultView,
	}
	steps := []step{
		stepGrant, stepDial, stepWriteBefore, stepWriteDuring, stepWriteAfter,
		stepFirstByte, stepMiddle, stepEnd, stepRelease,
	}
	runCells(t, faults, steps, func(t *testing.T, cell []injection) {
		synctest.Test(t, func(t *testing.T) { generationCell(t, cell) })
	})
}

func generationCell(t *testing.T, cell []injection) {
	i := &injector{middle: middleRead}
	f := newFixture(t, fixtureOptions{
		daemons: 3, engines: 3, decide: i.decide,
		acquire: func() { i.injectAt(stepGrant) },
		release: func() { i.injectAt(stepRelease) },
		engine:  []standengine.Option{standengine.WithTokensPerSecond(100)},
	})
	defer f.close()
	i.arm(f, cell)
	want := standengine.Text("ovens", 7, 0, tokens)
	m := &callerv1.GenerateRequest{RequestId: "id-1", Prompt: "ovens"}
	for n := range 4 {
		if n == 3 {
			i.clear()
		}
		start := time.Now()
		part, err := f.resume(min(n, 2), key, m, func(c *callerv1.GenerateResponse) {
			must.Positive(t, c.WeightVersion)
			must.True(t, i.keyValid(), must.Sprintf("cell %v: chunk after the key became invalid", cell))
			m.Offset += c.Tokens
		})
		m.Partial += part
		note := must.Sprintf("cell %v, call %d, got %d, %v", cell, n, m.Offset, err)
		must.True(t, strings.HasPrefix(want, m.Partial), note)
		must.Less(t, time.Minute, time.Since(start), note)
		if err == nil {
			must.EqOp(t, want, m.Partial, note)
			break
		}
		if generationRefused(t, f, err, n) {
			break
		}
		must.Less(t, 3, n, note)
	}
	for _, e := range f.engines {
		must.False(t, strings.Contains(string(e.Received()), key), must.Sprintf("cell %v", cell))
	}
}

// generationRefused checks a refusal and reports whether it is final. The broken
// connection to a killed daemon returns no refusal.
func generationRefused(t *testing.T, f *fleetFixture, err error, call int) bool {
	if f.daemons[0].killed.Load() && call == 0 {
		return false
	}
	r := refusalOf(t, err)
	switch r.Kind {
	case callerv1.Refusal_KIND_NOT_RUN:
		runs := 0
		for _, e := range f.engines {
			runs += e.Runs(fleet.RequestID("id-1"))
		}
		if call == 0 {
			must.Zero(t, runs)
		}
	case callerv1.Refusal_KIND_GAVE_UP:
		must.EqOp(t, string(refusal.ReasonQuarantine), r.Reason)
		must.Positive(t, r.RetryAfter.AsDuration())
		return true
	}
	return false
}
