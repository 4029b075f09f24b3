package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// TestLoadIsTrackedFromNotifications follows a load from its order to its end, as
// seen by a daemon that runs items and receives the notifications.
func TestLoadIsTrackedFromNotifications(t *testing.T) {
	f := New(&store.Memory{}, Codec{}, zap.NewNop())
	s := backend.Server{ID: "s", Weights: map[string]int{"m": 2}}
	notify := func(version int, stage Stage) {
		b, err := msgpack.Marshal([]Load{{Incarnation: s.Incarnation(), Model: "m", Version: version, Stage: stage}})
		must.NoError(t, err)
		_, err = f.handleLoads(t.Context(), s.Address, b)
		must.NoError(t, err)
	}
	now := time.Now()
	must.Eq(t, "", f.Loading(s, now))
	notify(3, LoadStarted)
	must.Eq(t, "m", f.Loading(s, now))
	must.Eq(t, 2, f.Loaded(s, "m"))
	// The old version in a response does not end the load: the response may predate
	// the load.
	f.RecordLoaded(s.Incarnation(), "m", 2)
	must.Eq(t, "m", f.Loading(s, now))
	notify(3, LoadEnded)
	must.Eq(t, "", f.Loading(s, now))
	must.Eq(t, 3, f.Loaded(s, "m"))
	// A late notification does not restart the load.
	notify(3, LoadStarted)
	must.Eq(t, "", f.Loading(s, now))
}

func TestLoadEndsOnRefusalTimeoutOrServerRow(t *testing.T) {
	f := New(&store.Memory{}, Codec{}, zap.NewNop())
	s := backend.Server{ID: "s"}
	f.RecordLoad(Load{Incarnation: s.Incarnation(), Model: "m", Version: 3, Stage: LoadStarted})
	f.RecordLoad(Load{Incarnation: s.Incarnation(), Model: "m", Version: 3, Stage: LoadRefused})
	must.Eq(t, "", f.Loading(s, time.Now()))
	f.RecordLoad(Load{Incarnation: s.Incarnation(), Model: "m", Version: 4, Stage: LoadStarted})
	must.Eq(t, "m", f.Loading(s, time.Now()))
	must.Eq(t, "", f.Loading(s, time.Now().Add(loadTimeout)))
	// The server's row may show the end of the load before the notification
	// arrives.
	s.Weights = map[string]int{"m": 4}
	must.Eq(t, "", f.Loading(s, time.Now()))
}

func TestLoadsOfRemovedServersAreDropped(t *testing.T) {
	f := New(&store.Memory{}, Codec{}, zap.NewNop())
	f.RecordLoaded("gone", "m", 3)
	f.pruneWeights()
	must.MapEmpty(t, f.weights)
}
