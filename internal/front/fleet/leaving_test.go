package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// startedAt is when the first incarnation of a server in these tests started.
var startedAt = time.UnixMilli(1000)

// newStateWithServer returns a State whose rows describe one server, which started at
// the time that the returned pointer holds.
func newStateWithServer() (*State, *time.Time) {
	started := startedAt
	f := New(&store.Memory{}, Codec{Server: func(id string, _ []byte, _ time.Time) (backend.Server, error) {
		return backend.Server{ID: id, StartedAt: started}, nil
	}}, zap.NewNop())
	return f, &started
}

func (f *State) isDraining(t *testing.T, id string) bool {
	t.Helper()
	s, ok := f.Servers().Get(id)
	must.True(t, ok)
	return s.Draining
}

// TestAnnouncedShutdownOutlastsTheRow announces a server's shutdown in a response
// while its row says nothing of it. Until its next start the server must count as
// draining, through changes of its row and outages of the store.
func TestAnnouncedShutdownOutlastsTheRow(t *testing.T) {
	f, started := newStateWithServer()
	var d directory
	write := func(version int64) {
		d.apply(Update{Rows: []store.Row{{Key: store.Key{Name: "a"}, Version: version}}})
		f.updateServers(&d, time.Duration(version)*time.Second)
	}
	write(1)
	must.False(t, f.isDraining(t, "a"))
	s, _ := f.Servers().Get("a")
	f.RecordLeaving(s)
	must.True(t, f.isDraining(t, "a"), must.Sprint("no read of the store is needed"))
	write(2)
	must.True(t, f.isDraining(t, "a"), must.Sprint("the row was written again"))
	d.apply(removed("a"))
	f.updateServers(&d, 3*time.Second)
	write(4)
	must.True(t, f.isDraining(t, "a"), must.Sprint("the row expired and returned"))
	*started = startedAt.Add(time.Minute)
	write(5)
	must.False(t, f.isDraining(t, "a"), must.Sprint("the server started again"))
}

// TestLeavingServersAreForgotten covers daemons that run for long: announcements of
// servers that no longer exist must not accumulate.
func TestLeavingServersAreForgotten(t *testing.T) {
	gone := backend.Server{ID: "gone"}
	now := time.Now()
	l := leavingServers{gone.Incarnation(): now}
	l.apply(&Servers{}, now.Add(leavingRetention/2))
	must.MapLen(t, 1, l)
	l.apply(&Servers{}, now.Add(2*leavingRetention))
	must.MapLen(t, 0, l)
}
