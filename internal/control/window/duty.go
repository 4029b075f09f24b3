package window

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/fence"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	"github.com/lacewingtally/lacewingtally/internal/platform/usage"
)

const (
	// actionTimeout limits one action of the duty.
	actionTimeout = 2 * time.Second
	// maxActionsPerStep limits the actions of one step, so that the Keeper
	// checks the lease in between.
	maxActionsPerStep = 16
	// leadWindows is the number of windows by which reporting starts before the
	// window of the first stored part, since other daemons may not have written
	// their parts yet.
	leadWindows = 2
	// scanPageSize is the number of rows read at a time.
	scanPageSize = 1000
)

// Actions of the duty.
const (
	actionBegin action = iota + 1
	actionClose
	actionReport
	actionSeal
	actionWait
)

// Duty closes, seals and reports the windows of one region. Use NewDuty.
type Duty struct {
	keys     keys
	table    table.Table
	service  usage.Service
	recorder timeline.Recorder
	// attempts makes transaction IDs unique.
	attempts uint64
	// incarnation distinguishes the transaction IDs of different holders.
	incarnation fleet.Incarnation
}

type action uint8

// progress is the stored state of the window to be reported next.
type progress struct {
	cursor        cursor
	cursorVersion uint64
	closedVersion uint64
	sealed        sealed
	sealedVersion uint64
}

// NewDuty returns the duty Usage of a region for one incarnation of a daemon.
func NewDuty(t table.Table, s usage.Service, r fleet.Region, i fleet.Incarnation, e timeline.Recorder) *Duty {
	return &Duty{keys: keys{region: r}, table: t, service: s, recorder: e, incarnation: i}
}

// Name implements lease.Duty.
func (d *Duty) Name() fleet.Duty {
	return lease.Usage
}

// Step implements lease.Duty. It performs due actions, at most
// maxActionsPerStep.
func (d *Duty) Step(ctx context.Context, c lease.Charge) error {
	for range maxActionsPerStep {
		p, err := d.read(ctx)
		if err != nil {
			return err
		}
		a := p.next(time.Now())
		if a == actionWait {
			return nil
		}
		more, err := d.perform(ctx, c, p, a)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// next returns the action that is due for the window.
func (p progress) next(now time.Time) action {
	if p.cursorVersion == 0 {
		return actionBegin
	}
	if p.sealedVersion > 0 {
		return actionReport
	}
	if p.closedVersion > 0 {
		return actionSeal
	}
	end, err := p.cursor.Window.End()
	if err != nil || now.Before(end.Add(Grace)) {
		return actionWait
	}
	return actionClose
}

// perform carries out one action and reports whether another may follow.
func (d *Duty) perform(ctx context.Context, c lease.Charge, p progress, a action) (bool, error) {
	ctx, cancel, epoch, err := fence.WithCharge(ctx, c, actionTimeout)
	if err != nil {
		return false, err
	}
	defer cancel()
	switch a {
	case actionBegin:
		return d.begin(ctx)
	case actionClose:
		return true, d.close(ctx, p)
	case actionSeal:
		return true, d.seal(ctx, p, epoch)
	default:
		return true, d.report(ctx, p, epoch)
	}
}

// begin creates the cursor if any part of the region has been written, and
// reports whether another action may follow.
func (d *Duty) begin(ctx context.Context) (bool, error) {
	rows, err := d.table.Scan(ctx, d.keys.parts(), "", 1)
	if err != nil || len(rows) == 0 {
		return false, err
	}
	first, err := decode[storedPart](rows[0])
	if err != nil {
		return false, err
	}
	_, err = d.insert(ctx, d.keys.cursor(), cursor{Window: first.Part.Window.add(-leadWindows * Length)})
	return err == nil, err
}

// close writes the row that closes the window to further parts: each part's
// transaction requires that this row is absent.
func (d *Duty) close(ctx context.Context, p progress) error {
	_, err := d.insert(ctx, d.keys.closed(p.cursor.Window), cursor{Window: p.cursor.Window})
	return err
}

// report sends the sealed totals to the platform and advances the cursor.
func (d *Duty) report(ctx context.Context, p progress, epoch fleet.Epoch) error {
	w := p.cursor.Window
	detail := string(w)
	err := d.service.Report(ctx, usage.Report{Region: d.keys.region, Window: string(w), Epoch: epoch, Body: p.sealed.Body})
	if errors.Is(err, usage.ErrMismatch) {
		// The platform keeps the report that it has. Different bytes must never
		// be sent for a window, and waiting would delay the following windows.
		detail += " mismatch"
	} else if err != nil {
		return err
	}
	moved, err := d.advance(ctx, p)
	if err != nil || !moved {
		return err
	}
	d.recorder.Record(timeline.Event{Kind: timeline.WindowReported, Duty: lease.Usage, Epoch: epoch, Detail: detail})
	return nil
}

// advance moves the cursor to the next window and deletes the parts of the
// reported one. It reports whether this is known to be committed.
func (d *Duty) advance(ctx context.Context, p progress) (bool, error) {
	b, err := json.Marshal(cursor{Window: p.cursor.Window.Next()})
	if err != nil {
		return false, errors.Wrap(err, "window: encode cursor")
	}
	t := table.Txn{
		ID:         d.nextID(d.keys.cursor()),
		Conditions: []table.Condition{{Key: d.keys.cursor(), Version: p.cursorVersion}},
		Writes:     []table.Write{{Key: d.keys.cursor(), Value: b}},
	}
	for _, i := range p.sealed.Parts {
		for _, n := range i.Sequences {
			t.Writes = append(t.Writes, table.Write{Key: d.keys.part(p.cursor.Window, i.Incarnation, n), Delete: true})
		}
	}
	return d.commit(ctx, t)
}

// commit reports whether t is known to be committed. A conflict or an unknown
// outcome is not an error: another daemon or this transaction may have made
// progress, which the next read shows.
func (d *Duty) commit(ctx context.Context, t table.Txn) (bool, error) {
	err := d.table.Commit(ctx, t)
	if errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnknown) {
		return false, nil
	}
	return err == nil, err
}

// insert writes a row on the condition that it does not exist, and reports
// whether the write is known to be committed.
func (d *Duty) insert(ctx context.Context, k table.Key, v any) (bool, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return false, errors.Wrap(err, "window: encode row")
	}
	return d.commit(ctx, table.Txn{
		ID:         d.nextID(k),
		Conditions: []table.Condition{{Key: k}},
		Writes:     []table.Write{{Key: k, Value: b}},
	})
}

func (d *Duty) nextID(k table.Key) string {
	d.attempts++
	return fmt.Sprintf("%s#%s/%d", k, d.incarnation, d.attempts)
}

// parts reads all parts of a closed window. Their set is final unless another
// holder has sealed and reported the window in the meantime; in that case the
// insert of the sealed row fails.
func (d *Duty) parts(ctx context.Context, w ID) ([]storedPart, error) {
	var parts []storedPart
	after := table.Key("")
	for {
		rows, err := d.table.Scan(ctx, d.keys.partsOf(w), after, scanPageSize)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			p, err := decode[storedPart](r)
			if err != nil {
				return nil, err
			}
			parts = append(parts, p)
			after = r.Key
		}
		if len(rows) < scanPageSize {
			return parts, nil
		}
	}
}

func (d *Duty) read(ctx context.Context) (progress, error) {
	rows, err := d.table.Read(ctx, d.keys.cursor())
	if err != nil {
		return progress{}, err
	}
	if rows[0].Version == 0 {
		return progress{}, nil
	}
	p := progress{cursorVersion: rows[0].Version}
	if p.cursor, err = decode[cursor](rows[0]); err != nil {
		return progress{}, err
	}
	rows, err = d.table.Read(ctx, d.keys.closed(p.cursor.Window), d.keys.sealed(p.cursor.Window))
	if err != nil {
		return progress{}, err
	}
	p.closedVersion, p.sealedVersion = rows[0].Version, rows[1].Version
	p.sealed, err = decode[sealed](rows[1])
	return p, err
}

// seal adds up the parts and inserts the totals as one row, which is never
// changed.
func (d *Duty) seal(ctx context.Context, p progress, epoch fleet.Epoch) error {
	w := p.cursor.Window
	stored, err := d.parts(ctx, w)
	if err != nil {
		return err
	}
	s := sealed{}
	var parts []Part
	for _, r := range stored {
		parts = append(parts, r.Part)
		s.include(r)
	}
	if s.Body, err = json.Marshal(Sum(d.keys.region, w, parts)); err != nil {
		return errors.Wrap(err, "window: encode totals")
	}
	inserted, err := d.insert(ctx, d.keys.sealed(w), s)
	if err != nil || !inserted {
		return err
	}
	d.recorder.Record(timeline.Event{Kind: timeline.WindowSealed, Duty: lease.Usage, Epoch: epoch, Detail: string(w)})
	return nil
}

func (s *sealed) include(p storedPart) {
	for i := range s.Parts {
		if s.Parts[i].Incarnation == p.Incarnation {
			s.Parts[i].Sequences = append(s.Parts[i].Sequences, p.Part.Sequence)
			return
		}
	}
	s.Parts = append(s.Parts, included{Incarnation: p.Incarnation, Sequences: []uint64{p.Part.Sequence}})
}
