package fleet

import (
	"context"
	"sync"
	"sync/atomic"
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

// countingStore counts writes, and takes a time for each call.
type countingStore struct {
	store.Store

	takes  time.Duration
	writes atomic.Int64
}

// Commit implements store.Store.
func (c *countingStore) Commit(ctx context.Context, t store.Txn) (store.Snapshot, error) {
	c.writes.Add(1)
	time.Sleep(c.takes)
	return c.Store.Commit(ctx, t)
}

// Read implements store.Store.
func (c *countingStore) Read(ctx context.Context, r store.Range) (store.Snapshot, error) {
	time.Sleep(c.takes)
	return c.Store.Read(ctx, r)
}

// TestRequestedReadsAndHeartbeats guards against streams that are taken up being refused while the
// store is slow, as a requested read waits for more calls than it needs, and against heartbeats that
// requested reads put off.
func TestRequestedReadsAndHeartbeats(t *testing.T) {
	for _, takes := range []time.Duration{4 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				m := &countingStore{Store: &store.Memory{}, takes: takes}
				f := New(m, Codec{}, zap.NewNop())
				var g sync.WaitGroup
				g.Go(func() { _ = f.ServeMembers(ctx, func() Member { return Member{ID: "a"} }) })
				time.Sleep(3 * time.Second)
				writes := m.writes.Load()
				const span = 10 * time.Second
				var calls sync.WaitGroup
				for n := range 5 {
					calls.Go(func() {
						time.Sleep(time.Duration(n) * takes / 5)
						for begun := time.Now(); time.Since(begun) < span; {
							// A heartbeat and a read may be in progress.
							if !f.AwaitMembers(ctx, 3*takes+2*minEarlyInterval) {
								t.Error("a requested read came late")
							}
						}
					})
				}
				calls.Wait()
				must.GreaterEq(t, int64(span/(heartbeatInterval+minEarlyInterval+3*takes)), m.writes.Load()-writes)
				stop()
				g.Wait()
			})
		})
	}
}
