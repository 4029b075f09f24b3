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
	// actLimit bounds one act of the duty.
	actLimit = 2 * time.Second
	// actsAStep bounds one step, so that the lease is looked at in between.
	actsAStep = 16
	// early is how many windows before the first part's the first report
	// lies, for parts that daemons have not written yet.
	early = 2
	// scanLimit is how many rows are read at a time.
	scanLimit = 1000
)

// Acts of the duty.
const (
	actBegin act = iota + 1
	actClose
	actReport
	actSeal
	actWait
)

// Duty closes, seals and reports the windows of one region. Use NewDuty.
type Duty struct {
	keys   keys
	table  table.Table
	report usage.Service
	events timeline.Recorder
	// tries makes transaction IDs unique.
	tries uint64
	// run tells the transactions of two holders apart.
	run fleet.Incarnation
}

type act uint8

// progress is what the table says of the window that is reported next.
type progress struct {
	cursor        cursor
	cursorVersion uint64
	closedVersion uint64
	sealed        sealed
	sealedVersion uint64
}

// NewDuty returns the duty Usage of a region, carried out by one incarnation
// of a daemon.
func NewDuty(t table.Table, s usage.Service, r fleet.Region, i fleet.Incarnation, e timeline.Recorder) *Duty {
	return &Duty{keys: keys{region: r}, table: t, report: s, events: e, run: i}
}

// Name implements lease.Duty.
func (d *Duty) Name() fleet.Duty {
	return lease.Usage
}

// Step implements lease.Duty.
func (d *Duty) Step(ctx context.Context, c lease.Charge) error {
	for range actsAStep {
		p, err := d.read(ctx)
		if err != nil {
			return err
		}
		a := p.next(time.Now())
		if a == actWait {
			return nil
		}
		more, err := d.act(ctx, c, p, a)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// next returns the act that brings the window forward.
func (p progress) next(now time.Time) act {
	if p.cursorVersion == 0 {
		return actBegin
	}
	if p.sealedVersion > 0 {
		return actReport
	}
	if p.closedVersion > 0 {
		return actSeal
	}
	end, err := p.cursor.Window.End()
	if err != nil || now.Before(end.Add(Grace)) {
		return actWait
	}
	return actClose
}

// act does one act and reports whether another may follow.
func (d *Duty) act(ctx context.Context, c lease.Charge, p progress, a act) (bool, error) {
	ctx, cancel, epoch, err := fence.Under(ctx, c, actLimit)
	if err != nil {
		return false, err
	}
	defer cancel()
	switch a {
	case actBegin:
		return d.begin(ctx)
	case actClose:
		return true, d.close(ctx, p)
	case actSeal:
		return true, d.seal(ctx, p, epoch)
	default:
		return true, d.hand(ctx, p, epoch)
	}
}

// begin sets the cursor when the first part of all has been written, and
// reports whether it has.
func (d *Duty) begin(ctx context.Context) (bool, error) {
	rows, err := d.table.Scan(ctx, d.keys.parts(), "", 1)
	if err != nil || len(rows) == 0 {
		return false, err
	}
	first, err := decode[storedPart](rows[0])
	if err != nil {
		return false, err
	}
	_, err = d.insert(ctx, d.keys.cursor(), cursor{Window: first.Part.Window.add(-early * Length)})
	return err == nil, err
}

// close ends the writing of parts: each part's transaction requires that the
// row written here is absent.
func (d *Duty) close(ctx context.Context, p progress) error {
	_, err := d.insert(ctx, d.keys.closed(p.cursor.Window), cursor{Window: p.cursor.Window})
	return err
}

// hand reports the sealed bytes and moves the cursor on.
func (d *Duty) hand(ctx context.Context, p progress, epoch fleet.Epoch) error {
	w := p.cursor.Window
	detail := string(w)
	err := d.report.Report(ctx, usage.Report{Region: d.keys.region, Window: string(w), Epoch: epoch, Body: p.sealed.Body})
	if errors.Is(err, usage.ErrMismatch) {
		// The platform keeps what it has. Sending other bytes is what must
		// never be done, and waiting would hold back the windows that follow.
		detail += " mismatch"
	} else if err != nil {
		return err
	}
	moved, err := d.advance(ctx, p)
	if err != nil || !moved {
		return err
	}
	d.events.Record(timeline.Event{Kind: timeline.WindowReported, Duty: lease.Usage, Epoch: epoch, Detail: detail})
	return nil
}

func (d *Duty) advance(ctx context.Context, p progress) (bool, error) {
	b, err := json.Marshal(cursor{Window: p.cursor.Window.Next()})
	if err != nil {
		return false, errors.Wrap(err, "window: cursor")
	}
	t := table.Txn{
		ID:         d.nextID(d.keys.cursor()),
		Conditions: []table.Condition{{Key: d.keys.cursor(), Version: p.cursorVersion}},
		Writes:     []table.Write{{Key: d.keys.cursor(), Value: b}},
	}
	for _, i := range p.sealed.Parts {
		for _, q := range i.Sequences {
			t.Writes = append(t.Writes, table.Write{Key: d.keys.part(p.cursor.Window, i.Incarnation, q), Delete: true})
		}
	}
	return d.commit(ctx, t)
}

// commit reports whether t is known to be written. It takes a conflict or an
// unknown outcome as progress made by somebody: the next read shows what it
// was.
func (d *Duty) commit(ctx context.Context, t table.Txn) (bool, error) {
	err := d.table.Commit(ctx, t)
	if errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrUnknown) {
		return false, nil
	}
	return err == nil, err
}

func (d *Duty) insert(ctx context.Context, k table.Key, v any) (bool, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return false, errors.Wrap(err, "window: row")
	}
	return d.commit(ctx, table.Txn{
		ID:         d.nextID(k),
		Conditions: []table.Condition{{Key: k}},
		Writes:     []table.Write{{Key: k, Value: b}},
	})
}

func (d *Duty) nextID(k table.Key) string {
	d.tries++
	return fmt.Sprintf("%s#%s/%d", k, d.run, d.tries)
}

// parts reads all parts of a closed window. Their set is final, unless another
// holder has sealed and reported the window meanwhile; then the insert of the
// sealed row fails.
func (d *Duty) parts(ctx context.Context, w ID) ([]storedPart, error) {
	var parts []storedPart
	after := table.Key("")
	for {
		rows, err := d.table.Scan(ctx, d.keys.partsOf(w), after, scanLimit)
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
		if len(rows) < scanLimit {
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

// seal adds the parts up and keeps the figures in one row, once.
func (d *Duty) seal(ctx context.Context, p progress, epoch fleet.Epoch) error {
	w := p.cursor.Window
	stored, err := d.parts(ctx, w)
	if err != nil {
		return err
	}
	s := sealed{}
	var parts []Part
	for _, q := range stored {
		parts = append(parts, q.Part)
		s.include(q)
	}
	if s.Body, err = json.Marshal(Sum(d.keys.region, w, parts)); err != nil {
		return errors.Wrap(err, "window: figures")
	}
	own, err := d.insert(ctx, d.keys.sealed(w), s)
	if err != nil || !own {
		return err
	}
	d.events.Record(timeline.Event{Kind: timeline.WindowSealed, Duty: lease.Usage, Epoch: epoch, Detail: string(w)})
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
