package proxy_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// first is the address of the server that is granted first.
func (i *injector) first() netip.AddrPort {
	if len(i.fixture.engines) > 0 {
		return address(1, 0)
	}
	return address(2, 0)
}

func isEnd(b []byte) bool {
	return bytes.Contains(b, []byte(`"End":true`))
}

// TestMatrixServiceOnce sends a request that may not be repeated through a
// daemon, again through another one while faults last, and once more when all
// is well.
func TestMatrixServiceOnce(t *testing.T) {
	faults := []fault{
		faultAnswerLost, faultBreak, faultCrash, faultCrossed, faultDaemonDies, faultDoubled,
		faultLate, faultNoEnd, faultRefuse, faultSilent, faultStoreDown,
	}
	steps := []step{
		stepDial, stepClaim, stepWriteBefore, stepWriteDuring, stepWriteAfter,
		stepFirstByte, stepMiddle, stepEnd, stepRelease,
	}
	runCells(t, faults, steps, func(t *testing.T, cell []injection) {
		synctest.Test(t, func(t *testing.T) { serviceCell(t, cell) })
	})
}

func serviceCell(t *testing.T, cell []injection) {
	i := &injector{}
	f := newFixture(t, fixtureOptions{daemons: 3, services: 3, decide: i.decide, commit: i.commit})
	defer f.close()
	i.arm(f, cell)
	said := ""
	for n := range 3 {
		if n == 2 {
			i.heal()
		}
		header := http.Header{}
		if n > 0 {
			header.Set("Request-Repeat", "true")
		}
		begun := time.Now()
		status, h, body := f.post(n, "/bookings/oven", "id-1", "two hours", header)
		runs := f.runs("id-1")
		kind := h.Get("Refusal-Kind")
		said += fmt.Sprintf(" %d/%s", status, kind)
		note := must.Sprintf("cell %v, said%s, runs %d", cell, said, runs)
		must.LessEq(t, 1, runs, note)
		must.Less(t, 30*time.Second, time.Since(begun), note)
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
}
