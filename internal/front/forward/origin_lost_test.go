package forward

import (
	"context"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// TestStreamsAfterAllDaemonsWereKilled takes a stream up that the only daemon, which was
// killed, had begun at v1, in each window in which its record may be lost. It may go on at v1
// if that is certain, and must be refused otherwise: at v2 the text would be joined from two
// versions.
func TestStreamsAfterAllDaemonsWereKilled(t *testing.T) {
	v1, both := map[string][]string{"s": {"v1"}}, map[string][]string{"s": {"v1", "v2"}}
	k := uint64(streamKeyOf("w", "first"))
	for name, c := range map[string]struct {
		servers map[string]string
		// dead is the row of the daemon that was killed.
		dead   fleet.Member
		goesOn bool
	}{
		"old version just gone, new not seen before": {map[string]string{"b": "v2"}, fleet.Member{InUse: v1, NamesSoftware: true}, false},
		"old version just gone, both seen":           {map[string]string{"b": "v2"}, fleet.Member{InUse: both, NamesSoftware: true}, false},
		"both there, new not seen before":            {map[string]string{"a": "v1", "b": "v2"}, fleet.Member{InUse: v1, NamesSoftware: true}, true},
		"both there and seen, within a heartbeat":    {map[string]string{"a": "v1", "b": "v2"}, fleet.Member{InUse: both, NamesSoftware: true}, false},
		"both there and seen, recorded":              {map[string]string{"a": "v1", "b": "v2"}, fleet.Member{InUse: both, NamesSoftware: true, Streams: map[string][]uint64{"v1": {k}}}, true},
		"ID used again by the other version":         {map[string]string{"a": "v1", "b": "v2"}, fleet.Member{InUse: both, NamesSoftware: true, Streams: map[string][]uint64{"v1": {k}, "v2": {k}}}, false},
		"one version all the time":                   {map[string]string{"a": "v1"}, fleet.Member{InUse: v1, NamesSoftware: true}, true},
		"no server known yet":                        {nil, fleet.Member{InUse: v1, NamesSoftware: true}, false},
		"row of an earlier build":                    {map[string]string{"b": "v2"}, fleet.Member{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &fakeClient{do: func(_ context.Context, _ int, s backend.Server) (*backend.Response, error) {
					must.Eq(t, "a", s.ID, must.Sprint("joined from two versions"))
					return eventStream(3, 5, false), nil
				}}
				m := &store.Memory{}
				c.dead.ID, c.dead.Machine = "dead", "m"
				must.NoError(t, fleet.New(m, fleet.Codec{}, zap.NewNop()).Heartbeat(t.Context(), func() fleet.Member { return c.dead }))
				f, _ := newForwarderOf(t, client, m, c.servers)
				f.AskPeers(originPeer{answer: originAnswer{Complete: true}, after: time.Millisecond}, func() []netip.AddrPort { return nil })
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() {
					_ = f.fleet.ServeMembers(ctx, func() fleet.Member { return fleet.Member{ID: "self", Machine: "m", NamesSoftware: true} })
				}()
				time.Sleep(100 * time.Millisecond)
				r := route.Route{Kind: route.Stream, Resumable: true, MaxServers: 2, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
				now := time.Now()
				req := Request{Request: backend.Request{ID: "next", Deadline: now.Add(5 * time.Second), ResumeAfter: 2}, Resumes: "first", ArrivedAt: now}
				err := f.Do(t.Context(), r, "w", req, &recordedResponse{})
				must.Eq(t, c.goesOn, err == nil, must.Sprint(err))
				must.Eq(t, c.goesOn, len(client.servers) > 0)
			})
		})
	}
}

// TestRecordPrecedesTheFirstEvent begins a stream while two versions serve: when its caller
// has the first event, the store must know the version. Before, the daemon's row must name it.
func TestRecordPrecedesTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &store.Memory{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var f *Forwarder
		var written, named atomic.Pointer[fleet.Member]
		client := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) {
			named.Store(written.Load())
			return eventStream(1, 1, false), nil
		}}
		f, _ = newForwarderOf(t, client, m, map[string]string{"a": "v1", "b": "v2"})
		go func() {
			_ = f.fleet.ServeMembers(ctx, func() fleet.Member {
				m := fleet.Member{ID: "self", Streams: f.Streams(), InUse: map[string][]string{"s": {"v1", "v2"}}, NamesSoftware: true}
				written.Store(&m)
				return m
			})
		}()
		synctest.Wait()
		for n := range 3 {
			sink := &eventSink{onEvent: func() {
				must.Eq(t, n+1, len(written.Load().Streams["v1"])+len(written.Load().Streams["v2"]), must.Sprint("the caller has the first event, and no row knows the stream"))
			}}
			must.NoError(t, f.Do(t.Context(), streamRoute(true), "w", Request{Request: backend.Request{ID: strconv.Itoa(n), Deadline: time.Now().Add(time.Second)}, ArrivedAt: time.Now()}, sink))
			must.Len(t, 2, named.Load().InUse["s"])
			time.Sleep(time.Second)
		}
	})
}

// cutStore is a store that a daemon does not reach while cut is set; others do.
type cutStore struct {
	store.Store

	cut atomic.Bool
}

// Commit implements store.Store.
func (s *cutStore) Commit(ctx context.Context, t store.Txn) (store.Snapshot, error) {
	if s.cut.Load() {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return s.Store.Commit(ctx, t)
}

// Read implements store.Store.
func (s *cutStore) Read(ctx context.Context, r store.Range) (store.Snapshot, error) {
	if s.cut.Load() {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return s.Store.Read(ctx, r)
}

// TestDaemonOutOfStepDoesNotJoinVersions takes a stream up that another daemon began at servers of a
// new software version, which joined while this daemon was cut off from the store or stood still. It
// guards against the daemon taking its old rows for new ones and going on at the version that it knows.
func TestDaemonOutOfStepDoesNotJoinVersions(t *testing.T) {
	k := uint64(streamKeyOf("w", "first"))
	for name, x := range map[string]struct {
		// healed is whether the daemon reaches the store again when the request comes.
		healed bool
		// answer is that of its peers, after 1 ms, if they answer.
		answer  originAnswer
		answers bool
		goesOn  bool
	}{
		"cut off":                          {},
		"stood still":                      {healed: true},
		"cut off, peers know the new one":  {answer: originAnswer{Software: "v2", Known: true}, answers: true},
		"cut off, peers know the old one":  {answer: originAnswer{Software: "v1", Known: true}, answers: true, goesOn: true},
		"cut off, peers did not begin it":  {answer: originAnswer{Complete: true}, answers: true},
		"stood still, peers do not answer": {healed: true, answer: originAnswer{}, answers: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) {
					return eventStream(3, 5, false), nil
				}}
				m := &store.Memory{}
				cut := &cutStore{Store: m}
				f, _ := newForwarderOf(t, client, cut, map[string]string{"a": "v1"})
				peer := originPeer{answer: x.answer, after: time.Hour}
				if x.answers {
					peer.after = time.Millisecond
				}
				f.AskPeers(peer, func() []netip.AddrPort { return []netip.AddrPort{netip.MustParseAddrPort("127.0.0.2:1")} })
				other := fleet.New(m, fleet.Codec{}, zap.NewNop())
				row := fleet.Member{ID: "other", NamesSoftware: true, InUse: map[string][]string{"s": {"v1"}}, Address: netip.MustParseAddrPort("127.0.0.2:1")}
				must.NoError(t, other.Heartbeat(t.Context(), func() fleet.Member { return row }))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() {
					_ = f.fleet.ServeMembers(ctx, func() fleet.Member { return fleet.Member{ID: "self", NamesSoftware: true} })
				}()
				time.Sleep(time.Second)
				cut.cut.Store(true)
				row.InUse, row.Streams = map[string][]string{"s": {"v1", "v2"}}, map[string][]uint64{"v2": {k}}
				must.NoError(t, other.Heartbeat(t.Context(), func() fleet.Member { return row }))
				time.Sleep(10 * time.Second)
				cut.cut.Store(!x.healed)
				now := time.Now()
				req := Request{Request: backend.Request{ID: "next", Deadline: now.Add(5 * time.Second), ResumeAfter: 2}, Resumes: "first", ArrivedAt: now}
				err := f.Do(t.Context(), streamRoute(true), "w", req, &recordedResponse{})
				must.Eq(t, x.goesOn, err == nil, must.Sprint(err))
				must.Eq(t, x.goesOn, len(client.servers) > 0, must.Sprint("joined from two versions"))
			})
		})
	}
}

// TestStreamBeginsAtNamedVersionsOnly guards against a daemon that is cut off from the store
// beginning streams at a version that its row does not name: another daemon at which one is taken up
// would take it for one that began at another version.
func TestStreamBeginsAtNamedVersionsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) {
			return eventStream(1, 3, false), nil
		}}
		cut := &cutStore{Store: &store.Memory{}}
		f, _ := newForwarderOf(t, client, cut, map[string]string{"a": "v1", "b": "v2", "c": "v2"})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			_ = f.fleet.ServeMembers(ctx, func() fleet.Member {
				return fleet.Member{ID: "self", NamesSoftware: true, InUse: map[string][]string{"s": {"v1"}}}
			})
		}()
		time.Sleep(time.Second)
		cut.cut.Store(true)
		time.Sleep(10 * time.Second)
		for range 10 {
			now := time.Now()
			q := Request{Request: backend.Request{ID: "r", Deadline: now.Add(5 * time.Second)}, ArrivedAt: now}
			must.NoError(t, f.Do(t.Context(), streamRoute(true), "w", q, &recordedResponse{}))
			must.Less(t, maxNameTime, time.Since(now), must.Sprint("waited for a version although there is another"))
		}
		for _, id := range client.servers {
			must.Eq(t, "a", id)
		}
	})
}
