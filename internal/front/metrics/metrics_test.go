package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
)

// TestMetricsAreScraped uses every metric and finds each by its name, there and
// in the operators' page.
func TestMetricsAreScraped(t *testing.T) {
	m := metrics.New()
	m.Request("Safe", "Answered", time.Millisecond)
	m.Attempt("Safe", "Answered")
	m.Sample(metrics.Sample{Members: 3})
	must.NoError(t, m.Close())
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, metrics.Path, nil))
	must.Eq(t, http.StatusOK, w.Code)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	must.NoError(t, err)
	for _, n := range metrics.Names() {
		must.StrContains(t, w.Body.String(), "\nlacewingtally_front_"+string(n))
		must.StrContains(t, string(page), "`"+string(n)+"`")
	}
}

func TestZeroValueCountsNothing(t *testing.T) {
	var m metrics.Metrics
	m.Request("Safe", "Answered", time.Second)
	m.Attempt("Safe", "Answered")
	m.Sample(metrics.Sample{})
	must.NoError(t, m.Close())
}
