// Package engine is a small stand-in for a model engine. Its text depends only on
// the prompt, the seed and the offset, and faults can be injected.
package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/standin/link"
)

const (
	// defaultCapacity is the number of attempts that run at once.
	defaultCapacity = 64
	// defaultSwapTime is how long it takes to swap weights.
	defaultSwapTime = 50 * time.Millisecond
	// heartbeat is the interval between empty lines while an attempt waits.
	heartbeat = time.Second
	// defaultMaxStatusAge is the age at which the reported status is refreshed.
	defaultMaxStatusAge = 500 * time.Millisecond
	// tapLimit bounds the received bytes that are recorded.
	tapLimit = 64 << 20
)

// Engine is a stand-in engine. Use New. Its methods may be called from any
// goroutine.
type Engine struct {
	capacity int
	fenced   bool
	// interval is the time between two tokens of an attempt; 0 is no limit.
	interval     time.Duration
	maxStatusAge time.Duration
	swapTime     time.Duration
	mux          *http.ServeMux
	tap          link.Tap

	mutex sync.Mutex
	// boot counts the engine's boots, from 1; each crash starts a new one.
	boot int
	// crashed is closed and replaced when the engine crashes.
	crashed chan struct{}
	// downUntil is when a crashed engine responds again.
	downUntil time.Time
	// epoch is the newest epoch received in an order.
	epoch  fleet.Epoch
	faults []Fault
	// orders contains the executed load orders by ID; the values are nil.
	orders map[string]error
	// running contains the running attempts by attempt ID.
	running map[string]*attempt
	// runs counts per request how many times it was begun.
	runs map[fleet.RequestID]int
	// reported is the status that is returned until it is older than
	// maxStatusAge.
	reported engine.Status
	version  fleet.WeightVersion
	waiting  int
	// changed is closed and replaced when an attempt ends.
	changed chan struct{}
}

// Option configures an Engine.
type Option func(*Engine)

type attempt struct {
	request engine.Request
	offset  int
}

// New returns an engine with weight version 1, unless an option sets another.
func New(options ...Option) *Engine {
	e := &Engine{
		capacity:     defaultCapacity,
		maxStatusAge: defaultMaxStatusAge,
		swapTime:     defaultSwapTime,
		boot:         1,
		crashed:      make(chan struct{}),
		changed:      make(chan struct{}),
		orders:       make(map[string]error),
		running:      make(map[string]*attempt),
		runs:         make(map[fleet.RequestID]int),
		version:      1,
	}
	e.tap.Limit = tapLimit
	for _, o := range options {
		o(e)
	}
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST "+engine.PathGenerate, e.generate)
	e.mux.HandleFunc("POST "+engine.PathLoad, e.load)
	e.mux.HandleFunc("POST "+engine.PathExport, e.export)
	e.mux.HandleFunc("GET "+engine.PathStatus, e.status)
	e.mux.HandleFunc("PUT /fault", e.putFaults)
	e.mux.HandleFunc("GET /received", e.received)
	e.mux.HandleFunc("GET /runs", e.getRuns)
	return e
}

// WithCapacity sets the number of attempts that run at once.
func WithCapacity(n int) Option {
	return func(e *Engine) { e.capacity = n }
}

// WithFence makes the engine refuse orders with an epoch older than the newest
// that it has received.
func WithFence() Option {
	return func(e *Engine) { e.fenced = true }
}

// WithSwapTime sets how long it takes to swap weights.
func WithSwapTime(d time.Duration) Option {
	return func(e *Engine) { e.swapTime = d }
}

// WithMaxStatusAge sets the age at which the reported status is refreshed.
func WithMaxStatusAge(d time.Duration) Option {
	return func(e *Engine) { e.maxStatusAge = d }
}

// WithTokensPerSecond sets the speed of each attempt; 0 is no limit.
func WithTokensPerSecond(n float64) Option {
	return func(e *Engine) {
		if n > 0 {
			e.interval = time.Duration(float64(time.Second) / n)
		}
	}
}

// WithVersion sets the initial weight version.
func WithVersion(v fleet.WeightVersion) Option {
	return func(e *Engine) { e.version = v }
}

// Text returns the tokens from offset up to end, exclusive, of the answer to a
// prompt.
func Text(prompt string, seed uint64, offset, end int) string {
	var b []byte
	base := xxhash.Sum64String(prompt) ^ seed
	for i := offset; i < end; i++ {
		b = append(b, token(base, i)...)
	}
	return string(b)
}

// AddFault appends a fault to the list of faults.
func (e *Engine) AddFault(f Fault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = append(e.faults, f)
}

// Crashes returns the number of crashes.
func (e *Engine) Crashes() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.boot - 1
}

// Crash simulates a crash: it cuts every stream, and the engine does not respond
// for d.
func (e *Engine) Crash(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crash(d)
}

// Received returns the bytes received through Serve, up to tapLimit.
func (e *Engine) Received() []byte {
	return e.tap.Bytes()
}

// Runs returns how many times the engine began a request.
func (e *Engine) Runs(id fleet.RequestID) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[id]
}

// Serve handles requests on l until the context ends.
func (e *Engine) Serve(ctx context.Context, l net.Listener) error {
	s := http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(e.tap.Listener(l))
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "engine: serve")
}

// ServeHTTP implements http.Handler. While the engine is down, it aborts all
// requests except those that set faults.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut && e.down() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the list of faults.
func (e *Engine) SetFaults(faults ...Fault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = slices.Clone(faults)
}

// Version returns the current weight version.
func (e *Engine) Version() fleet.WeightVersion {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.version
}

func (e *Engine) bootName() string {
	return strconv.Itoa(e.boot)
}

func (e *Engine) crash(d time.Duration) {
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.boot++
	e.downUntil = time.Now().Add(d)
	clear(e.running)
	e.waiting = 0
	e.reported = engine.Status{}
}

func (e *Engine) down() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return time.Now().Before(e.downUntil)
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var in struct{ Attempt string }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	a := e.running[in.Attempt]
	if a == nil {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	writeJSON(w, engine.KV{Handle: "kv-" + in.Attempt, Offset: a.offset})
}

func (e *Engine) getRuns(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	writeJSON(w, e.runs)
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults []Fault
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults...)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) received(w http.ResponseWriter, _ *http.Request) {
	// A write error means that the client has disconnected.
	_, _ = w.Write(e.Received())
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	if now.Sub(e.reported.At) >= e.maxStatusAge {
		e.reported = engine.Status{
			Version: e.version,
			Running: len(e.running),
			Waiting: e.waiting,
			KVUsed:  float64(len(e.running)) / float64(e.capacity),
			At:      now,
			Boot:    e.bootName(),
		}
	}
	writeJSON(w, e.reported)
}

func token(base uint64, i int) string {
	h := (base + uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return " " + strconv.FormatUint(h>>48, 36)
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(exchange.NotRunHeader, "true")
	http.Error(w, "not run", status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
