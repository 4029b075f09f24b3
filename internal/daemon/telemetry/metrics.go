package telemetry

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

const (
	prefix = "lacewingtally"
	// reportInterval is how often metrics are copied to the metrics endpoint.
	reportInterval = time.Second
	// maxProcedureLength limits the value of the procedure tag.
	maxProcedureLength = 64
	// otherProcedure is the procedure tag of plain requests, whose paths callers
	// choose.
	otherProcedure = "plain"
)

// Metrics are the metrics of one daemon. Create one with NewMetrics. Its methods
// may be called from any goroutine.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	scrape  http.Handler
	running atomic.Int64
}

// Sample holds the values of a daemon's gauges at one time.
type Sample struct {
	Confirmed bool
	Ready     bool
	Revision  fleet.ConfigRevision
	Members   int
	Servers   int
	// Held reports for each duty whether this daemon holds its lease.
	Held map[fleet.Duty]bool
}

// NewMetrics returns metrics that are reported until Close.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	r := reporter.NewReporter(reporter.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: reporter.HistogramTimerType,
		OnRegisterError:  func(error) {},
	})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         r,
		Separator:              reporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: s, closer: c, scrape: r.HTTPHandler()}
}

// Close reports the remaining values and stops reporting.
func (m *Metrics) Close() error {
	return errors.Wrap(m.closer.Close(), "telemetry: close")
}

// Count adds n to a counter without tags.
func (m *Metrics) Count(name Name, n int64) {
	m.scope.Counter(string(name)).Inc(n)
}

// Middleware counts and times the requests of a handler.
func (m *Metrics) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		m.running.Add(1)
		s := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		defer func() {
			m.running.Add(-1)
			tags := map[string]string{tagProcedure: procedure(r.URL.Path), tagStatus: strconv.Itoa(s.status)}
			m.scope.Tagged(tags).Counter(string(Requests)).Inc(1)
			m.scope.Timer(string(RequestSeconds)).Record(time.Since(start))
		}()
		next.ServeHTTP(s, r)
	})
}

// Recorder returns a recorder that counts events, and refusals by reason, and
// forwards each event to next.
func (m *Metrics) Recorder(next timeline.Recorder) timeline.Recorder {
	return &countingRecorder{metrics: m, next: next}
}

// CountRefusal counts a refusal.
func (m *Metrics) CountRefusal(r refusal.Reason) {
	m.scope.Tagged(map[string]string{tagReason: string(r)}).Counter(string(Refusals)).Inc(1)
}

// Running returns the number of requests that Middleware is serving.
func (m *Metrics) Running() int64 {
	return m.running.Load()
}

// Sample sets the gauges.
func (m *Metrics) Sample(s Sample) {
	m.gauge(ViewConfirmed, boolToFloat(s.Confirmed))
	m.gauge(Ready, boolToFloat(s.Ready))
	m.gauge(ConfigRevision, float64(s.Revision))
	m.gauge(Members, float64(s.Members))
	m.gauge(Servers, float64(s.Servers))
	m.gauge(Running, float64(m.Running()))
	for d, held := range s.Held {
		m.scope.Tagged(map[string]string{tagDuty: string(d)}).Gauge(string(Leases)).Update(boolToFloat(held))
	}
}

func (m *Metrics) gauge(name Name, v float64) {
	m.scope.Gauge(string(name)).Update(v)
}

// countingRecorder counts the events that it forwards.
type countingRecorder struct {
	metrics *Metrics
	next    timeline.Recorder
}

// Record implements timeline.Recorder.
func (c *countingRecorder) Record(e timeline.Event) {
	tags := map[string]string{tagKind: string(e.Kind)}
	c.metrics.scope.Tagged(tags).Counter(string(Events)).Inc(1)
	if r := refusalReason(e); r != "" {
		c.metrics.CountRefusal(r)
	}
	c.next.Record(e)
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter

	status int
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (s *statusWriter) Unwrap() http.ResponseWriter {
	return s.ResponseWriter
}

// Flush implements http.Flusher for handlers that use it directly.
func (s *statusWriter) Flush() {
	_ = http.NewResponseController(s.ResponseWriter).Flush()
}

// WriteHeader implements http.ResponseWriter.
func (s *statusWriter) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// procedure returns the procedure tag of a path. All plain requests share one
// tag, because callers could choose an unlimited number of paths.
func procedure(path string) string {
	p := strings.TrimPrefix(path, "/")
	if !strings.HasPrefix(p, prefix+".") || len(p) > maxProcedureLength {
		return otherProcedure
	}
	return p
}
