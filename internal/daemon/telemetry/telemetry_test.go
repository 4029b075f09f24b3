package telemetry

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func get(t *testing.T, h http.Handler, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	b, err := io.ReadAll(w.Result().Body)
	must.NoError(t, err)
	return w.Code, string(b)
}

func TestReadiness(t *testing.T) {
	m := NewMetrics()
	var r Readiness
	h := NewHandler(m, &r)
	ready := func() int { status, _ := get(t, h, ReadyPath); return status }
	must.Eq(t, http.StatusServiceUnavailable, ready())
	r.Set(true)
	must.Eq(t, http.StatusOK, ready())
	r.Drain()
	r.Set(true)
	must.Eq(t, http.StatusServiceUnavailable, ready())
	status, _ := get(t, h, HealthPath)
	must.Eq(t, http.StatusOK, status)
	must.NoError(t, m.Close())
}

// TestMetricsAreScraped uses every metric and finds each by its name.
func TestMetricsAreScraped(t *testing.T) {
	m := NewMetrics()
	log := timeline.New("a", "1")
	m.Recorder(log).Record(timeline.Event{Kind: timeline.Started})
	m.Refused(refusal.ReasonKey)
	m.Sample(Sample{Confirmed: true, Held: map[fleet.Duty]bool{"Usage": true}})
	for _, n := range []Name{BadFrames, EventsDropped, PeerBytesRead, PeerBytesWritten} {
		m.Count(n, 1)
	}
	h := m.Middleware(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		must.Eq(t, 1, m.Running())
		must.NoError(t, http.NewResponseController(w).Flush())
		w.WriteHeader(http.StatusTeapot)
	}))
	get(t, h, "/lacewingtally.caller.v1.GenerationService/Generate")
	get(t, h, "/any/path/of/a/caller")
	must.NoError(t, m.Close())
	must.Eq(t, 0, m.Running())
	_, text := get(t, NewHandler(m, new(Readiness)), MetricsPath)
	for _, n := range Names() {
		must.StrContains(t, text, "\nlacewingtally_"+string(n))
	}
	must.StrContains(t, text, `procedure="plain"`)
	must.StrNotContains(t, text, "any/path")
	must.Len(t, 1, log.Events(time.Time{}, 10))
	must.True(t, slices.IsSorted(Names()))
}

func TestLogger(t *testing.T) {
	var b bytes.Buffer
	l, err := NewLogger(&b, "info")
	must.NoError(t, err)
	l.Debug("hidden")
	l.Info("shown", Request("r"), Workspace("w"), Epoch(3), zap.Error(refusal.ErrNotRun))
	must.Eq(t, 1, strings.Count(b.String(), "\n"))
	must.StrContains(t, b.String(), `"Request":"r","Workspace":"w","Epoch":3`)
	must.StrContains(t, b.String(), `"Error":"not run"`)
	must.StrNotContains(t, b.String(), "errorVerbose")
	_, err = NewLogger(&b, "loud")
	must.ErrorIs(t, err, ErrLevel)
}
