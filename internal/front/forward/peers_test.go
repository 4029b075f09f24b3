package forward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/peer"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// fakePath is a Path with fixed answers.
type fakePath struct {
	partitioned, silent, inDoubt bool
	// checked makes a running check find a partition.
	checked bool
}

func (p *fakePath) Partitioned() bool      { return p.partitioned }
func (p *fakePath) Silent() bool           { return p.silent }
func (p *fakePath) InDoubt(time.Time) bool { return p.inDoubt }
func (p *fakePath) AwaitCheck(context.Context) {
	if p.checked {
		p.partitioned = true
	}
}

// fakePeers is a Peers that records its requests and answers them with do.
type fakePeers struct {
	requests []peer.Request
	do       func(ctx context.Context, n int) (*backend.Response, error)
}

func (p *fakePeers) Do(ctx context.Context, q peer.Request) (*peer.Response, error) {
	p.requests = append(p.requests, q)
	resp, err := p.do(ctx, len(p.requests))
	if err != nil {
		return nil, err
	}
	return &peer.Response{Response: resp, Software: "v1", Peer: "p"}, nil
}

// viaPeers sends one request on a route of a kind at a daemon with the path p, and returns
// the servers and the requests of peers that it was sent to.
func viaPeers(t *testing.T, kind route.Kind, p *fakePath, peers *fakePeers, c *fakeClient) (recordedResponse, *fakeMeter, error) {
	t.Helper()
	f, m := newForwarder(t, c)
	f.SetPeers(p, peers)
	r := route.Route{Kind: kind, Resumable: true, MaxServers: 2, Objective: 200 * time.Millisecond, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
	now := time.Now()
	var sink recordedResponse
	err := f.Do(t.Context(), r, "w", Request{Request: backend.Request{ID: "r", Method: "POST", Deadline: now.Add(2 * time.Second)}, ArrivedAt: now}, &sink)
	synctest.Wait()
	return sink, m, err
}

func answer(context.Context, int) (*backend.Response, error) { return okResponse(), nil }

func TestPartitionedDaemonSendsThroughPeers(t *testing.T) {
	for _, kind := range []route.Kind{route.Safe, route.Unsafe} {
		synctest.Test(t, func(t *testing.T) {
			c, peers := &fakeClient{}, &fakePeers{do: answer}
			sink, m, err := viaPeers(t, kind, &fakePath{partitioned: true}, peers, c)
			must.NoError(t, err)
			must.Eq(t, "whole", sink.body)
			must.SliceEmpty(t, c.servers)
			must.Len(t, 1, peers.requests)
			must.Eq(t, 1, m.counted)
		})
	}
}

// TestUnrepeatableRequestAwaitsCheck and is not sent on a connection that may hang.
func TestUnrepeatableRequestAwaitsCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, peers := &fakeClient{}, &fakePeers{do: answer}
		_, _, err := viaPeers(t, route.Unsafe, &fakePath{checked: true}, peers, c)
		must.NoError(t, err)
		must.SliceEmpty(t, c.servers)
		must.Len(t, 1, peers.requests)
	})
}

func TestReachingDaemonSendsToServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) { return nil, backend.ErrNotSent }}
		peers := &fakePeers{do: answer}
		_, _, err := viaPeers(t, route.Safe, &fakePath{}, peers, c)
		checkRefusal(t, err, refusal.ErrNotRun, refusal.ReasonNoServer)
		must.SliceEmpty(t, peers.requests)
	})
}

// TestUnreachedServersAreTriedThroughPeer fails to reach a server while it is not known
// yet whether the daemon is partitioned.
func TestUnreachedServersAreTriedThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) { return nil, backend.ErrNotSent }}
		peers := &fakePeers{do: answer}
		_, _, err := viaPeers(t, route.Unsafe, &fakePath{inDoubt: true}, peers, c)
		must.NoError(t, err)
		must.Len(t, 1, c.servers)
		must.Len(t, 1, peers.requests)
	})
}

func TestUnansweredRequestIsHedgedThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(ctx context.Context, _ int, _ backend.Server) (*backend.Response, error) {
			<-ctx.Done()
			return nil, backend.ErrIncomplete
		}}
		peers := &fakePeers{do: answer}
		start := time.Now()
		_, _, err := viaPeers(t, route.Safe, &fakePath{inDoubt: true}, peers, c)
		must.NoError(t, err)
		must.Len(t, 1, c.servers)
		must.Eq(t, 90*time.Millisecond, time.Since(start))
	})
}

// TestWithoutPeerSilentServersAreNotTried and refuses at once.
func TestWithoutPeerSilentServersAreNotTried(t *testing.T) {
	for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Stream} {
		synctest.Test(t, func(t *testing.T) {
			c := &fakeClient{}
			peers := &fakePeers{do: func(context.Context, int) (*backend.Response, error) { return nil, peer.ErrNoPeer }}
			start := time.Now()
			_, m, err := viaPeers(t, kind, &fakePath{partitioned: true, silent: true}, peers, c)
			checkRefusal(t, err, refusal.ErrNotRun, refusal.ReasonNoServer)
			must.SliceEmpty(t, c.servers)
			must.LessEq(t, retryInterval, time.Since(start))
			must.Eq(t, 0, m.counted)
		})
	}
}

// TestWithoutPeerOpenConnectionsAreUsed while new connections are refused.
func TestWithoutPeerOpenConnectionsAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) { return okResponse(), nil }}
		peers := &fakePeers{do: func(context.Context, int) (*backend.Response, error) { return nil, peer.ErrNoPeer }}
		_, _, err := viaPeers(t, route.Unsafe, &fakePath{partitioned: true}, peers, c)
		must.NoError(t, err)
		must.Len(t, 1, c.servers)
	})
}

func TestRefusalOfPeerIsPassedOn(t *testing.T) {
	for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Stream} {
		synctest.Test(t, func(t *testing.T) {
			retryAt := time.Now().Add(400 * time.Millisecond)
			peers := &fakePeers{do: func(context.Context, int) (*backend.Response, error) {
				return nil, refusal.NotRun(refusal.ReasonOverload, retryAt, backend.ErrNotSent)
			}}
			_, m, err := viaPeers(t, kind, &fakePath{partitioned: true}, peers, &fakeClient{})
			checkRefusal(t, err, refusal.ErrNotRun, refusal.ReasonOverload)
			var e *refusal.Error
			must.True(t, errors.As(err, &e))
			must.Eq(t, retryAt, e.RetryAt)
			must.Len(t, 1, peers.requests)
			must.Eq(t, 0, m.counted)
		})
	}
}

// TestLostAnswerOfPeerIsUnknown sends a request that must not be repeated once, and another
// one as often as its route allows.
func TestLostAnswerOfPeerIsUnknown(t *testing.T) {
	for kind, want := range map[route.Kind]int{route.Unsafe: 1, route.Safe: 2} {
		synctest.Test(t, func(t *testing.T) {
			peers := &fakePeers{do: func(context.Context, int) (*backend.Response, error) { return nil, backend.ErrIncomplete }}
			_, m, err := viaPeers(t, kind, &fakePath{partitioned: true}, peers, &fakeClient{})
			checkRefusal(t, err, refusal.ErrMayHaveRun, refusal.ReasonConnectionLost)
			must.Len(t, want, peers.requests)
			must.Eq(t, 1, m.counted)
		})
	}
}

// TestStreamContinuesThroughPeer begins a stream at a server that is then not reached, and
// loses the first peer as well.
func TestStreamContinuesThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakePath{}
		c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) {
			path.partitioned = true
			return eventStream(1, 3, true), nil
		}}
		peers := &fakePeers{do: func(_ context.Context, n int) (*backend.Response, error) {
			if n == 1 {
				return eventStream(4, 5, true), nil
			}
			return eventStream(6, 8, false), nil
		}}
		sink, _, err := viaPeers(t, route.Stream, path, peers, c)
		must.NoError(t, err)
		want, err := io.ReadAll(eventStream(1, 8, false).Body)
		must.NoError(t, err)
		must.Eq(t, string(want), sink.body)
		must.Eq(t, 3, peers.requests[0].ResumeAfter)
		must.Eq(t, 5, peers.requests[1].ResumeAfter)
		must.True(t, peers.requests[0].HasSoftware)
	})
}

// TestStreamThatEndsAtPeersIsNotSentOnAndOn: peers lose it before its first event.
func TestStreamThatEndsAtPeersIsNotSentOnAndOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &fakePeers{do: func(context.Context, int) (*backend.Response, error) {
			time.Sleep(time.Millisecond)
			return nil, backend.ErrIncomplete
		}}
		_, _, err := viaPeers(t, route.Stream, &fakePath{partitioned: true, silent: true}, peers, &fakeClient{})
		checkRefusal(t, err, refusal.ErrMayHaveRun, refusal.ReasonConnectionLost)
		must.Len(t, 2, peers.requests)
	})
}

// TestFailuresDuringPartitionAreNotSuspect: neither those before it was noticed nor those
// during it, as the servers go on.
func TestFailuresDuringPartitionAreNotSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakePath{}
		f, _ := newForwarderOf(t, &fakeClient{}, &store.Memory{}, map[string]string{"a": "", "b": "", "c": ""})
		f.SetPeers(path, &fakePeers{})
		fingerprint := quarantine.FingerprintOf("w", "POST", "/", "")
		since := time.Now()
		time.Sleep(time.Second)
		for n := range quarantine.MaxFailures {
			f.Suspect(fingerprint, backend.Server{ID: string(rune('a' + n))}, time.Now())
		}
		must.True(t, f.Quarantined(fingerprint))
		path.partitioned = true
		f.DoubtFailures(since)
		must.False(t, f.Quarantined(fingerprint))
		for n := range quarantine.MaxFailures {
			f.Suspect(fingerprint, backend.Server{ID: string(rune('a' + n))}, time.Now())
		}
		must.False(t, f.Quarantined(fingerprint))
		time.Sleep(2 * quarantine.DoubtTime)
		must.False(t, f.Quarantined(fingerprint))
	})
}

// TestRequestThatEndsAllServersIsQuarantined guards against the failures of a request that ends
// all servers of a small deployment being dropped, as this daemon then seems partitioned. The servers
// come back as new ones, under their IDs or others; one that announced its shutdown does not count.
func TestRequestThatEndsAllServersIsQuarantined(t *testing.T) {
	for name, x := range map[string]struct {
		before, later bool
		draining      int
		want          bool
	}{
		"before the partition was noticed": {before: true, want: true},
		"during it":                        {want: true},
		"long before they disappear":       {later: true},
		"one shut down as planned":         {before: true, draining: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				path := &fakePath{partitioned: !x.before}
				// The list of servers shows that theirs ended: it has others.
				f, _ := newForwarderOf(t, &fakeClient{}, &store.Memory{}, map[string]string{"a": "", "other": ""})
				f.SetPeers(path, &fakePeers{})
				since := time.Now()
				time.Sleep(time.Second)
				for n, id := range []string{"a", "b", "c"} {
					s := backend.Server{ID: id, StartedAt: time.Now().Add(-time.Hour)}
					if n < x.draining {
						s.Draining = true
					}
					f.Suspect(popular, s, time.Now())
				}
				if x.later {
					f.suspects.recent.list[0].failedAt = time.Now().Add(-quarantine.DoubtTime)
				}
				path.partitioned = true
				f.DoubtFailures(since)
				must.Eq(t, x.want, f.Quarantined(popular))
				counts, _ := f.Suspects()
				must.Eq(t, x.want, len(counts[uint64(popular)]) == quarantine.MaxFailures, must.Sprint("sent to the other daemons"))
			})
		})
	}
}

// recordedHead is a peer.Sink that records the response.
type recordedHead struct {
	recordedResponse

	head peer.Head
}

func (r *recordedHead) Begin(h peer.Head) { r.head = h }

// TestRequestOfPeerGoesToServersOnly, although this daemon does not reach them either.
func TestRequestOfPeerGoesToServersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) { return nil, backend.ErrNotSent }}
		peers := &fakePeers{do: answer}
		f, m := newForwarder(t, c)
		f.SetPeers(&fakePath{partitioned: true}, peers)
		call := f.newCall(route.Route{Kind: route.Safe, MaxServers: 1, Services: []route.WeightedService{{Service: "s", Weight: 1}}}, Request{Request: backend.Request{ID: "r"}}, &recordedResponse{})
		call.fromPeer = true
		checkRefusal(t, call.run(t.Context()), refusal.ErrNotRun, refusal.ReasonNoServer)
		must.SliceEmpty(t, peers.requests)
		must.Eq(t, 0, m.counted)
	})
}

func TestRequestOfPeerWithoutConfigIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newForwarder(t, &fakeClient{})
		must.ErrorIs(t, f.RunForPeer(t.Context(), peer.Request{Request: backend.Request{Target: "/x"}}, &recordedHead{}), peer.ErrUnable)
	})
}

// TestRequestOfPeerIsHandledByAnOlderConfig has a peer with version 2 of the configuration
// send a request to a daemon with version 1, which gets the newer one in time or not.
func TestRequestOfPeerIsHandledByAnOlderConfig(t *testing.T) {
	for after, want := range map[time.Duration]error{200 * time.Millisecond: nil, time.Minute: peer.ErrUnable} {
		synctest.Test(t, func(t *testing.T) {
			c := &fakeClient{do: func(_ context.Context, _ int, s backend.Server) (*backend.Response, error) { return okResponse(), nil }}
			m := &store.Memory{}
			f, _ := newForwarderOf(t, c, m, map[string]string{"a": "", "b": ""})
			put := func(version string) {
				_, err := m.Commit(t.Context(), store.Txn{Puts: []store.Row{{Key: store.Key{Table: operatorTable, Name: configName}, Value: []byte(version)}}})
				must.NoError(t, err)
			}
			put("1")
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = f.fleet.ServeOperator(ctx) }()
			time.Sleep(time.Second)
			must.Eq(t, 1, f.fleet.Config().Version)
			go func() {
				fleet.Sleep(ctx, after)
				put("2")
			}()
			var h recordedHead
			q := peer.Request{Request: backend.Request{ID: "r", Method: "POST", Host: "h", Target: "/x", Deadline: time.Now().Add(time.Second)}, Config: 2}
			must.ErrorIs(t, f.RunForPeer(t.Context(), q, &h), want)
			must.Eq(t, want == nil, len(c.servers) == 1)
			cancel()
			synctest.Wait()
		})
	}
}
