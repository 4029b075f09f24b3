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

// Steps of an order's life.
const (
	stepEpoch   matrix.Step = "Epoch"
	stepIntents matrix.Step = "Intents"
	stepPlaced  matrix.Step = "Placed"
	stepList    matrix.Step = "List"
	stepIntent  matrix.Step = "Intent"
	stepPlace   matrix.Step = "Place"
	// stepChecked lies between the last check of the charge and the write.
	stepChecked matrix.Step = "Checked"
	stepFind    matrix.Step = "Find"
	stepSettle  matrix.Step = "Settle"
)

var steps = []matrix.Step{
	stepEpoch, stepIntents, stepPlaced, stepList, stepIntent, stepPlace, stepChecked, stepFind, stepSettle,
}

// noEpochs is of a daemon that hears no epochs from its peers, so that only
// the mechanism under test protects.
type noEpochs struct{}

func (noEpochs) Epoch(fleet.Duty) fleet.Epoch       { return 0 }
func (noEpochs) HeardEpoch(fleet.Duty, fleet.Epoch) {}

// receiver is the ordering interface as one process sees it.
type receiver struct {
	process *matrix.Process
	world   *world
}

func (r receiver) Find(ctx context.Context, q order.Query) (o order.Order, err error) {
	err = r.process.Do(stepFind, matrix.Rest(), func() error {
		found, err := r.world.orders.Find(context.WithoutCancel(ctx), q)
		o = found
		return err
	})
	return o, err
}

func (r receiver) List(ctx context.Context, g fleet.Region) (l []order.Line, err error) {
	var found []order.Line
	err = r.process.Do(stepList, matrix.Rest(), func() error {
		f, err := r.world.orders.List(context.WithoutCancel(ctx), g)
		found = f
		return err
	})
	if err != nil {
		return nil, err
	}
	return found, nil
}

func (r receiver) Place(ctx context.Context, o order.Order) error {
	check := func() error { return rest.CheckGuard(ctx) }
	if err := r.process.Do(stepPlace, matrix.Rest(), check); err != nil {
		return err
	}
	return r.process.Do(stepChecked, matrix.Rest(), func() error {
		err := r.world.orders.Place(context.Background(), o)
		if err == nil {
			r.world.arrive(o)
		}
		return err
	})
}

// world is two daemons that want one duty, over one table and one receiver.
type world struct {
	table  table.Memory
	orders order.Memory
	demand atomic.Int64
	// commits makes a commit and the look at the epoch one step.
	commits sync.Mutex

	mutex sync.Mutex
	// wrong are breaches of the rules on intents.
	wrong    []string
	intended set.Set[string]
	// afterwards are dropped orders that arrived.
	afterwards []order.ID
	// dropped are orders that were settled as never placed.
	dropped set.Set[string]
}

// arrive notes an order that is taken without its intent, or after it was
// settled that it never would be.
func (w *world) arrive(o order.Order) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.intended.Contains(string(o.ID)) {
		w.wrong = append(w.wrong, fmt.Sprintf("%s arrived without intent", o.ID))
	}
	if w.dropped.Contains(string(o.ID)) {
		w.dropped.Remove(string(o.ID))
		w.afterwards = append(w.afterwards, o.ID)
	}
}

// commit notes a transaction on intents, and one of an earlier epoch.
func (w *world) commit(t table.Txn, newest fleet.Epoch) {
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
		w.wrong = append(w.wrong, fmt.Sprintf("intent %s written in epoch %d", t.ID, newest))
	}
}

func (w *world) step(commit bool, keys []table.Key) matrix.Step {
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

// observed notes the intents that were written. No other transaction comes
// between one and the look at the epoch that was the newest then.
type observed struct {
	*table.Memory
	world *world
}

func (o observed) Commit(ctx context.Context, t table.Txn) error {
	o.world.commits.Lock()
	defer o.world.commits.Unlock()
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
	o.world.commit(t, r.Epoch)
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
	t := &matrix.Table{Inner: observed{Memory: &w.table, world: w}, Process: p, Step: w.step}
	demand := func() map[fleet.Pool]int { return map[fleet.Pool]int{"p": int(w.demand.Load())} }
	d := scale.NewDuty(t, receiver{process: p, world: w}, v, "r", site, demand, events{})
	k := lease.NewKeeper(table.Settle{Table: t}, view.Source(v), noEpochs{}, m, d)
	var wait sync.WaitGroup
	wait.Go(func() { _ = k.Serve(ctx) })
	return p, &wait
}

// run lives through one cell and returns what went wrong.
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
		// While a process may be frozen, there is something else to order.
		w.demand.Store(5)
		w.settle(t, c, i)
		stop()
		waitA.Wait()
		waitB.Wait()
		a.Wait()
		b.Wait()
		err = w.check(t, c, fenced, a, b)
	})
	return err
}

// settle waits until a cell can bring nothing new: its hits have happened, a
// frozen process has gone on, and the targets were reached some time ago.
func (w *world) settle(t *testing.T, c matrix.Cell, i *matrix.Injector) {
	wait := 2*matrix.Freeze + 15*time.Second
	if !c.HasFault(matrix.FreezeBefore, matrix.FreezeAfter) {
		// A takeover and the wait for open intents fit twice.
		wait = 2 * (lease.Term + lease.LookEvery + scale.Life + 2*time.Second)
	}
	calm := 0
	for end := time.Now().Add(wait); time.Now().Before(end) && calm < 5; {
		time.Sleep(time.Second)
		lines, err := w.orders.List(t.Context(), "r")
		must.NoError(t, err)
		if standard, spot := count(lines); standard != 3 || spot != 2 || !i.Done() || c.HasFault(matrix.FreezeBefore, matrix.FreezeAfter) {
			calm = 0
			continue
		}
		calm++
	}
}

// check returns what went wrong in a run. A holder that is frozen between its
// last check and the write to a receiver that checks nothing is the window
// that remains: its order arrives late, and must then be put right.
func (w *world) check(t *testing.T, c matrix.Cell, fenced bool, a, b *matrix.Process) error {
	if len(w.wrong) > 0 {
		return errors.Errorf("%v", w.wrong)
	}
	var newest fleet.Epoch
	var seen set.Set[order.ID]
	stale := 0
	for _, o := range w.orders.Arrived() {
		if seen.Add(o.ID) && o.Epoch < newest {
			stale++
		}
		newest = max(newest, o.Epoch)
	}
	open := !fenced && (c.Has(stepChecked, matrix.FreezeBefore) || c.Has(stepPlace, matrix.FreezeAfter))
	if len(w.afterwards) > 0 && !open {
		return errors.Errorf("arrived after they were given up: %v", w.afterwards)
	}
	if stale > 0 && !open {
		return errors.Errorf("%d orders of an earlier epoch", stale)
	}
	late.Add(int64(stale))
	if a.Dead() && b.Dead() {
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

// late counts the orders that arrived in the window that remains.
var late atomic.Int64

func TestMatrixOneProcessInChargeOfOrders(t *testing.T) {
	matrix.Run(t, steps, 2, func(t *testing.T, c matrix.Cell, variant int) error { return run(t, c, variant == 0) })
	t.Logf("orders that came late in the window that remains, all put right: %d", late.Load())
	must.Positive(t, late.Load(), must.Sprint("the window that remains was not reached"))
}

func TestNoFaults(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		must.NoError(t, run(t, nil, fenced), must.Sprint(fmt.Sprint(fenced)))
	}
}
