package scale_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/control/scale"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/platform/order"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	"github.com/lacewingtally/lacewingtally/internal/standin/matrix"
)

// Steps of placing an order.
const (
	stepEpoch   matrix.Step = "Epoch"
	stepIntents matrix.Step = "Intents"
	stepPlaced  matrix.Step = "Placed"
	stepList    matrix.Step = "List"
	stepIntent  matrix.Step = "Intent"
	stepPlace   matrix.Step = "Place"
	// stepChecked is between the last check of the charge and the write.
	stepChecked matrix.Step = "Checked"
	stepFind    matrix.Step = "Find"
	stepSettle  matrix.Step = "Settle"
)

var steps = []matrix.Step{
	stepEpoch, stepIntents, stepPlaced, stepList, stepIntent, stepPlace, stepChecked, stepFind, stepSettle,
}

// noEpochs stands for a daemon that receives no epochs from its peers, so that
// only the mechanism under test gives protection.
type noEpochs struct{}

func (noEpochs) Epoch(fleet.Duty) fleet.Epoch       { return 0 }
func (noEpochs) HeardEpoch(fleet.Duty, fleet.Epoch) {}

// service is the ordering interface with the faults of one process.
type service struct {
	process *matrix.Process
	world   *world
}

func (s service) Find(ctx context.Context, q order.Query) (o order.Order, err error) {
	err = s.process.Do(stepFind, matrix.PlatformErrors(), func() error {
		found, err := s.world.orders.Find(context.WithoutCancel(ctx), q)
		o = found
		return err
	})
	return o, err
}

func (s service) List(ctx context.Context, g fleet.Region) (l []order.Line, err error) {
	var found []order.Line
	err = s.process.Do(stepList, matrix.PlatformErrors(), func() error {
		f, err := s.world.orders.List(context.WithoutCancel(ctx), g)
		found = f
		return err
	})
	if err != nil {
		return nil, err
	}
	return found, nil
}

func (s service) Place(ctx context.Context, o order.Order) error {
	check := func() error { return rest.CheckGuard(ctx) }
	if err := s.process.Do(stepPlace, matrix.PlatformErrors(), check); err != nil {
		return err
	}
	return s.process.Do(stepChecked, matrix.PlatformErrors(), func() error {
		err := s.world.orders.Place(context.Background(), o)
		if err == nil {
			s.world.recordArrival(o)
		}
		return err
	})
}

// world is the environment of two daemons that compete for one duty, with one
// table and one ordering service.
type world struct {
	table  table.Memory
	orders order.Memory
	demand atomic.Int64
	// commitMutex makes a commit and the read of the newest epoch atomic.
	commitMutex sync.Mutex

	mutex sync.Mutex
	// violations lists breaches of the rules on intents.
	violations []string
	intended   set.Set[string]
	// droppedArrivals are orders that arrived after they were dropped.
	droppedArrivals []order.ID
	// dropped are orders that were settled as not placed.
	dropped set.Set[string]
}

// recordArrival records a violation if an accepted order has no intent. It also
// records an order that was already settled as not placed.
func (w *world) recordArrival(o order.Order) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.intended.Contains(string(o.ID)) {
		w.violations = append(w.violations, fmt.Sprintf("%s arrived without intent", o.ID))
	}
	if w.dropped.Contains(string(o.ID)) {
		w.dropped.Remove(string(o.ID))
		w.droppedArrivals = append(w.droppedArrivals, o.ID)
	}
}

// recordCommit records a transaction on intents, and a violation if it writes
// an intent of an earlier epoch than newest.
func (w *world) recordCommit(t table.Txn, newest fleet.Epoch) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	settled, isSettle := strings.CutSuffix(t.ID, "/settled")
	if isSettle && len(t.Writes) == 1 {
		w.dropped.Add(settled)
	}
	if isSettle {
		return
	}
	var i scale.Intent
	if err := json.Unmarshal(t.Writes[0].Value, &i); err != nil || i.Order.ID == "" {
		return
	}
	w.intended.Add(t.ID)
	if i.Order.Epoch < newest {
		w.violations = append(w.violations, fmt.Sprintf("intent %s written in epoch %d", t.ID, newest))
	}
}

func (w *world) stepOf(commit bool, keys []table.Key) matrix.Step {
	k := string(keys[0])
	switch {
	case strings.HasPrefix(k, "LeaseEpoch/") && !commit:
		return stepEpoch
	case strings.HasPrefix(k, "Orders/r/Intent/") && !commit:
		return stepIntents
	case strings.HasPrefix(k, "Orders/r/Placed/") && !commit:
		return stepPlaced
	case strings.HasPrefix(k, "Orders/r/Intent/") && len(keys) == 1:
		return stepIntent
	case strings.HasPrefix(k, "Orders/r/"):
		return stepSettle
	}
	return ""
}

// observedTable records the intents that are written. No other transaction runs
// between the commit of one and the read of the newest epoch at that time.
type observedTable struct {
	*table.Memory
	world *world
}

func (o observedTable) Commit(ctx context.Context, t table.Txn) error {
	o.world.commitMutex.Lock()
	defer o.world.commitMutex.Unlock()
	if err := o.Memory.Commit(ctx, t); err != nil {
		return err
	}
	rows, err := o.Read(ctx, lease.EpochKey("r", lease.Orders))
	if err != nil {
		return err
	}
	var r lease.Row
	if rows[0].Version > 0 {
		if err := msgpack.Unmarshal(rows[0].Value, &r); err != nil {
			return err
		}
	}
	o.world.recordCommit(t, r.Epoch)
	return nil
}

func (w *world) start(ctx context.Context, i *matrix.Injector, n int) (*matrix.Process, *sync.WaitGroup) {
	ctx, kill := context.WithCancel(ctx)
	p := matrix.NewProcess(i, kill)
	v := pools(config.Pool{Name: "p", LiveFloor: 2, MaxServers: 5, SpotAllowed: true})
	v.state.ConfirmedUntil = time.Now().Add(time.Hour)
	m := fleet.Member{
		ID:     fleet.MemberID{Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n))},
		Region: "r",
	}
	v.state.Members = []fleet.Member{m}
	t := &matrix.Table{Inner: observedTable{Memory: &w.table, world: w}, Process: p, Step: w.stepOf}
	demand := func() map[fleet.Pool]int { return map[fleet.Pool]int{"p": int(w.demand.Load())} }
	d := scale.NewDuty(t, service{process: p, world: w}, v, "r", domains, demand, events{})
	k := lease.NewKeeper(table.Resolver{Table: t}, view.Source(v), noEpochs{}, m, d)
	var wait sync.WaitGroup
	wait.Go(func() { _ = k.Serve(ctx) })
	return p, &wait
}

// run executes one cell of the matrix and returns an error if a rule was
// broken.
func run(t *testing.T, c matrix.Cell, fenced bool) (err error) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		w.orders.Fenced = fenced
		w.demand.Store(4)
		ctx, stop := context.WithCancel(t.Context())
		i := matrix.NewInjector(c)
		a, waitA := w.start(ctx, i, 1)
		time.Sleep(700 * time.Millisecond)
		b, waitB := w.start(ctx, i, 2)
		time.Sleep(10 * time.Second)
		// The targets change while a process may be frozen.
		w.demand.Store(5)
		w.waitSettled(t, c, i)
		stop()
		waitA.Wait()
		waitB.Wait()
		a.Wait()
		b.Wait()
		err = w.check(t, c, fenced, a, b)
	})
	return err
}

// waitSettled waits until no further change is expected in a cell: its faults
// were injected, a frozen process has resumed, and the targets have been in
// effect for some time.
func (w *world) waitSettled(t *testing.T, c matrix.Cell, i *matrix.Injector) {
	wait := 2*matrix.FreezeTime + 15*time.Second
	if !c.HasFault(matrix.FreezeBefore, matrix.FreezeAfter) {
		// Twice the time of a takeover and the wait for open intents.
		wait = 2 * (lease.Term + lease.ReadInterval + scale.PlaceTimeout + 2*time.Second)
	}
	stable := 0
	for end := time.Now().Add(wait); time.Now().Before(end) && stable < 5; {
		time.Sleep(time.Second)
		lines, err := w.orders.List(t.Context(), "r")
		must.NoError(t, err)
		if standard, spot := count(lines); standard != 3 || spot != 2 || !i.Done() || c.HasFault(matrix.FreezeBefore, matrix.FreezeAfter) {
			stable = 0
			continue
		}
		stable++
	}
}

// check returns an error if a run broke a rule. One case is not prevented: a
// holder is frozen between its last check and the write to a service that does
// not check fencing tokens. Its order arrives late and must then be corrected.
func (w *world) check(t *testing.T, c matrix.Cell, fenced bool, a, b *matrix.Process) error {
	if len(w.violations) > 0 {
		return errors.Errorf("%v", w.violations)
	}
	var newest fleet.Epoch
	var seen set.Set[order.ID]
	stale := 0
	for _, o := range w.orders.Received() {
		if seen.Add(o.ID) && o.Epoch < newest {
			stale++
		}
		newest = max(newest, o.Epoch)
	}
	unprotected := !fenced && (c.Has(stepChecked, matrix.FreezeBefore) || c.Has(stepPlace, matrix.FreezeAfter))
	if len(w.droppedArrivals) > 0 && !unprotected {
		return errors.Errorf("orders arrived after they were settled as not placed: %v", w.droppedArrivals)
	}
	if stale > 0 && !unprotected {
		return errors.Errorf("%d orders of an earlier epoch arrived", stale)
	}
	lateOrders.Add(int64(stale))
	if a.Killed() && b.Killed() {
		return nil
	}
	lines, err := w.orders.List(t.Context(), "r")
	if err != nil {
		return err
	}
	if standard, spot := count(lines); standard != 3 || spot != 2 {
		return errors.Errorf("ended with %d standard and %d spot servers", standard, spot)
	}
	return nil
}

// lateOrders counts the orders that arrived late in the case that is not
// prevented.
var lateOrders atomic.Int64

func TestMatrixOneHolderPlacesOrders(t *testing.T) {
	matrix.Run(t, steps, 2, func(t *testing.T, c matrix.Cell, variant int) error { return run(t, c, variant == 0) })
	t.Logf("late orders in the case that is not prevented, all corrected: %d", lateOrders.Load())
	must.Positive(t, lateOrders.Load(), must.Sprint("no order arrived late in the case that is not prevented"))
}

func TestNoFaults(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		must.NoError(t, run(t, nil, fenced), must.Sprint(fmt.Sprint(fenced)))
	}
}
