package telemetry

import (
	"net/http"
	"sync/atomic"
)

// Paths of the endpoints.
const (
	HealthPath  = "/healthz"
	MetricsPath = "/metrics"
	ReadyPath   = "/readyz"
)

// Readiness tells the balancer whether to send requests. The zero value is not
// ready. Its methods may be called from any goroutine.
type Readiness struct {
	ready atomic.Bool
	// draining never goes back to false.
	draining atomic.Bool
}

// Drain makes the daemon not ready for good.
func (r *Readiness) Drain() {
	r.draining.Store(true)
}

// Draining reports whether Drain was called.
func (r *Readiness) Draining() bool {
	return r.draining.Load()
}

// Ready reports whether the balancer should send requests.
func (r *Readiness) Ready() bool {
	return r.ready.Load() && !r.draining.Load()
}

// Set says whether the daemon can serve, apart from draining.
func (r *Readiness) Set(ready bool) {
	r.ready.Store(ready)
}

// NewHandler serves the health, readiness and scrape endpoints.
func NewHandler(m *Metrics, r *Readiness) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, "healthy\n")
	})
	mux.HandleFunc("GET "+ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			answer(w, http.StatusServiceUnavailable, "not ready\n")
			return
		}
		answer(w, http.StatusOK, "ready\n")
	})
	mux.Handle("GET "+MetricsPath, m.scrape)
	return mux
}

func answer(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}
