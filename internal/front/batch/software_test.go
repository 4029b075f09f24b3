package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/balance"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/sse"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// newRunnerWithServer returns a Runner whose fleet has one server "a" of a software version.
func newRunnerWithServer(t *testing.T, software string) *Runner {
	t.Helper()
	m := &store.Memory{}
	_, err := m.Commit(t.Context(), store.Txn{Puts: []store.Row{{Key: store.Key{Table: "servers", Name: "a"}, Value: []byte("a")}}})
	must.NoError(t, err)
	f := fleet.New(m, fleet.Codec{ServerTable: "servers", Server: func(id string, _ []byte, _ time.Time) (backend.Server, error) {
		return backend.Server{ID: id, Service: "s", Slots: 4, Software: software}, nil
	}}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- f.ServeServers(ctx) }()
	synctest.Wait()
	cancel()
	must.NoError(t, <-done)
	return NewRunner(f, Ledger{Store: m}, nil, unlimited{}, &balance.Balancer{}, nil, &metrics.Metrics{}, "self", zap.NewNop())
}

// TestServerReplacedDuringRun replaces a server under its ID by one of another software
// version while an item runs there, before and after the first event: no event of the new one
// may be added under the old version.
func TestServerReplacedDuringRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunnerWithServer(t, "v2")
		for _, text := range []Progress{{}, {After: 1, Data: []string{"1"}, Software: "v1", Lineage: "l"}} {
			i := &item{Item: Item{ID: "i"}, job: &job{}, progress: text}
			err := r.addEvent(i, backend.Server{ID: "a", Software: "v1"}, sse.Event{ID: text.After + 1, Data: "x"}, 1)
			must.ErrorIs(t, err, errSoftwareChanged)
			must.Eq(t, 0, i.progress.After)
			must.Eq(t, "", i.progress.Lineage)
		}
	})
}

// TestTextContinuesOnItsSoftwareVersionOnly asks whether a text can go on at a server of
// the same and of another version.
func TestTextContinuesOnItsSoftwareVersionOnly(t *testing.T) {
	for _, test := range []struct {
		software string
		after    int
	}{{"v1", 3}, {"v2", 0}} {
		i := &item{Item: Item{ID: "i"}, job: &job{}, progress: Progress{After: 3, Software: "v1"}}
		must.Eq(t, test.after > 0, i.progress.continuesOn(backend.Server{Software: test.software}))
	}
	must.True(t, Progress{}.continuesOn(backend.Server{Software: "v2"}))
}

// TestTextOfTheOnlyVersionIsKept lets items with texts wait while all servers run the same
// software.
func TestTextOfTheOnlyVersionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunnerWithServer(t, "v1")
		w := schedule.Item{ID: "i", Service: "s", Software: option.Some("v1"), Produced: 10, ReadyAt: time.Now().Add(-time.Minute)}
		must.False(t, r.startsOver(time.Now(), w, true))
		w.Software = option.Some("v2")
		must.True(t, r.startsOver(time.Now(), w, false))
	})
}

// TestTextDiscardedBeforeServersAreKnown has a daemon hold a text before it knows the
// configuration and the servers: it can't tell yet that none can continue it.
func TestTextDiscardedBeforeServersAreKnown(t *testing.T) {
	r := newRunner(&store.Memory{}, "a")
	j := r.add(Head{ID: "j", Items: []ItemHead{{ID: "1"}}, Shards: []Shard{{Member: "a"}}})
	j.put(&item{Item: Item{ID: "1"}, readyAt: time.Now(), progress: Progress{Lineage: "l", After: 2, Data: []string{"p", "q"}, Software: "v1"}})
	r.waiting(time.Now())
	must.Eq(t, 2, j.items["1"].progress.After)
}
