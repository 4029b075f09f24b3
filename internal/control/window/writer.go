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
	// flushEvery bounds what the sudden death of a daemon can lose.
	flushEvery = 5 * time.Second
	// lastFlush bounds the flush of a daemon that stops in order.
	lastFlush = 5 * time.Second
)

// Writer writes the use of one daemon into the table. It implements
// gate.Meter. Use NewWriter.
type Writer struct {
	keys        keys
	incarnation fleet.Incarnation
	table       table.Table

	// mutex guards recorder and tries; it is never held over I/O.
	mutex    sync.Mutex
	recorder Recorder
	// tries makes the transaction IDs of repeated writes unique.
	tries uint64
}

// NewWriter returns the writer of one incarnation of a daemon.
func NewWriter(t table.Table, r fleet.Region, i fleet.Incarnation) *Writer {
	return &Writer{keys: keys{region: r}, incarnation: i, table: t}
}

// Add implements gate.Meter.
func (w *Writer) Add(u gate.Usage) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.recorder.Add(u)
}

// Flush writes what has been counted. Its error is that of the last write that
// failed; what was not written stays for the next flush.
func (w *Writer) Flush(ctx context.Context) error {
	w.mutex.Lock()
	parts := w.recorder.Cut()
	w.mutex.Unlock()
	var failed error
	for _, p := range parts {
		o, err := w.write(ctx, p)
		if err != nil {
			failed = err
		}
		w.mutex.Lock()
		w.recorder.Settle(time.Now(), p, o)
		w.mutex.Unlock()
	}
	return failed
}

// Serve flushes until the context ends, and once more then.
func (w *Writer) Serve(ctx context.Context) error {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.finish(ctx)
		case <-t.C:
			// What was not written stays for the next flush.
			_ = w.Flush(ctx)
		}
	}
}

// finish flushes until nothing is left, for adjustments need a second round.
func (w *Writer) finish(ctx context.Context) error {
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastFlush)
	defer cancel()
	for range 3 {
		if err := w.Flush(last); err != nil {
			return errors.Wrap(err, "window: last flush")
		}
		w.mutex.Lock()
		empty := w.recorder.Empty()
		w.mutex.Unlock()
		if empty {
			break
		}
	}
	return ctx.Err()
}

func (w *Writer) settle(ctx context.Context, p Part) (Outcome, error) {
	rows, err := w.table.Read(ctx, w.keys.part(p.Window, w.incarnation, p.Sequence),
		w.keys.closed(p.Window), w.keys.sealed(p.Window))
	if err != nil {
		return Open, err
	}
	s, err := decode[sealed](rows[2])
	if err != nil {
		return Open, err
	}
	// A reported window's parts are deleted, so its sealed row is asked too.
	if rows[0].Version > 0 || s.counts(w.incarnation, p.Sequence) {
		return Written, nil
	}
	if rows[1].Version > 0 {
		return Closed, nil
	}
	return Open, nil
}

// write writes a part unless it is there or its window is closed. The
// condition on the closed row makes the set of a closed window's parts final.
func (w *Writer) write(ctx context.Context, p Part) (Outcome, error) {
	b, err := json.Marshal(storedPart{Incarnation: w.incarnation, Part: p})
	if err != nil {
		return Open, errors.Wrap(err, "window: part")
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
		return w.settle(ctx, p)
	}
	return Open, err
}

func (w *Writer) nextID(k table.Key) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.tries++
	return fmt.Sprintf("%s#%d", k, w.tries)
}
