package proxy_test

import (
	"bytes"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	standservice "github.com/lacewingtally/lacewingtally/internal/standin/service"
)

func TestPassThroughRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{daemons: 2, services: 2})
		defer f.close()
		status, _, first := f.post(0, "/bookings/oven", "id-1", "two hours", nil)
		must.EqOp(t, http.StatusOK, status)
		status, _, again := f.post(1, "/bookings/oven", "id-1", "two hours", nil)
		must.EqOp(t, http.StatusOK, status)
		must.EqOp(t, first, again)
		must.EqOp(t, 1, f.runs("id-1"))
		status, h, _ := f.post(1, "/bookings/oven", "id-1", "three hours", nil)
		must.EqOp(t, http.StatusConflict, status)
		must.EqOp(t, "NotRun", h.Get("Refusal-Kind"))
	})
}

func TestPassThroughLostAnswerMayHaveRun(t *testing.T) {
	for _, kind := range []standservice.FaultKind{
		standservice.FaultWrongAttempt, standservice.FaultCut, standservice.FaultCutBody, standservice.FaultHang,
	} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, fixtureOptions{daemons: 2, services: 2})
				defer f.close()
				f.services[0].SetFaults(standservice.Fault{Kind: kind, Count: 1})
				status, h, _ := f.post(0, "/bookings", "id-1", "two hours", nil)
				must.EqOp(t, http.StatusBadGateway, status)
				must.EqOp(t, "MayHaveRun", h.Get("Refusal-Kind"))
				status, h, _ = f.post(1, "/bookings", "id-1", "two hours", nil)
				must.EqOp(t, http.StatusConflict, status)
				must.EqOp(t, "MayHaveRun", h.Get("Refusal-Kind"))
				must.EqOp(t, 1, f.runs("id-1"))
			})
		})
	}
}

func TestPassThroughWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := func(bool, []table.Key) table.Fault { return table.FaultUnavailable }
		f := newFixture(t, fixtureOptions{services: 1, tableFault: down})
		defer f.close()
		status, h, _ := f.post(0, "/bookings", "id-1", "two hours", nil)
		must.EqOp(t, http.StatusServiceUnavailable, status)
		must.EqOp(t, "NotRun", h.Get("Refusal-Kind"))
		must.EqOp(t, "5", h.Get("Retry-After"))
		must.Zero(t, f.runs("id-1"))
		status, _, _ = f.post(0, "/bookings", "", "two hours", nil)
		must.EqOp(t, http.StatusOK, status)
	})
}

func TestCredentialsAreNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{services: 1})
		defer f.close()
		h := http.Header{
			"Cookie":                  {"session=" + key},
			"Proxy-Authorization":     {"Basic " + key},
			"X-Something":             {"is " + key},
			"X-Api-Key":               {key},
			"Lacewingtally-Workspace": {"caterers"},
			"X-Forwarded-For":         {"10.0.0.1"},
			"Connection":              {"X-Hop"},
			"X-Hop":                   {"hop"},
			"X-Kept":                  {"kept"},
		}
		status, _, body := f.post(0, "/prices?day=1&key="+key+"&x=%6bey-of-bakers-5f1c&y="+key, "", "", h)
		must.EqOp(t, http.StatusOK, status)
		must.EqOp(t, "run 1 for bakers of POST /prices?day=1: \n", body)
		got := f.services[0].Received()
		for _, s := range []string{key, "Cookie", "caterers", "10.0.0.1", "hop", "session"} {
			must.False(t, bytes.Contains(got, []byte(s)), must.Sprint(s))
		}
		must.True(t, bytes.Contains(got, []byte("kept")))
		status, _, _ = f.post(0, "/prices", "", "the key is "+key, nil)
		must.EqOp(t, http.StatusUnauthorized, status)
		status, _, body = f.post(0, "/open", "", "", h)
		must.EqOp(t, http.StatusOK, status)
		must.EqOp(t, "run 1 for  of POST /open: \n", body)
		must.False(t, bytes.Contains(f.services[0].Received(), []byte(key)))
	})
}
