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

// shards is how many cells run at once.
const shards = 4

// Objects is an object store as one process sees it.
type Objects struct {
	Inner   object.Store
	Process *Process
}

// Rest returns the errors of the platform's services.
func Rest() Errors {
	return Errors{Unavailable: rest.ErrUnavailable, Unknown: rest.ErrUnknown}
}

// Run lives through every fault at every step, singly, twice in a row and in
// pairs, in each of so many variants. It fails for each cell for which live
// returns an error, and when the number of cells is not the full product.
func Run(t *testing.T, steps []Step, variants int, live func(t *testing.T, c Cell, variant int) error) {
	cells := Cells(steps, All())
	var ran atomic.Int64
	t.Run("Cells", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for n := shard; n < variants*len(cells); n += shards {
					ran.Add(1)
					if err := live(t, cells[n/variants], n%variants); err != nil {
						t.Errorf("%s, variant %d: %v", cells[n/variants], n%variants, err)
					}
				}
			})
		}
	})
	want := variants * Count(len(steps), len(All()))
	t.Logf("cells: %d (%d steps, %d faults, singly, twice, in pairs; variants: %d)", ran.Load(), len(steps), len(All()), variants)
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
	err := o.Process.Do(StepGet, Rest(), func() error {
		f, err := o.Inner.Get(context.WithoutCancel(ctx), k)
		found = f
		return err
	})
	if err != nil {
		// A late call may still write what it found.
		return nil, err
	}
	return found, nil
}

// Put implements object.Store.
func (o Objects) Put(ctx context.Context, k object.Key, body []byte) error {
	return o.Process.Do(StepPut, Rest(), func() error { return o.Inner.Put(context.WithoutCancel(ctx), k, body) })
}
