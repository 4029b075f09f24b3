package claim

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// callTimeout bounds one call of the table.
	callTimeout = 2 * time.Second
	// groupLimit bounds the writes of one transaction.
	groupLimit = 64
	// roundLimit bounds the transactions tried for one group.
	roundLimit = 4
)

// group commits many single-row writes in few transactions.
type group struct {
	table table.Table
	// queue is never closed.
	queue chan *op
	// stopped is closed when serve returns.
	stopped chan struct{}
}

// op is a write of one row on condition of its version.
type op struct {
	condition table.Condition
	write     table.Write
	// done takes exactly one result; it has room for it.
	done chan result
}

// result is the outcome of an op: nil, table.ErrConflict with the row, or
// another of the table's errors.
type result struct {
	err error
	row table.Row
}

// do commits one write. When the context ends first, the outcome is unknown.
func (g *group) do(ctx context.Context, c table.Condition, w table.Write) result {
	o := &op{condition: c, write: w, done: make(chan result, 1)}
	select {
	case g.queue <- o:
	case <-g.stopped:
		return result{err: table.ErrUnavailable}
	case <-ctx.Done():
		return result{err: table.ErrUnavailable}
	}
	select {
	case r := <-o.done:
		return r
	case <-g.stopped:
		return result{err: table.ErrUnknown}
	case <-ctx.Done():
		return result{err: table.ErrUnknown}
	}
}

// serve commits groups until the context ends. While one transaction is under
// way the next group gathers.
func (g *group) serve(ctx context.Context) error {
	defer close(g.stopped)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-g.queue:
			g.flush(ctx, g.gather(o))
		}
	}
}

func (g *group) flush(ctx context.Context, ops []*op) {
	for range roundLimit {
		now, later := distinct(ops)
		ops = g.commit(ctx, now)
		if len(later) > 0 {
			// Most of them repeat a claim of this very transaction.
			ops = append(ops, g.split(ctx, later)...)
		}
		if len(ops) == 0 {
			return
		}
	}
	finish(ops, table.ErrUnavailable)
}

// commit tries one transaction and returns the writes that are still to do.
func (g *group) commit(ctx context.Context, ops []*op) []*op {
	t := table.Txn{ID: uuid.NewString()}
	for _, o := range ops {
		t.Conditions = append(t.Conditions, o.condition)
		t.Writes = append(t.Writes, o.write)
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := g.table.Commit(c, t)
	if errors.Is(err, table.ErrConflict) {
		return g.split(ctx, ops)
	}
	finish(ops, err)
	return nil
}

func (g *group) gather(first *op) []*op {
	ops := []*op{first}
	for len(ops) < groupLimit {
		select {
		case o := <-g.queue:
			ops = append(ops, o)
		default:
			return ops
		}
	}
	return ops
}

// split answers the writes whose condition does not hold and returns the rest.
func (g *group) split(ctx context.Context, ops []*op) []*op {
	keys := make([]table.Key, 0, len(ops))
	for _, o := range ops {
		keys = append(keys, o.condition.Key)
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := g.table.Read(c, keys...)
	if err != nil || len(rows) != len(ops) {
		// Nothing of these ops is written.
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

// distinct parts ops into those of different rows and those that must wait.
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

func finish(ops []*op, err error) {
	for _, o := range ops {
		o.done <- result{err: err}
	}
}
