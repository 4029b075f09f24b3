package fleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// TestOlderHeartbeatDoesNotReplaceANewerOne guards against a heartbeat whose contents were
// collected before those of another one and that is written after it: the row would lack, for
// example, that the daemon is leaving.
func TestOlderHeartbeatDoesNotReplaceANewerOne(t *testing.T) {
	m := &store.Memory{}
	f := New(m, Codec{}, zap.NewNop())
	var newer sync.WaitGroup
	f.beat(t.Context(), func() Member {
		older := Member{ID: "a"}
		newer.Go(func() { f.beat(context.Background(), func() Member { return Member{ID: "a", Leaving: true} }) })
		if f.heartbeat.TryLock() {
			f.heartbeat.Unlock()
			newer.Wait()
		}
		return older
	})
	newer.Wait()
	s, err := m.Read(t.Context(), store.Range{Table: memberTable})
	must.NoError(t, err)
	must.Len(t, 1, s.Rows)
	var written Member
	must.NoError(t, msgpack.Unmarshal(s.Rows[0].Value, &written))
	must.True(t, written.Leaving)
}

// TestRowsAreOldWhileTheStoreDoesNotAnswer guards against a daemon that the store does not answer
// taking the rows that it read before for those of now: others may reach the store and write.
func TestRowsAreOldWhileTheStoreDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(&store.Memory{}, Codec{}, zap.NewNop())
		must.True(t, f.AwaitMembers(t.Context(), time.Second), must.Sprint("this daemon reads no rows"))
		f.beats.serve("self")
		must.False(t, f.Reachable())
		must.False(t, f.AwaitMembers(t.Context(), time.Second))
		must.False(t, f.AwaitNamed(t.Context(), "s", "v2", time.Second))
		must.False(t, f.Named("s", "v2"))
	})
}
