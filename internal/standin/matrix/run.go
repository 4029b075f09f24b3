package matrix

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

// Steps of Objects.
const (
	StepGet Step = "Get"
	StepPut Step = "Put"
)

// workers is the number of cells that run at once.
const workers = 4

// Objects wraps an object store with the faults of one process.
type Objects struct {
	Inner   object.Store
	Process *Process
}

// PlatformErrors returns the errors of the platform's HTTP services.
func PlatformErrors() Errors {
	return Errors{Unavailable: rest.ErrUnavailable, Unknown: rest.ErrUnknown}
}

// Run calls runCell for every cell of the matrix of steps and all faults, in each
// variant. The test fails for each cell for which runCell returns an error, and if
// the number of cells that ran is not the full product.
func Run(t *testing.T, steps []Step, variants int, runCell func(t *testing.T, c Cell, variant int) error) {
	cells := Cells(steps, AllFaults())
	var ran atomic.Int64
	t.Run("Cells", func(t *testing.T) {
		for worker := range workers {
			t.Run(fmt.Sprint(worker), func(t *testing.T) {
				t.Parallel()
				for n := worker; n < variants*len(cells); n += workers {
					ran.Add(1)
					if err := runCell(t, cells[n/variants], n%variants); err != nil {
						t.Errorf("%s, variant %d: %v", cells[n/variants], n%variants, err)
					}
				}
			})
		}
	})
	want := variants * CellCount(len(steps), len(AllFaults()))
	t.Logf("cells: %d (%d steps, %d faults, singly, twice, in pairs; variants: %d)", ran.Load(), len(steps), len(AllFaults()), variants)
	if int(ran.Load()) != want {
		t.Errorf("%d cells ran, the full product is %d", ran.Load(), want)
	}
}

// Delete implements object.Store.
func (o Objects) Delete(ctx context.Context, k object.Key) error {
	return o.Inner.Delete(context.WithoutCancel(ctx), k)
}

// Get implements object.Store.
func (o Objects) Get(ctx context.Context, k object.Key) ([]byte, error) {
	var found []byte
	err := o.Process.Do(StepGet, PlatformErrors(), func() error {
		f, err := o.Inner.Get(context.WithoutCancel(ctx), k)
		found = f
		return err
	})
	if err != nil {
		// A delayed call may still write to found.
		return nil, err
	}
	return found, nil
}

// Put implements object.Store.
func (o Objects) Put(ctx context.Context, k object.Key, body []byte) error {
	return o.Process.Do(StepPut, PlatformErrors(), func() error { return o.Inner.Put(context.WithoutCancel(ctx), k, body) })
}
