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

// Readiness is the state that the load balancer checks before it sends requests
// to a daemon. The zero value is not ready. Its methods may be called from any
// goroutine.
type Readiness struct {
	ready atomic.Bool
	// draining is never reset to false.
	draining atomic.Bool
}

// Drain makes the daemon permanently not ready.
func (r *Readiness) Drain() {
	r.draining.Store(true)
}

// Draining reports whether Drain was called.
func (r *Readiness) Draining() bool {
	return r.draining.Load()
}

// Ready reports whether the load balancer should send requests.
func (r *Readiness) Ready() bool {
	return r.ready.Load() && !r.draining.Load()
}

// Set sets whether the daemon can serve. After Drain, Ready stays false.
func (r *Readiness) Set(ready bool) {
	r.ready.Store(ready)
}

// NewHandler returns a handler for the health, readiness and metrics endpoints.
func NewHandler(m *Metrics, r *Readiness) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, "healthy\n")
	})
	mux.HandleFunc("GET "+ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			respond(w, http.StatusServiceUnavailable, "not ready\n")
			return
		}
		respond(w, http.StatusOK, "ready\n")
	})
	mux.Handle("GET "+MetricsPath, m.scrape)
	return mux
}

func respond(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}
