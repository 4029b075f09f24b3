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

// TestLoadsAsTold follows a load from its order to its end, as a daemon that
// runs items is told of it.
func TestLoadsAsTold(t *testing.T) {
	f := New(&store.Memory{}, Codec{}, zap.NewNop())
	s := backend.Server{ID: "s", Weights: map[string]int{"m": 2}}
	told := func(version int, stage Stage) {
		b, err := msgpack.Marshal([]Load{{Incarnation: s.Incarnation(), Model: "m", Version: version, Stage: stage}})
		must.NoError(t, err)
		_, err = f.handleLoads(t.Context(), s.Address, b)
		must.NoError(t, err)
	}
	now := time.Now()
	must.Eq(t, "", f.Loading(s, now))
	told(3, LoadBegun)
	must.Eq(t, "m", f.Loading(s, now))
	must.Eq(t, 2, f.Loaded(s, "m"))
	// An answer that was made before the load says nothing of its end.
	f.SawLoaded(s.Incarnation(), "m", 2)
	must.Eq(t, "m", f.Loading(s, now))
	told(3, LoadEnded)
	must.Eq(t, "", f.Loading(s, now))
	must.Eq(t, 3, f.Loaded(s, "m"))
	// A notice that comes late does not bring the load back.
	told(3, LoadBegun)
	must.Eq(t, "", f.Loading(s, now))
}

func TestLoadThatIsRefusedOrForgottenEnds(t *testing.T) {
	f := New(&store.Memory{}, Codec{}, zap.NewNop())
	s := backend.Server{ID: "s"}
	f.SawLoad(Load{Incarnation: s.Incarnation(), Model: "m", Version: 3, Stage: LoadBegun})
	f.SawLoad(Load{Incarnation: s.Incarnation(), Model: "m", Version: 3, Stage: LoadRefused})
	must.Eq(t, "", f.Loading(s, time.Now()))
	f.SawLoad(Load{Incarnation: s.Incarnation(), Model: "m", Version: 4, Stage: LoadBegun})
	must.Eq(t, "m", f.Loading(s, time.Now()))
	must.Eq(t, "", f.Loading(s, time.Now().Add(loadPatience)))
	// The server's row may tell of the end before the notice does.
	s.Weights = map[string]int{"m": 4}
	must.Eq(t, "", f.Loading(s, time.Now()))
}

func TestLoadsOfGoneServersAreForgotten(t *testing.T) {
	f := New(&store.Memory{}, Codec{}, zap.NewNop())
	f.SawLoaded("gone", "m", 3)
	f.forgetWeights()
	must.MapEmpty(t, f.weights)
}
