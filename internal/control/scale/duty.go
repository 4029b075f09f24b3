package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/fence"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/order"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// maxRounds bounds the rounds of one step, which settles open intents,
	// places orders and settles those.
	maxRounds = 4
	// scanLimit is the maximum number of rows of a scan. It exceeds the number
	// of slots of a region.
	scanLimit = 10_000
)

// Demand returns the number of servers that each pool has work for.
type Demand func() map[fleet.Pool]int

// Duty orders the backend servers of one region. Use NewDuty.
type Duty struct {
	demand  Demand
	domains []fleet.FailureDomain
	events  timeline.Recorder
	region  fleet.Region
	service order.Service
	table   table.Table
	view    view.Source

	ledger  Ledger
	planner Planner
	// epoch is the epoch of ledger and newest, or 0 if they are not loaded.
	epoch fleet.Epoch
	// newest is the condition that epoch is the newest of the lease.
	newest table.Condition
	// sequence counts the IDs of orders that this process has created.
	sequence uint64
}

// NewDuty returns the duty lease.Orders of a region with the given failure
// domains.
func NewDuty(t table.Table, s order.Service, v view.Source, r fleet.Region, domains []fleet.FailureDomain,
	d Demand, e timeline.Recorder,
) *Duty {
	return &Duty{
		demand: d, domains: domains, events: e, region: r, service: s, table: t, view: v,
	}
}

// Name implements lease.Duty.
func (d *Duty) Name() fleet.Duty {
	return lease.Orders
}

// Step implements lease.Duty.
func (d *Duty) Step(ctx context.Context, c lease.Charge) error {
	err := d.step(ctx, c)
	if err != nil {
		// The contents of the table are unknown after an error.
		d.epoch = 0
	}
	return err
}

func (d *Duty) step(ctx context.Context, c lease.Charge) error {
	if err := d.load(ctx, c); err != nil {
		return err
	}
	lines, err := d.service.List(ctx, d.region)
	if err != nil {
		return err
	}
	d.ledger.Reconcile(lines)
	d.planner.SetCurrent(lines)
	targets := d.targets(time.Now())
	for range maxRounds {
		steps := d.ledger.Next(time.Now(), d.epoch, targets, d.newID)
		if len(steps) == 0 {
			return nil
		}
		for _, s := range steps {
			if err := d.execute(ctx, c, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Duty) execute(ctx context.Context, c lease.Charge, s Step) error {
	switch s.Kind {
	case StepFind:
		return d.find(ctx, c, s.Intent)
	case StepSettle:
		return d.settle(ctx, s)
	default:
		return d.place(ctx, c, s.Intent)
	}
}

// find asks the platform whether it received an order. If the platform checks
// fencing tokens, the epoch of the query makes it refuse the order from then
// on.
func (d *Duty) find(ctx context.Context, c lease.Charge, i Intent) error {
	ctx, cancel, epoch, err := fence.WithCharge(ctx, c, PlaceTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	_, err = d.service.Find(ctx, order.Query{ID: i.Order.ID, Region: d.region, Epoch: epoch})
	switch {
	case err == nil:
		d.ledger.Resolve(i.Order.ID, OutcomeAccepted)
	case errors.Is(err, order.ErrAbsent):
		d.ledger.Resolve(i.Order.ID, OutcomeNotPlaced)
	default:
		return err
	}
	return nil
}

// load reads the intents and targets that earlier holders wrote. It runs after
// the row of the epoch was written and before any other step of the epoch, so
// that no earlier holder can add an intent to those read here.
func (d *Duty) load(ctx context.Context, c lease.Charge) error {
	epoch, _, err := c.Check(time.Now())
	if err != nil {
		return err
	}
	if d.epoch == epoch {
		return nil
	}
	newest, err := fence.Condition(ctx, d.table, d.region, lease.Orders, epoch)
	if err != nil {
		return err
	}
	intents, err := scan[Intent](ctx, d.table, d.prefix("Intent"))
	if err != nil {
		return err
	}
	placed, err := scan[Placed](ctx, d.table, d.prefix("Placed"))
	if err != nil {
		return err
	}
	d.ledger.Load(time.Now(), intents, placed)
	d.epoch, d.newest = epoch, newest
	return nil
}

func (d *Duty) newID() order.ID {
	d.sequence++
	return order.ID(fmt.Sprintf("%s/%d/%d", d.region, d.epoch, d.sequence))
}

// place writes an intent, which fails unless the epoch is the newest, and then
// places the order. The time limit of the order starts before the intent is
// written.
func (d *Duty) place(ctx context.Context, c lease.Charge, i Intent) error {
	ctx, cancel, _, err := fence.WithCharge(ctx, c, PlaceTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	key := d.key("Intent", i.Order.Line.Slot)
	err = d.commit(ctx, i.Order.ID, []table.Condition{{Key: key}}, write{key: key, value: i})
	if err != nil {
		return err
	}
	d.ledger.AddIntent(time.Now(), i)
	err = d.service.Place(ctx, i.Order)
	switch {
	case err == nil:
		d.ledger.Resolve(i.Order.ID, OutcomeAccepted)
	case errors.Is(err, order.ErrUnfilled):
		d.planner.MarkUnfilled(time.Now(), i.Order.Line.Slot)
		d.ledger.Resolve(i.Order.ID, OutcomeNotPlaced)
	case errors.Is(err, rest.ErrUnavailable), errors.Is(err, rest.ErrGuarded), errors.Is(err, order.ErrStale):
		d.ledger.Resolve(i.Order.ID, OutcomeNotPlaced)
		return err
	case errors.Is(err, rest.ErrUnknown):
		// The platform is asked once PlaceTimeout and settleMargin have passed.
		return nil
	default:
		return err
	}
	d.record(timeline.OrderSent, i)
	return nil
}

// settle removes an intent whose outcome is known and records an accepted order
// as placed.
func (d *Duty) settle(ctx context.Context, s Step) error {
	slot := s.Intent.Order.Line.Slot
	writes := []write{{key: d.key("Intent", slot)}}
	if s.Accepted {
		writes = append(writes, write{key: d.key("Placed", slot), value: Placed(s.Intent)})
	}
	if err := d.commit(ctx, s.Intent.Order.ID+"/settled", nil, writes...); err != nil {
		return err
	}
	d.ledger.MarkSettled(s.Intent.Order.ID)
	d.record(timeline.OrderSettled, s.Intent)
	return nil
}

// targets returns the target counts of all pools. They are zero in drained
// failure domains.
func (d *Duty) targets(now time.Time) []order.Line {
	s := d.view.State()
	site := Site{Region: d.region}
	var drained []fleet.FailureDomain
	for _, f := range d.domains {
		if s.Config.Drained(f) {
			drained = append(drained, f)
			continue
		}
		site.Domains = append(site.Domains, f)
	}
	demand := d.demand()
	var lines []order.Line
	for _, p := range s.Config.Config.Pools {
		lines = append(lines, d.planner.Plan(now, site, p, demand[p.Name])...)
		for _, f := range drained {
			lines = append(lines,
				order.Line{Slot: slot(d.region, f, p.Name, fleet.Spot)},
				order.Line{Slot: slot(d.region, f, p.Name, fleet.Standard)})
		}
	}
	return lines
}

// write is a row to write; a nil value deletes it.
type write struct {
	key   table.Key
	value any
}

// commit writes rows on the given conditions and on the condition that no newer
// epoch has begun.
func (d *Duty) commit(ctx context.Context, id order.ID, conditions []table.Condition, writes ...write) error {
	t := table.Txn{ID: string(id), Conditions: append(conditions, d.newest)}
	for _, w := range writes {
		if w.value == nil {
			t.Writes = append(t.Writes, table.Write{Key: w.key, Delete: true})
			continue
		}
		b, err := json.Marshal(w.value)
		if err != nil {
			return errors.Wrap(err, "scale: encode row")
		}
		t.Writes = append(t.Writes, table.Write{Key: w.key, Value: b})
	}
	return d.table.Commit(ctx, t)
}

func (d *Duty) key(kind string, s order.Slot) table.Key {
	return d.prefix(kind) + table.Key(fmt.Sprintf("%s/%s/%s", s.FailureDomain, s.Pool, s.Kind))
}

func (d *Duty) prefix(kind string) table.Key {
	return table.Key(fmt.Sprintf("Orders/%s/%s/", d.region, kind))
}

func (d *Duty) record(k timeline.Kind, i Intent) {
	o := i.Order
	s := o.Line.Slot
	d.events.Record(timeline.Event{
		Kind: k, Duty: lease.Orders, Epoch: o.Epoch,
		Detail: fmt.Sprintf("%s %s/%s/%s=%d", o.ID, s.FailureDomain, s.Pool, s.Kind, o.Line.Count),
	})
}

func scan[T any](ctx context.Context, t table.Table, prefix table.Key) ([]T, error) {
	rows, err := t.Scan(ctx, prefix, "", scanLimit)
	if err != nil {
		return nil, err
	}
	values := make([]T, 0, len(rows))
	for _, r := range rows {
		var v T
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return nil, errors.Wrapf(err, "scale: decode row %s", r.Key)
		}
		values = append(values, v)
	}
	return values, nil
}
