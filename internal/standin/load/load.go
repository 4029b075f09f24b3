// Package load is a small load generator: it requests streamed answers at a
// fixed rate, up to a fixed count, and measures them from the caller's side.
package load

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

const (
	// maxLatency is the largest value that the histograms record, in microseconds.
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	// significantFigures is the precision of the histograms, in decimal digits.
	significantFigures = 3
)

// ErrOptions is returned when Options do not describe a valid load.
var ErrOptions = errors.New("load: invalid options")

// Options describe a load.
type Options struct {
	// Servers receive requests in turn: daemons, or engines when Direct is set.
	Servers []netip.AddrPort
	// Direct sends requests to engines, bypassing the daemons.
	Direct bool
	// Key is the caller's key; empty when Direct is set.
	Key       string
	Pool      fleet.Pool
	MaxTokens int
	// Rate is the number of requests started per second.
	Rate float64
	// Count is the total number of requests.
	Count int
}

// Result holds the measurements of a load. Latencies are in microseconds.
type Result struct {
	// FirstToken is the time to the first tokens, Total the time to the end of
	// a complete answer.
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
	// Completed counts complete answers, Refused requests that failed before
	// the first tokens, and Interrupted answers that failed after them.
	Completed   int64
	Refused     int64
	Interrupted int64
	Tokens      int64
}

// generateFunc requests one answer from one server. It calls onTokens for each
// chunk with its number of tokens, and returns nil only for a complete answer.
type generateFunc func(ctx context.Context, prompt string, onTokens func(tokens int)) error

// run is a load in progress.
type run struct {
	mutex  sync.Mutex
	result Result
	tokens atomic.Int64
}

// Run generates a load and returns the measurements. Failed answers are counted,
// and Run returns an error only for invalid options or when the context ends.
func Run(ctx context.Context, o Options) (Result, error) {
	if len(o.Servers) == 0 || o.Rate <= 0 || o.Count <= 0 || o.MaxTokens <= 0 {
		return Result{}, ErrOptions
	}
	generators := make([]generateFunc, 0, len(o.Servers))
	for _, s := range o.Servers {
		generators = append(generators, newGenerator(o, s))
	}
	r := &run{result: Result{FirstToken: newHistogram(), Total: newHistogram()}}
	start := time.Now()
	var g errgroup.Group
	for i := range o.Count {
		due := start.Add(time.Duration(float64(i) / o.Rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			break
		}
		g.Go(func() error {
			r.measure(ctx, generators[i%len(generators)], fmt.Sprintf("prompt %d", i), due)
			return nil
		})
	}
	_ = g.Wait()
	r.result.Tokens = r.tokens.Load()
	return r.result, ctx.Err()
}

// Write prints a result as one line.
func (r Result) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w,
		"whole %d, refused %d, cut %d, tokens %d; first token p50 %.2f ms p99 %.2f ms; whole p50 %.2f ms p99 %.2f ms\n",
		r.Completed, r.Refused, r.Interrupted, r.Tokens,
		milliseconds(r.FirstToken, 50), milliseconds(r.FirstToken, 99),
		milliseconds(r.Total, 50), milliseconds(r.Total, 99))
	return errors.Wrap(err, "load")
}

// measure requests one answer and records the result. Latency is measured from
// the time at which the request was due, so that a late start is included.
func (r *run) measure(ctx context.Context, generate generateFunc, prompt string, due time.Time) {
	var first time.Time
	err := generate(ctx, prompt, func(tokens int) {
		if first.IsZero() {
			first = time.Now()
		}
		r.tokens.Add(int64(tokens))
	})
	end := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case err == nil:
		r.result.Completed++
		record(r.result.Total, end.Sub(due))
	case first.IsZero():
		r.result.Refused++
	default:
		r.result.Interrupted++
	}
	if !first.IsZero() {
		record(r.result.FirstToken, first.Sub(due))
	}
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, significantFigures)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only above maxLatency, to which the value is limited.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency))
}

// sleepUntil waits until a time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
