// Package table is a stand-in for the platform's table service: it serves its HTTP
// interface, and faults are set over HTTP.
package table

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// PathFault sets the fault; PUT with a Fault.
const PathFault = "/fault"

// Modes of a Fault.
const (
	None Mode = "None"
	// AnswersLost executes commits and drops their responses.
	AnswersLost Mode = "AnswersLost"
	// Outage refuses each call with status 503.
	Outage Mode = "Outage"
	// Slow delays each call by DelayMillis.
	Slow Mode = "Slow"
)

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 16 << 20

// Fault is the fault that is injected into all calls.
type Fault struct {
	Mode Mode
	// DelayMillis is the delay of each call in mode Slow.
	DelayMillis int64
}

// Handler serves a table. Use NewHandler.
type Handler struct {
	// fault is never nil.
	fault atomic.Pointer[Fault]
	mux   *http.ServeMux
	table table.Table
}

// Mode is a kind of fault. The empty mode is the same as None.
type Mode string

// NewHandler returns a Handler that serves t.
func NewHandler(t table.Table) *Handler {
	h := &Handler{mux: http.NewServeMux(), table: t}
	h.fault.Store(&Fault{})
	h.mux.HandleFunc("POST "+table.PathCommit, h.commit)
	h.mux.HandleFunc("POST "+table.PathRead, h.read)
	h.mux.HandleFunc("POST "+table.PathScan, h.scan)
	h.mux.HandleFunc("PUT "+PathFault, h.setFault)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

// SetFault replaces the fault.
func (h *Handler) SetFault(f Fault) {
	h.fault.Store(&f)
}

func (h *Handler) commit(w http.ResponseWriter, r *http.Request) {
	var t table.Txn
	if !h.begin(w, r, &t) {
		return
	}
	err := h.table.Commit(r.Context(), t)
	if h.fault.Load().Mode == AnswersLost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(statusCode(err))
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request) {
	var q table.ReadRequest
	if !h.begin(w, r, &q) {
		return
	}
	rows, err := h.table.Read(r.Context(), q.Keys...)
	answer(w, rows, err)
}

func (h *Handler) scan(w http.ResponseWriter, r *http.Request) {
	var q table.ScanRequest
	if !h.begin(w, r, &q) {
		return
	}
	rows, err := h.table.Scan(r.Context(), q.Prefix, q.After, q.Limit)
	answer(w, rows, err)
}

func (h *Handler) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := decode(w, r, &f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch f.Mode {
	case "", None, AnswersLost, Outage, Slow:
		h.SetFault(f)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// begin applies a fault of mode Outage or Slow and decodes the request. It reports
// whether the call continues.
func (h *Handler) begin(w http.ResponseWriter, r *http.Request, request any) bool {
	f := h.fault.Load()
	if f.Mode == Outage {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	if err := decode(w, r, request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if f.Mode == Slow {
		pause(r.Context(), time.Duration(f.DelayMillis)*time.Millisecond)
	}
	return true
}

func answer(w http.ResponseWriter, rows []table.Row, err error) {
	if err != nil {
		w.WriteHeader(statusCode(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(table.RowsResponse{Rows: rows}); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func decode(w http.ResponseWriter, r *http.Request, v any) error {
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func statusCode(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, table.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, table.ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, table.ErrUnavailable):
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
