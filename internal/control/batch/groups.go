package batch

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// Finish makes a pending group ready. It has no effect if this process has done
// so already. It returns ErrGroupChanged if the group is no longer pending in
// that round; the samples are then dropped.
func (l *Ledger) Finish(ctx context.Context, t Trainer, p Pending, samples []Sample) error {
	body, err := json.Marshal(samples)
	if err != nil {
		return errors.Wrap(err, "batch: encode samples")
	}
	k := t.object(p.Group, p.Round, string(l.incarnation))
	rows, err := l.table.Read(ctx, t.pending(p.Group), t.ready(p.Group))
	if err != nil {
		return err
	}
	if r, err := decode[Ready](rows[1]); err != nil || r.Object == string(k) {
		return err
	}
	known, err := decode[Pending](rows[0])
	if err != nil {
		return err
	}
	if rows[0].Version == 0 || known.Round != p.Round {
		return ErrGroupChanged
	}
	// The object is written first, so that a row never refers to missing samples.
	if err := l.objects.Put(ctx, k, body); err != nil {
		return err
	}
	w, err := put(t.ready(p.Group), Ready{
		Group: p.Group, Round: p.Round, Key: known.Key, Object: string(k), Oldest: oldest(samples),
	})
	if err != nil {
		return err
	}
	err = l.commit(ctx,
		[]table.Condition{{Key: rows[0].Key, Version: rows[0].Version}, {Key: w.Key}},
		[]table.Write{w, {Key: rows[0].Key, Delete: true}})
	if errors.Is(err, table.ErrConflict) {
		return ErrGroupChanged
	}
	return err
}

// Form makes the batch at a cursor from the given number of complete groups, all
// at most lag versions behind the trainer. It returns how many stale groups it
// made pending again. It returns ErrNotFormed if too few groups are ready,
// ErrCursor, or an error of the table. If another daemon has already formed the
// batch, Form succeeds.
func (l *Ledger) Form(ctx context.Context, t Trainer, cursor uint64, groups int, lag uint64) (int, error) {
	stale := 0
	for range maxAttempts {
		h, version, err := l.Head(ctx, t)
		if err != nil {
			return stale, err
		}
		if h.Cursor >= cursor {
			return stale, nil
		}
		if h.Cursor+1 != cursor {
			return stale, ErrCursor
		}
		rows, err := l.scan(ctx, t.key("Ready", ""))
		if err != nil {
			return stale, err
		}
		ready, err := decodeAll[Ready](rows)
		if err != nil {
			return stale, err
		}
		c := Choose(ready, groups, StalenessBound{Version: h.Version, Lag: lag})
		versions := versionsOf(rows)
		n, err := l.requeue(ctx, t, c.Stale, versions)
		stale += n
		if err != nil {
			return stale, err
		}
		if len(c.Chosen) == 0 {
			return stale, ErrNotFormed
		}
		err = l.form(ctx, h, version, c.Chosen, versions)
		if !errors.Is(err, table.ErrConflict) {
			return stale, err
		}
	}
	return stale, table.ErrConflict
}

// Group returns a group that is pending or ready, and whether there is one.
func (l *Ledger) Group(ctx context.Context, t Trainer, g GroupID) (Group, bool, error) {
	rows, err := l.table.Read(ctx, t.group(g))
	if err != nil {
		return Group{}, false, err
	}
	s, err := decode[groupRow](rows[0])
	if err != nil || s.Group == nil {
		return Group{}, false, err
	}
	return *s.Group, true, nil
}

// Pending returns the pending groups of a trainer.
func (l *Ledger) Pending(ctx context.Context, t Trainer) ([]Pending, error) {
	rows, err := l.scan(ctx, t.key("Pending", ""))
	if err != nil {
		return nil, err
	}
	return decodeAll[Pending](rows)
}

// Submit adds groups that are not known yet, with the hash of the API key under
// which they were submitted. Submitting a group again changes nothing, except
// that a group still pending takes the new key.
func (l *Ledger) Submit(ctx context.Context, t Trainer, key string, groups []Group) error {
	for _, g := range groups {
		if err := g.Validate(); err != nil {
			return err
		}
	}
	for len(groups) > 0 {
		n := min(len(groups), groupsPerTxn)
		if err := l.submit(ctx, t, key, groups[:n]); err != nil {
			return err
		}
		groups = groups[n:]
	}
	return nil
}

// form writes the batch, advances the trainer's cursor and removes the groups
// from the ready ones in one transaction. The condition on the head ensures that
// the staleness bound was computed from the trainer's version at commit time.
func (l *Ledger) form(ctx context.Context, h Head, version uint64, chosen []Ready, versions map[table.Key]uint64) error {
	t := h.Trainer
	h.Cursor++
	head, err := put(t.head(), h)
	if err != nil {
		return err
	}
	b, err := put(t.batch(h.Cursor), batchRow{Cursor: h.Cursor, Groups: chosen})
	if err != nil {
		return err
	}
	conditions := []table.Condition{{Key: head.Key, Version: version}, {Key: b.Key}}
	writes := []table.Write{b, head}
	for _, r := range chosen {
		k := t.ready(r.Group)
		done, err := put(t.group(r.Group), groupRow{})
		if err != nil {
			return err
		}
		conditions = append(conditions, table.Condition{Key: k, Version: versions[k]})
		writes = append(writes, table.Write{Key: k, Delete: true}, done)
	}
	return l.commit(ctx, conditions, writes)
}

// requeue makes stale groups pending again, in their next round, and returns the
// number of groups that it changed. It skips those that another daemon has
// changed.
func (l *Ledger) requeue(ctx context.Context, t Trainer, groups []Ready, versions map[table.Key]uint64) (int, error) {
	n := 0
	for _, r := range groups {
		k := t.ready(r.Group)
		w, err := put(t.pending(r.Group), Pending{Group: r.Group, Round: r.Round + 1, Key: r.Key})
		if err != nil {
			return n, err
		}
		err = l.commit(ctx,
			[]table.Condition{{Key: k, Version: versions[k]}},
			[]table.Write{w, {Key: k, Delete: true}})
		if errors.Is(err, table.ErrConflict) {
			continue
		}
		if err != nil {
			return n, err
		}
		n++
		// An object that is not deleted is harmless.
		_ = l.objects.Delete(ctx, object.Key(r.Object))
	}
	return n, nil
}

func (l *Ledger) submit(ctx context.Context, t Trainer, key string, groups []Group) error {
	for range maxAttempts {
		c, err := l.submission(ctx, t, key, groups)
		if err != nil || len(c.writes) == 0 {
			return err
		}
		err = l.commit(ctx, c.conditions, c.writes)
		if !errors.Is(err, table.ErrConflict) {
			return err
		}
	}
	return table.ErrConflict
}

// change holds the conditions and writes of one transaction.
type change struct {
	conditions []table.Condition
	writes     []table.Write
}

// submission returns the change that submits groups, given the current rows.
func (l *Ledger) submission(ctx context.Context, t Trainer, key string, groups []Group) (change, error) {
	var keys []table.Key
	for _, g := range groups {
		keys = append(keys, t.group(g.ID), t.pending(g.ID))
	}
	rows, err := l.table.Read(ctx, keys...)
	if err != nil {
		return change{}, err
	}
	var c change
	for i, g := range groups {
		known, pending := rows[2*i], rows[2*i+1]
		if known.Version == 0 {
			err = c.add(known, groupRow{Group: &g})
			if err == nil {
				err = c.add(pending, Pending{Group: g.ID, Key: key})
			}
		} else if pending.Version > 0 {
			err = c.rekey(pending, key)
		}
		if err != nil {
			return change{}, err
		}
	}
	return c, nil
}

// add adds a write of v to row r, on condition that the row has not changed since
// it was read.
func (c *change) add(r table.Row, v any) error {
	w, err := put(r.Key, v)
	c.conditions = append(c.conditions, table.Condition{Key: r.Key, Version: r.Version})
	c.writes = append(c.writes, w)
	return err
}

// rekey adds a write that replaces the API key of a pending group, unless the
// group has that key already.
func (c *change) rekey(r table.Row, key string) error {
	p, err := decode[Pending](r)
	if err != nil || p.Key == key {
		return err
	}
	p.Key = key
	return c.add(r, p)
}

func oldest(samples []Sample) fleet.WeightVersion {
	var v fleet.WeightVersion
	for _, s := range samples {
		if o := s.Oldest(); v == 0 || o < v {
			v = o
		}
	}
	return v
}

func versionsOf(rows []table.Row) map[table.Key]uint64 {
	versions := make(map[table.Key]uint64, len(rows))
	for _, r := range rows {
		versions[r.Key] = r.Version
	}
	return versions
}
