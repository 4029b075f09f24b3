// Package service is a small stand-in for a plain service. It counts how many
// times each request runs, and faults can be injected.
package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/backend/service"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/standin/link"
)

// tapLimit bounds the received bytes that are recorded.
const tapLimit = 64 << 20

// Kinds of fault.
const (
	// FaultCrash aborts the request and all further ones for Down milliseconds.
	FaultCrash FaultKind = "Crash"
	// FaultWrongAttempt returns the ID of another attempt in the response header.
	FaultWrongAttempt FaultKind = "Crossed"
	// FaultCut runs the request and closes the connection before the answer.
	FaultCut FaultKind = "Cut"
	// FaultCutBody runs the request and closes the connection halfway through the
	// answer.
	FaultCutBody FaultKind = "CutBody"
	// FaultRefuse refuses the request and reports that it was not begun.
	FaultRefuse FaultKind = "Refuse"
	// FaultRefuseLate runs the request and then returns status 503.
	FaultRefuseLate FaultKind = "RefuseLate"
	// FaultHang runs the request and never responds.
	FaultHang FaultKind = "Silent"
	// FaultSlow responds after Down milliseconds.
	FaultSlow FaultKind = "Slow"
)

// Fault is a fault to inject into a request.
type Fault struct {
	Kind FaultKind
	// Word limits the fault to bodies that contain it; empty matches any body.
	Word string
	// Count is how many times the fault occurs; 0 is unlimited.
	Count int
	// Down is how long a crash or a delay lasts, in milliseconds.
	Down int
}

// FaultKind is a kind of fault.
type FaultKind string

// Service is a stand-in service. The zero value is ready to use. Its methods may
// be called from any goroutine.
type Service struct {
	mutex     sync.Mutex
	downUntil time.Time
	faults    []Fault
	// runs counts per request ID how many times a request was begun.
	runs map[fleet.RequestID]int
	once sync.Once
	tap  link.Tap
}

// AddFault appends a fault to the list of faults.
func (s *Service) AddFault(f Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = append(s.faults, f)
}

// Crash simulates a crash: every new request is aborted for d.
func (s *Service) Crash(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.downUntil = time.Now().Add(d)
}

// Received returns the bytes received through Serve, up to tapLimit.
func (s *Service) Received() []byte {
	return s.tap.Bytes()
}

// Runs returns how many times a request was begun.
func (s *Service) Runs(id fleet.RequestID) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// Serve handles requests on l until the context ends.
func (s *Service) Serve(ctx context.Context, l net.Listener) error {
	s.once.Do(func() { s.tap.Limit = tapLimit })
	h := http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()
	err := h.Serve(s.tap.Listener(l))
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "service: serve")
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "PUT /fault":
		s.putFaults(w, r)
	case "GET /received":
		// A write error means that the client has disconnected.
		_, _ = w.Write(s.Received())
	case "GET /runs":
		s.getRuns(w)
	default:
		s.run(w, r)
	}
}

// SetFaults replaces the list of faults.
func (s *Service) SetFaults(faults ...Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = slices.Clone(faults)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, f Fault, body []byte, run int) {
	w.Header().Set(service.AttemptHeader, r.Header.Get(service.AttemptHeader))
	if f.Kind == FaultWrongAttempt {
		w.Header().Set(service.AttemptHeader, "another")
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := fmt.Sprintf("run %d for %s of %s %s: %s\n",
		run, r.Header.Get(service.WorkspaceHeader), r.Method, r.URL.RequestURI(), body)
	if f.Kind == FaultCutBody {
		_, _ = io.WriteString(w, text[:len(text)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (s *Service) begin(id fleet.RequestID) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runs == nil {
		s.runs = make(map[fleet.RequestID]int)
	}
	s.runs[id]++
	return s.runs[id]
}

func (s *Service) down() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Now().Before(s.downUntil)
}

func (s *Service) getRuns(w http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(s.runs)
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults []Fault
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults...)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	if s.down() {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f := s.takeFault(string(body))
	if f.Kind == FaultRefuse {
		w.Header().Set(exchange.NotRunHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := s.begin(fleet.RequestID(r.Header.Get(service.RequestHeader)))
	d := time.Duration(f.Down) * time.Millisecond
	switch f.Kind {
	case FaultCrash:
		s.Crash(d)
		panic(http.ErrAbortHandler)
	case FaultCut:
		panic(http.ErrAbortHandler)
	case FaultRefuseLate:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultHang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultSlow:
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
		}
	}
	s.answer(w, r, f, body, run)
}

func (s *Service) takeFault(body string) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i := range s.faults {
		f := &s.faults[i]
		if !strings.Contains(body, f.Word) {
			continue
		}
		match := *f
		if f.Count == 1 {
			s.faults = slices.Delete(s.faults, i, i+1)
		} else if f.Count > 1 {
			f.Count--
		}
		return match
	}
	return Fault{}
}
