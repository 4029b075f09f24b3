package window

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// flushInterval is the time between two flushes. It limits how much usage is
	// lost when a daemon crashes.
	flushInterval = 5 * time.Second
	// finalFlushTimeout limits the last flush of a daemon that shuts down.
	finalFlushTimeout = 5 * time.Second
)

// Writer writes the usage of one daemon to the table. It implements gate.Meter.
// Use NewWriter.
type Writer struct {
	keys        keys
	incarnation fleet.Incarnation
	table       table.Table

	// mutex guards accumulator and attempts; it is never held during I/O.
	mutex       sync.Mutex
	accumulator Accumulator
	// attempts makes the transaction IDs of repeated writes unique.
	attempts uint64
}

// NewWriter returns the writer of one incarnation of a daemon.
func NewWriter(t table.Table, r fleet.Region, i fleet.Incarnation) *Writer {
	return &Writer{keys: keys{region: r}, incarnation: i, table: t}
}

// Add implements gate.Meter.
func (w *Writer) Add(u gate.Usage) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.accumulator.Add(u)
}

// Flush writes the usage counted so far. It returns the error of the last write
// that failed; usage that was not written is kept for the next flush.
func (w *Writer) Flush(ctx context.Context) error {
	w.mutex.Lock()
	parts := w.accumulator.Prepare()
	w.mutex.Unlock()
	var failed error
	for _, p := range parts {
		o, err := w.write(ctx, p)
		if err != nil {
			failed = err
		}
		w.mutex.Lock()
		w.accumulator.Settle(time.Now(), p, o)
		w.mutex.Unlock()
	}
	return failed
}

// Serve flushes regularly until ctx ends, and then a last time.
func (w *Writer) Serve(ctx context.Context) error {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.finish(ctx)
		case <-t.C:
			// Usage that was not written is kept for the next flush.
			_ = w.Flush(ctx)
		}
	}
}

// finish flushes until nothing is left, at most three times: usage of a window
// that was closed needs a second flush, as an adjustment.
func (w *Writer) finish(ctx context.Context) error {
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	for range 3 {
		if err := w.Flush(last); err != nil {
			return errors.Wrap(err, "window: last flush")
		}
		w.mutex.Lock()
		empty := w.accumulator.Empty()
		w.mutex.Unlock()
		if empty {
			break
		}
	}
	return ctx.Err()
}

// resolve determines from the table the outcome of a write that failed with a
// conflict or an unknown outcome.
func (w *Writer) resolve(ctx context.Context, p Part) (Outcome, error) {
	rows, err := w.table.Read(ctx, w.keys.part(p.Window, w.incarnation, p.Sequence),
		w.keys.closed(p.Window), w.keys.sealed(p.Window))
	if err != nil {
		return Unknown, err
	}
	s, err := decode[sealed](rows[2])
	if err != nil {
		return Unknown, err
	}
	// The parts of a reported window are deleted, so check its sealed row too.
	if rows[0].Version > 0 || s.includes(w.incarnation, p.Sequence) {
		return Written, nil
	}
	if rows[1].Version > 0 {
		return WindowClosed, nil
	}
	return Unknown, nil
}

// write writes a part unless the part exists or its window is closed. The
// condition on the closed row makes the set of a closed window's parts final.
func (w *Writer) write(ctx context.Context, p Part) (Outcome, error) {
	b, err := json.Marshal(storedPart{Incarnation: w.incarnation, Part: p})
	if err != nil {
		return Unknown, errors.Wrap(err, "window: encode part")
	}
	k := w.keys.part(p.Window, w.incarnation, p.Sequence)
	err = w.table.Commit(ctx, table.Txn{
		ID:         w.nextID(k),
		Conditions: []table.Condition{{Key: k}, {Key: w.keys.closed(p.Window)}},
		Writes:     []table.Write{{Key: k, Value: b}},
	})
	switch {
	case err == nil:
		return Written, nil
	case errors.Is(err, table.ErrConflict), errors.Is(err, table.ErrUnknown):
		return w.resolve(ctx, p)
	}
	return Unknown, err
}

func (w *Writer) nextID(k table.Key) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.attempts++
	return fmt.Sprintf("%s#%d", k, w.attempts)
}
