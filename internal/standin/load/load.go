// Package load is a small load generator: it starts streamed answers at a fixed
// rate and measures what a caller sees. Its load is bounded in rate and count.
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
	// longestLatency bounds what the histograms hold, in microseconds.
	longestLatency = int64(10 * time.Minute / time.Microsecond)
	// significantFigures is the precision of the histograms.
	significantFigures = 3
)

// ErrOptions says that the options do not describe a load.
var ErrOptions = errors.New("load: bad options")

// Options describe a load.
type Options struct {
	// Servers are asked in turn: daemons, or engines when Direct is set.
	Servers []netip.AddrPort
	// Direct goes past the daemons.
	Direct bool
	// Key is the caller's key; empty when Direct is set.
	Key       string
	Pool      fleet.Pool
	MaxTokens int
	// Rate is how many answers begin a second.
	Rate float64
	// Count is how many answers are asked for in all.
	Count int
}

// Result is what callers saw. Latencies are in microseconds.
type Result struct {
	// First is the time to the first tokens, Whole that to the end.
	First *hdrhistogram.Histogram
	Whole *hdrhistogram.Histogram
	// Answered, Refused and Cut count the answers by their end: whole, not
	// begun, and begun but not whole.
	Answered int64
	Refused  int64
	Cut      int64
	Tokens   int64
}

// generate asks one server for one answer. It calls arrived for each piece with
// its number of tokens, and returns nil only for a whole answer.
type generate func(ctx context.Context, prompt string, arrived func(tokens int)) error

// run is one load under way.
type run struct {
	mutex  sync.Mutex
	result Result
	tokens atomic.Int64
}

// Run puts a load on and returns what was seen. Answers that fail are counted.
func Run(ctx context.Context, o Options) (Result, error) {
	if len(o.Servers) == 0 || o.Rate <= 0 || o.Count <= 0 || o.MaxTokens <= 0 {
		return Result{}, ErrOptions
	}
	asks := make([]generate, 0, len(o.Servers))
	for _, s := range o.Servers {
		asks = append(asks, target(o, s))
	}
	r := &run{result: Result{First: newHistogram(), Whole: newHistogram()}}
	start := time.Now()
	var g errgroup.Group
	for i := range o.Count {
		due := start.Add(time.Duration(float64(i) / o.Rate * float64(time.Second)))
		if !sleep(ctx, due) {
			break
		}
		g.Go(func() error {
			r.one(ctx, asks[i%len(asks)], fmt.Sprintf("prompt %d", i), due)
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
		r.Answered, r.Refused, r.Cut, r.Tokens,
		milliseconds(r.First, 50), milliseconds(r.First, 99),
		milliseconds(r.Whole, 50), milliseconds(r.Whole, 99))
	return errors.Wrap(err, "load")
}

// one asks for one answer that was due at an instant. Latency counts from
// there, so that a late start is not hidden.
func (r *run) one(ctx context.Context, ask generate, prompt string, due time.Time) {
	var first time.Time
	err := ask(ctx, prompt, func(tokens int) {
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
		r.result.Answered++
		record(r.result.Whole, end.Sub(due))
	case first.IsZero():
		r.result.Refused++
	default:
		r.result.Cut++
	}
	if !first.IsZero() {
		record(r.result.First, first.Sub(due))
	}
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency, significantFigures)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Only a value over longestLatency fails, and it is then not recorded.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestLatency))
}

// sleep waits until an instant. It is false when the context ended before.
func sleep(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
