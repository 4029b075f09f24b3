package proxy_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// firstServer returns the address of the server that is granted first.
func (i *injector) firstServer() netip.AddrPort {
	if len(i.fixture.engines) > 0 {
		return address(1, 0)
	}
	return address(2, 0)
}

func isEnd(b []byte) bool {
	return bytes.Contains(b, []byte(`"End":true`))
}

// serviceFaults and serviceSteps are the dimensions of the service matrices.
var (
	serviceFaults = []fault{
		faultAnswerLost, faultBreak, faultCrash, faultWrongAttempt, faultDaemonDies, faultDuplicate,
		faultDelay, faultNoEnd, faultRefuse, faultHang, faultStoreDown,
	}
	serviceSteps = []step{
		stepDial, stepClaim, stepWriteBefore, stepWriteDuring, stepWriteAfter,
		stepFirstByte, stepMiddle, stepEnd, stepRelease,
	}
)

// TestMatrixServiceOnce sends a request that may not be repeated to a daemon, again
// to another daemon while the faults last, and once more to a third one without
// faults. It must run at most once, and each refusal must match what happened.
func TestMatrixServiceOnce(t *testing.T) {
	runCells(t, serviceFaults, serviceSteps, func(t *testing.T, cell []injection) {
		synctest.Test(t, func(t *testing.T) { serviceCell(t, cell, false) })
	})
}

// TestMatrixServiceWithDispatchers runs TestMatrixServiceOnce without the pairs of
// different faults and with admission by real dispatchers: a killed daemon is also
// a dispatcher.
func TestMatrixServiceWithDispatchers(t *testing.T) {
	n := 0
	for _, cell := range cells(serviceFaults, serviceSteps) {
		if len(cell) == 2 && cell[0] != cell[1] {
			continue
		}
		synctest.Test(t, func(t *testing.T) { serviceCell(t, cell, true) })
		n++
	}
	must.EqOp(t, 2*len(serviceFaults)*len(serviceSteps), n)
	t.Logf("%d cells", n)
}

// TestMatrixServiceKeyInvalid withdraws the key, or leaves the view unconfirmed, at
// each step, once and at two steps. No answer may be delivered after that, and each
// refusal must match what happened.
func TestMatrixServiceKeyInvalid(t *testing.T) {
	all := cells([]fault{faultKey, faultView}, serviceSteps)
	for _, cell := range all {
		synctest.Test(t, func(t *testing.T) {
			first := serviceCell(t, cell, false)
			// The claim is released after the last check of the key.
			if slices.ContainsFunc(cell, func(x injection) bool { return x.step != stepRelease }) {
				must.NotEqOp(t, http.StatusOK, first, must.Sprintf("cell %v", cell))
			}
		})
	}
	must.EqOp(t, cellCount(2, len(serviceSteps)), len(all))
	t.Logf("%d cells", len(all))
}

// serviceCell runs one cell and returns the status of the first call.
func serviceCell(t *testing.T, cell []injection, dispatchers bool) int {
	i := &injector{}
	f := newFixture(t, fixtureOptions{daemons: 3, services: 3, dispatchers: dispatchers, decide: i.decide, commit: i.commit})
	defer f.close()
	i.arm(f, cell)
	responses, first := "", 0
	for n := range 3 {
		if n == 2 {
			i.clear()
		}
		header := http.Header{}
		if n > 0 {
			header.Set("Request-Repeat", "true")
		}
		start := time.Now()
		status, h, body := f.post(n, "/bookings/oven", "id-1", "two hours", header)
		if n == 0 {
			first = status
		}
		runs := f.runs("id-1")
		kind := h.Get("Refusal-Kind")
		responses += fmt.Sprintf(" %d/%s", status, kind)
		note := must.Sprintf("cell %v, responses%s, runs %d", cell, responses, runs)
		must.LessEq(t, 1, runs, note)
		must.Less(t, 30*time.Second, time.Since(start), note)
		if kind == "NotRun" {
			must.Zero(t, runs, note)
		}
		if status == http.StatusOK {
			must.EqOp(t, 1, runs, note)
			must.EqOp(t, "run 1 for bakers of POST /bookings/oven: two hours\n", body, note)
		}
	}
	for _, s := range f.services {
		must.False(t, strings.Contains(string(s.Received()), key), must.Sprintf("cell %v", cell))
	}
	return first
}
