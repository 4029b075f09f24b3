package telemetry

import (
	"bytes"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
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

// TestMetricsAreScraped sets every metric and checks that the metrics endpoint
// returns it.
func TestMetricsAreScraped(t *testing.T) {
	m := NewMetrics()
	log := timeline.New("a", "1")
	m.Recorder(log).Record(timeline.Event{Kind: timeline.Started})
	refused := refusal.NotRun(refusal.ReasonLimit, time.Time{}, errors.New("cause"))
	m.Recorder(log).Record(timeline.Event{Kind: timeline.RequestRefused, Detail: refused.Error()})
	m.Recorder(log).Record(timeline.Event{Kind: timeline.RequestRefused, Detail: "x: a caller's text"})
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
	must.StrContains(t, text, `lacewingtally_refusals{reason="Limit"} 1`)
	must.StrNotContains(t, text, "a caller's text")
	must.StrContains(t, text, `procedure="plain"`)
	must.StrNotContains(t, text, "any/path")
	must.Len(t, 3, log.Events(time.Time{}, 10))
	must.True(t, slices.IsSorted(Names()))
}

// TestListsAreComplete compares the lists of metrics and refusal reasons with
// the constants in the source.
func TestListsAreComplete(t *testing.T) {
	var names []Name
	for _, c := range constants(t, "metric.go", "Name") {
		names = append(names, Name(c))
	}
	must.Eq(t, names, Names())
	var reasons []refusal.Reason
	for _, c := range constants(t, "../../base/refusal/refusal.go", "Reason") {
		reasons = append(reasons, refusal.Reason(c))
	}
	must.Eq(t, reasons, refusal.Reasons())
}

// constants returns the values of the string constants of one type in a file.
func constants(t *testing.T, file, typeName string) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	must.NoError(t, err)
	var values []string
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || len(v.Values) != 1 {
			return true
		}
		if i, ok := v.Type.(*ast.Ident); !ok || i.Name != typeName {
			return true
		}
		text, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
		must.NoError(t, err)
		values = append(values, text)
		return true
	})
	return values
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
