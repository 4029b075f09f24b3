package batch

import (
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/balance"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// readPause is the time between the beginnings of two reads of a trainer, and
	// readWait how long each of them may wait.
	readPause = 500 * time.Millisecond
	readWait  = time.Second
)

// TestTrainerGetsTheLastGroupAtOnce replays the end of a step: the last items of
// several groups end within half a second, and the trainer, which pauses between
// reads, waits for two of three groups. It must have them as soon as they are listed,
// and not find out after a pause that follows a useless answer.
func TestTrainerGetsTheLastGroupAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &store.Memory{}
		r := NewRunner(fleet.New(m, fleet.Codec{}, zap.NewNop()), Ledger{Store: m}, nil, unlimited{}, &balance.Balancer{}, nil, &metrics.Metrics{}, "self", zap.NewNop())
		h := Head{ID: "j", Workspace: "w", Desired: 2}
		for n := range 6 {
			h.Items = append(h.Items, ItemHead{ID: strconv.Itoa(n), Group: strconv.Itoa(n / 2)})
		}
		r.add(h)
		s := NewService(nil, Ledger{Store: m}, r, zap.NewNop())
		list := func(n int) {
			_, _, err := s.ledger.writePage(t.Context(), h, "p"+strconv.Itoa(n), []Result{{ID: strconv.Itoa(n), State: Completed}})
			must.NoError(t, err)
		}
		var lastListedAt time.Time
		var g sync.WaitGroup
		g.Go(func() {
			for _, event := range []struct{ after, item int }{{1000, 0}, {1700, 2}, {100, 4}, {150, 1}, {100, 3}} {
				time.Sleep(time.Duration(event.after) * time.Millisecond)
				list(event.item)
			}
			lastListedAt = time.Now()
		})
		got := 0
		for got < 5 {
			begunAt := time.Now()
			a, err := s.Results(t.Context(), "w", "j", got, readWait)
			must.NoError(t, err)
			got = a.Next
			if got < 5 {
				time.Sleep(time.Until(begunAt.Add(readPause)))
			}
		}
		readAt := time.Now()
		g.Wait()
		must.Less(t, 2*lastPollInterval, readAt.Sub(lastListedAt))
	})
}

// TestWaitingReadEndsInTime lists one result of an incomplete group. A read that waits
// must return it once its time is over, one that finds it at once, and one from
// behind it must return nothing.
func TestWaitingReadEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &store.Memory{}
		r := NewRunner(fleet.New(m, fleet.Codec{}, zap.NewNop()), Ledger{Store: m}, nil, unlimited{}, &balance.Balancer{}, nil, &metrics.Metrics{}, "self", zap.NewNop())
		h := Head{ID: "j", Workspace: "w", Desired: 1, Items: []ItemHead{{ID: "0", Group: "g"}, {ID: "1", Group: "g"}}}
		r.add(h)
		s := NewService(nil, Ledger{Store: m}, r, zap.NewNop())
		time.AfterFunc(readWait/2, func() {
			_, _, err := s.ledger.writePage(t.Context(), h, "p", []Result{{ID: "0", State: Completed}})
			must.NoError(t, err)
		})
		for _, test := range []struct {
			after, results int
			held           time.Duration
		}{{0, 1, readWait}, {0, 1, 0}, {1, 0, readWait}} {
			begunAt := time.Now()
			a, err := s.Results(t.Context(), "w", "j", test.after, readWait)
			must.NoError(t, err)
			must.Len(t, test.results, a.Results)
			must.Between(t, test.held, time.Since(begunAt), test.held+pollInterval)
		}
	})
}
