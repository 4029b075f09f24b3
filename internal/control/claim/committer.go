package claim

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// callTimeout bounds one call to the table.
	callTimeout = 2 * time.Second
	// groupLimit bounds the writes in one transaction.
	groupLimit = 64
	// attemptLimit bounds the transactions tried for one group.
	attemptLimit = 4
)

// committer commits many concurrent single-row writes in few transactions.
type committer struct {
	table table.Table
	// queue is never closed.
	queue chan *op
	// stopped is closed when serve returns.
	stopped chan struct{}
}

// op is a write of one row, conditional on the row's version.
type op struct {
	condition table.Condition
	write     table.Write
	// done receives exactly one result; it is buffered, so that sending never
	// blocks.
	done chan result
}

// result is the outcome of an op. Its err is nil, table.ErrConflict, for which
// row is the current row, or another error of the table.
type result struct {
	err error
	row table.Row
}

// do commits one write. If the context ends while the write is in progress, the
// outcome is unknown.
func (c *committer) do(ctx context.Context, condition table.Condition, write table.Write) result {
	o := &op{condition: condition, write: write, done: make(chan result, 1)}
	select {
	case c.queue <- o:
	case <-c.stopped:
		return result{err: table.ErrUnavailable}
	case <-ctx.Done():
		return result{err: table.ErrUnavailable}
	}
	select {
	case r := <-o.done:
		return r
	case <-c.stopped:
		return result{err: table.ErrUnknown}
	case <-ctx.Done():
		return result{err: table.ErrUnknown}
	}
}

// serve commits groups of writes until the context ends. The writes that arrive
// during one transaction form the next group.
func (c *committer) serve(ctx context.Context) error {
	defer close(c.stopped)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-c.queue:
			c.flush(ctx, c.gather(o))
		}
	}
}

// flush commits a group of writes in at most attemptLimit transactions and sends
// each its result.
func (c *committer) flush(ctx context.Context, ops []*op) {
	for range attemptLimit {
		now, later := distinct(ops)
		ops = c.commit(ctx, now)
		if len(later) > 0 {
			// Most of these repeat a claim of the transaction just tried, so
			// that they now conflict.
			ops = append(ops, c.rejectConflicts(ctx, later)...)
		}
		if len(ops) == 0 {
			return
		}
	}
	finish(ops, table.ErrUnavailable)
}

// commit tries one transaction and returns the writes that must be tried again.
func (c *committer) commit(ctx context.Context, ops []*op) []*op {
	t := table.Txn{ID: uuid.NewString()}
	for _, o := range ops {
		t.Conditions = append(t.Conditions, o.condition)
		t.Writes = append(t.Writes, o.write)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.table.Commit(callCtx, t)
	if errors.Is(err, table.ErrConflict) {
		return c.rejectConflicts(ctx, ops)
	}
	finish(ops, err)
	return nil
}

// gather returns first and the writes already queued, at most groupLimit in all.
func (c *committer) gather(first *op) []*op {
	ops := []*op{first}
	for len(ops) < groupLimit {
		select {
		case o := <-c.queue:
			ops = append(ops, o)
		default:
			return ops
		}
	}
	return ops
}

// rejectConflicts ends the writes whose condition does not hold with
// table.ErrConflict and returns the rest.
func (c *committer) rejectConflicts(ctx context.Context, ops []*op) []*op {
	keys := make([]table.Key, 0, len(ops))
	for _, o := range ops {
		keys = append(keys, o.condition.Key)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := c.table.Read(callCtx, keys...)
	if err != nil || len(rows) != len(ops) {
		// None of these ops has been written.
		finish(ops, table.ErrUnavailable)
		return nil
	}
	var rest []*op
	for i, o := range ops {
		if rows[i].Version == o.condition.Version {
			rest = append(rest, o)
			continue
		}
		o.done <- result{err: table.ErrConflict, row: rows[i]}
	}
	return rest
}

// distinct splits ops into now, with at most one op per row, and later, the rest.
func distinct(ops []*op) (now, later []*op) {
	seen := make(map[table.Key]bool, len(ops))
	for _, o := range ops {
		if seen[o.condition.Key] {
			later = append(later, o)
			continue
		}
		seen[o.condition.Key] = true
		now = append(now, o)
	}
	return now, later
}

// finish ends all ops with the same outcome.
func finish(ops []*op, err error) {
	for _, o := range ops {
		o.done <- result{err: err}
	}
}
