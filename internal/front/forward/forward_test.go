package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/balance"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// fakeClient is a backend.Client that records the servers of its calls and answers
// them with do.
type fakeClient struct {
	backend.Client

	mutex   sync.Mutex
	servers []string
	do      func(ctx context.Context, n int, s backend.Server) (*backend.Response, error)
}

func (c *fakeClient) Do(ctx context.Context, to backend.Server, _ backend.Request) (*backend.Response, error) {
	c.mutex.Lock()
	c.servers = append(c.servers, to.ID)
	n := len(c.servers)
	c.mutex.Unlock()
	return c.do(ctx, n, to)
}

func okResponse() *backend.Response {
	return &backend.Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(strings.NewReader("whole"))}
}

func notRunResponse() *backend.Response {
	return &backend.Response{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody}
}

type fakeMeter struct {
	mutex   sync.Mutex
	counted int
}

func (m *fakeMeter) Count(string, time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.counted++
}

// recordedResponse is a Sink that records the response.
type recordedResponse struct {
	status int
	body   string
}

func (r *recordedResponse) Begin(status int, _ http.Header, _ int64) { r.status = status }

func (r *recordedResponse) Write(b []byte) error { r.body += string(b); return nil }

// run sends one request on a route of the given kind with two servers.
func run(t *testing.T, kind route.Kind, c *fakeClient) (*fakeMeter, error) {
	t.Helper()
	f, m := newForwarder(t, c)
	var sink recordedResponse
	r := route.Route{Kind: kind, MaxServers: 2, Objective: 200 * time.Millisecond, MaxWait: 1500 * time.Millisecond,
		Services: []route.WeightedService{{Service: "s", Weight: 1}}}
	now := time.Now()
	req := Request{Request: backend.Request{ID: "r", Method: "POST", Deadline: now.Add(2 * time.Second)}, ArrivedAt: now}
	return m, f.Do(t.Context(), r, "w", req, &sink)
}

func newForwarder(t *testing.T, c *fakeClient) (*Forwarder, *fakeMeter) {
	t.Helper()
	return newForwarderOf(t, c, &store.Memory{}, map[string]string{"a": "", "b": ""})
}

// newForwarderOf returns a Forwarder with a store and the servers with the given IDs and
// software versions.
func newForwarderOf(t *testing.T, c backend.Client, m store.Store, software map[string]string) (*Forwarder, *fakeMeter) {
	t.Helper()
	for id, v := range software {
		_, err := m.Commit(t.Context(), store.Txn{Puts: []store.Row{{Key: store.Key{Table: "servers", Name: id}, Value: []byte(v)}}})
		must.NoError(t, err)
	}
	state := fleet.New(m, fleet.Codec{
		OperatorTable: operatorTable, ConfigName: configName, Config: decodeConfig, ServerTable: "servers",
		Version:    func(string, []byte) (string, int, bool) { return "", 0, false },
		Evacuation: func(name string) (string, bool) { return strings.CutPrefix(name, "out/") },
		Server: func(id string, b []byte, _ time.Time) (backend.Server, error) {
			return backend.Server{ID: id, Domain: id, Service: "s", Slots: 4, Software: string(b)}, nil
		},
	}, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- state.ServeServers(ctx) }()
	synctest.Wait()
	cancel()
	must.NoError(t, <-done)
	meter := &fakeMeter{}
	return New(state, c, &balance.Balancer{Domain: "d"}, meter, &metrics.Metrics{}, "self", zap.NewNop()), meter
}

// Where a Forwarder's configuration is stored.
const (
	operatorTable = "operators"
	configName    = "config"
)

// decodeConfig returns a configuration with one route; the row contains its version.
func decodeConfig(b []byte) (*route.Config, error) {
	version, err := strconv.ParseInt(string(b), 10, 64)
	c := &route.Config{Version: version, Routes: []route.Route{{Host: "h", Prefix: "/", Kind: route.Safe, Services: []route.WeightedService{{Service: "s", Weight: 1}}}}}
	c.Index()
	return c, err
}

// checkRefusal checks the kind and the reason of a refusal error.
func checkRefusal(t *testing.T, err, kind error, r refusal.Reason) {
	t.Helper()
	var e *refusal.Error
	must.True(t, errors.As(err, &e), must.Sprint(err))
	must.ErrorIs(t, e, kind)
	must.Eq(t, r, e.Reason)
}

func TestUnresponsiveServerIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(ctx context.Context, n int, _ backend.Server) (*backend.Response, error) {
			if n == 1 {
				<-ctx.Done()
				return nil, backend.ErrIncomplete
			}
			return okResponse(), nil
		}}
		start := time.Now()
		m, err := run(t, route.Safe, c)
		must.NoError(t, err)
		must.Eq(t, 90*time.Millisecond, time.Since(start))
		must.NotEq(t, c.servers[0], c.servers[1])
		must.Eq(t, 1, m.counted)
	})
}

// slowBody is a body that ends after a time.
type slowBody struct{ time.Duration }

func (b slowBody) Read([]byte) (int, error) { time.Sleep(b.Duration); return 0, io.EOF }

func (slowBody) Close() error { return nil }

// TestSlowedServerIsHedgedSooner lets the server report a slowdown in the head of its response,
// or in an earlier one, while the body takes long. The request is hedged after 40 ms, and not
// after 90; once, and not if it must run once only.
func TestSlowedServerIsHedgedSooner(t *testing.T) {
	for _, test := range []struct {
		kind     route.Kind
		slowdown float64
		took     time.Duration
		servers  int
	}{
		{route.Safe, 2.5, 40 * time.Millisecond, 2}, {route.Safe, 1.1, 90 * time.Millisecond, 2}, {route.Safe, 0, 90 * time.Millisecond, 2},
		{route.Unsafe, 2.5, time.Second, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := &fakeClient{do: func(_ context.Context, n int, _ backend.Server) (*backend.Response, error) {
				r := okResponse()
				if n == 1 {
					r.Load = backend.Load{Known: true, Slots: 6, Slowdown: test.slowdown}
					r.Body = slowBody{time.Second}
				}
				return r, nil
			}}
			start := time.Now()
			_, err := run(t, test.kind, c)
			must.NoError(t, err)
			must.Eq(t, test.took, time.Since(start), must.Sprint(test))
			must.Len(t, test.servers, c.servers)
			synctest.Wait()
			time.Sleep(time.Second)
		})
	}
}

func TestUnsafeRequestRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) {
			return nil, backend.ErrIncomplete
		}}
		_, err := run(t, route.Unsafe, c)
		checkRefusal(t, err, refusal.ErrMayHaveRun, refusal.ReasonConnectionLost)
		must.Len(t, 1, c.servers)
	})
}

func TestUnsafeRequestThatWasNotRunIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(_ context.Context, n int, _ backend.Server) (*backend.Response, error) {
			switch n {
			case 1:
				return nil, backend.ErrNotSent
			case 2:
				return notRunResponse(), nil
			}
			return okResponse(), nil
		}}
		_, err := run(t, route.Unsafe, c)
		must.NoError(t, err)
		must.Len(t, 3, c.servers)
	})
}

// TestRequestRefusedByAllServersIsNotRun checks that a request refused by all
// servers is answered with NotRun within 50 ms and is not counted as run.
func TestRequestRefusedByAllServersIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) { return notRunResponse(), nil }}
		start := time.Now()
		m, err := run(t, route.Safe, c)
		checkRefusal(t, err, refusal.ErrNotRun, refusal.ReasonOverload)
		must.LessEq(t, 50*time.Millisecond, time.Since(start))
		must.Eq(t, 0, m.counted)
	})
}

func TestUnresponsiveServersEndAtTheRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(ctx context.Context, _ int, _ backend.Server) (*backend.Response, error) {
			<-ctx.Done()
			return nil, backend.ErrIncomplete
		}}
		start := time.Now()
		_, err := run(t, route.Safe, c)
		checkRefusal(t, err, refusal.ErrMayHaveRun, refusal.ReasonDeadline)
		must.Eq(t, 1500*time.Millisecond, time.Since(start))
	})
}

// TestRequestThatCrashesServersIsQuarantined repeats a request that makes each
// server fail. It must not be run again after a few failures.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) {
			return nil, backend.ErrIncomplete
		}}
		f, _ := newForwarder(t, c)
		r := route.Route{Kind: route.Safe, MaxServers: 2, MaxWait: time.Second, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
		var err error
		for range 6 {
			now := time.Now()
			req := Request{Request: backend.Request{ID: now.String(), Method: "POST", Target: "/x", Deadline: now.Add(time.Second)}, ArrivedAt: now}
			err = f.Do(t.Context(), r, "w", req, &recordedResponse{})
		}
		checkRefusal(t, err, refusal.ErrGaveUp, refusal.ReasonQuarantine)
		must.LessEq(t, 4, len(c.servers))
	})
}

// TestMisdirectedRequestIsNoSignOfLife repeats a request that makes each server end.
// After each crash another server at the address answers that a request for the old one
// was misdirected: that must not clear the request.
func TestMisdirectedRequestIsNoSignOfLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := make(map[string]int)
		c := &fakeClient{do: func(_ context.Context, _ int, to backend.Server) (*backend.Response, error) {
			if calls[to.ID]++; calls[to.ID]%2 == 1 {
				return nil, backend.ErrIncomplete
			}
			r := notRunResponse()
			r.Status = http.StatusMisdirectedRequest
			return r, nil
		}}
		f, _ := newForwarder(t, c)
		r := route.Route{Kind: route.Safe, MaxServers: 1, MaxWait: time.Second, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
		var err error
		for range 12 {
			time.Sleep(2 * time.Second)
			now := time.Now()
			req := Request{Request: backend.Request{ID: now.String(), Method: "POST", Target: "/x", Deadline: now.Add(time.Second)}, ArrivedAt: now}
			err = f.Do(t.Context(), r, "w", req, &recordedResponse{})
		}
		checkRefusal(t, err, refusal.ErrGaveUp, refusal.ReasonQuarantine)
	})
}

// TestLimitedServersRefuseAtOnce lets both servers limit their rates: the request must be
// refused at once as not run, and each server be asked once.
func TestLimitedServersRefuseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, kind := range []route.Kind{route.Safe, route.Unsafe, route.Stream} {
			c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) {
				return nil, backend.ErrLimited
			}}
			start := time.Now()
			m, err := run(t, kind, c)
			checkRefusal(t, err, refusal.ErrNotRun, refusal.ReasonOverload)
			must.Eq(t, start, time.Now())
			must.Len(t, 2, c.servers)
			must.Eq(t, 0, m.counted)
		}
	})
}

// TestLimitedServerIsNotAvoidedLater lets one server limit its rate: the request goes to
// the other one, and the limit does not count as a failure of the server.
func TestLimitedServerIsNotAvoidedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := ""
		c := &fakeClient{do: func(_ context.Context, _ int, to backend.Server) (*backend.Response, error) {
			if limited == "" {
				limited = to.ID
			}
			if to.ID == limited {
				return nil, backend.ErrLimited
			}
			return okResponse(), nil
		}}
		f, _ := newForwarder(t, c)
		r := route.Route{Kind: route.Unsafe, MaxServers: 2, MaxWait: time.Second, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
		now := time.Now()
		req := Request{Request: backend.Request{ID: "r", Method: "POST", Deadline: now.Add(time.Second)}, ArrivedAt: now}
		must.NoError(t, f.Do(t.Context(), r, "w", req, &recordedResponse{}))
		must.Len(t, 2, c.servers)
		for _, s := range f.fleet.Servers().List {
			must.Eq(t, 0, f.balancer.Estimate(s).Running)
			must.Less(t, float64(time.Second/time.Millisecond), f.balancer.Estimate(s).Cost)
		}
	})
}

// limitedServer is balance.Limits with one server that limits its rate.
type limitedServer struct{ id string }

func (l limitedServer) Delay(backend.Server) time.Duration { return 0 }

func (l limitedServer) Limited(s backend.Server) bool { return s.ID == l.id }

// TestLimitedServerIsNotHedgedTo lets the first server be slow while the other one limits
// its rate: the request must stay at the first server.
func TestLimitedServerIsNotHedgedTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) {
			time.Sleep(500 * time.Millisecond)
			return okResponse(), nil
		}}
		f, _ := newForwarder(t, c)
		first, ok := f.balancer.Choose(f.fleet.Servers().List, "s", func(backend.Server) bool { return true })
		must.True(t, ok)
		f.balancer.Cancel(first.ID)
		for _, s := range f.fleet.Servers().List {
			if s.ID != first.ID {
				f.balancer.Limits = limitedServer{s.ID}
			}
		}
		r := route.Route{Kind: route.Safe, MaxServers: 2, Objective: 200 * time.Millisecond, MaxWait: time.Second, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
		now := time.Now()
		req := Request{Request: backend.Request{ID: "r", Method: "POST", Deadline: now.Add(time.Second)}, ArrivedAt: now}
		must.NoError(t, f.Do(t.Context(), r, "w", req, &recordedResponse{}))
		must.Eq(t, []string{first.ID}, c.servers)
	})
}
