package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
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
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// unversionedServers are servers without a software version: more than may end, as a server that
// comes back has another incarnation.
var unversionedServers = map[string]string{"a": "", "b": "", "c": "", "d": "", "e": "", "f": "", "g": "", "h": "", "i": ""}

// TestStreamsThatLoseServers sends the same stream again and again, as its caller does, while
// the servers that run it end, break it off or serve it. Some must be quarantined soon; the others
// must go on.
func TestStreamsThatLoseServers(t *testing.T) {
	none := func(int) (*backend.Response, error) { return nil, backend.ErrIncomplete }
	head := func(int) (*backend.Response, error) { return eventStream(1, 0, true), nil }
	events := func(n int) (*backend.Response, error) { return eventStream(n, n, true), nil }
	// whole sends one event, and after some attempts the rest of the stream.
	whole := func(attempts int) func(int) (*backend.Response, error) {
		return func(n int) (*backend.Response, error) { return eventStream(n, n, n%attempts > 0), nil }
	}
	unanswered := func(n int) (*backend.Response, error) {
		if n == 1 {
			return nil, backend.ErrIncomplete
		}
		return whole(7)(n)
	}
	// These are requests that ran on the same servers when they failed: one that gets no answer
	// but at each of some attempts, other streams, and a stream that is always on the same server.
	crashing := func(attempts int) func(*Forwarder, int, backend.Server) {
		return func(f *Forwarder, n int, s backend.Server) {
			if n%attempts > 0 {
				f.Suspect(popular, s, time.Now())
			}
		}
	}
	others := func(f *Forwarder, n int, s backend.Server) {
		f.suspect(popular+quarantine.Fingerprint(n), s, time.Now(), true)
	}
	follower := func(f *Forwarder, _ int, s backend.Server) { f.suspect(popular, s, time.Now(), true) }
	ended, listens := error(syscall.ECONNREFUSED), error(nil)
	for name, test := range map[string]struct {
		resumable bool
		attempt   func(n int) (*backend.Response, error)
		dial      error
		// first and most are the maximum numbers of attempts of the first request and of
		// five if they are to be quarantined, and 0 if all are to be served.
		first, most int
		// beside records that the server of an attempt failed during other requests; nil if there
		// are none.
		beside func(f *Forwarder, n int, s backend.Server)
	}{
		"no answer":                      {true, none, ended, 2, 3, nil},
		"no answer, not resumable":       {false, none, ended, 1, 3, nil},
		"no event":                       {true, head, ended, 2, 4, nil},
		"no event, not resumable":        {false, head, ended, 1, 3, nil},
		"one event each":                 {true, events, ended, 3, 3, nil},
		"connections that end at once":   {true, events, io.EOF, 3, 3, nil},
		"one event each, beside others":  {true, events, ended, 3, 3, others},
		"one event each, with another":   {true, events, ended, 7, 7, follower},
		"broken off by running servers":  {true, whole(9), listens, 0, 0, nil},
		"beside a request that crashes":  {true, whole(6), ended, 0, 0, crashing(6)},
		"begun beside such a request":    {true, unanswered, ended, 0, 0, crashing(7)},
		"servers that no longer respond": {true, whole(9), errors.New("timeout"), 0, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var f *Forwarder
				c := &fakeClient{do: func(_ context.Context, n int, s backend.Server) (*backend.Response, error) {
					// The caller reads each event, and the server needs time for it.
					time.Sleep(100 * time.Millisecond)
					if test.beside != nil {
						test.beside(f, n, s)
					}
					return test.attempt(n)
				}}
				f, _ = newForwarderOf(t, c, &store.Memory{}, unversionedServers)
				f.SetDialer(func(context.Context, netip.AddrPort) (net.Conn, error) {
					if test.dial != nil && !errors.Is(test.dial, io.EOF) {
						return nil, test.dial
					}
					server, client := net.Pipe()
					if errors.Is(test.dial, io.EOF) {
						must.NoError(t, server.Close())
					}
					return client, nil
				})
				r := route.Route{Kind: route.Stream, Resumable: test.resumable, MaxServers: 2, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
				var err error
				for n := range 5 {
					now := time.Now()
					var sink recordedResponse
					err = f.Do(t.Context(), r, "w", Request{Request: backend.Request{ID: "r", Deadline: now.Add(10 * time.Second)}, ArrivedAt: now}, &sink)
					if test.most == 0 {
						must.NoError(t, err)
						must.Eq(t, http.StatusOK, sink.status)
					} else if n == 0 {
						must.LessEq(t, test.first, len(c.servers))
					}
					time.Sleep(time.Second)
				}
				if test.most > 0 {
					checkRefusal(t, err, refusal.ErrGaveUp, refusal.ReasonQuarantine)
					must.LessEq(t, test.most, len(c.servers))
				}
			})
		})
	}
}

// TestLeavingServerIsNoFailure has a server that announced its end break off a stream.
func TestLeavingServerIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newForwarder(t, &fakeClient{})
		f.Suspect(popular, backend.Server{ID: "a", Draining: true}, time.Now())
		counts, _ := f.Suspects()
		must.MapEmpty(t, counts)
	})
}

// TestFailuresOutliveTheirObserver lets a daemon end that observed failures: they must count
// until they expire, unless it withdrew them before.
func TestFailuresOutliveTheirObserver(t *testing.T) {
	observer := fleet.Member{ID: "other", Suspects: map[uint64]fleet.SuspectServers{uint64(popular): {1: 1}}}
	var d departed
	d.observe([]fleet.Member{observer}, "self", crashedAt)
	must.SliceEmpty(t, d.list())
	d.observe(nil, "self", crashedAt.Add(time.Second))
	must.Eq(t, []fleet.Member{observer}, d.list())
	d.observe([]fleet.Member{observer}, "self", crashedAt.Add(2*time.Second))
	must.SliceEmpty(t, d.list())
	d.observe([]fleet.Member{{ID: "other"}}, "self", crashedAt.Add(3*time.Second))
	d.observe(nil, "self", crashedAt.Add(4*time.Second))
	must.SliceEmpty(t, d.list(), must.Sprint("withdrawn"))
	d.observe([]fleet.Member{observer}, "self", crashedAt)
	d.observe(nil, "self", crashedAt.Add(suspectRetention+time.Second))
	must.SliceEmpty(t, d.list(), must.Sprint("expired"))
}
