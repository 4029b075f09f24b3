package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// eventStream returns a stream with the events from..to; if truncated is set, it ends
// in the middle of the next event.
func eventStream(from, to int, truncated bool) *backend.Response {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	if truncated {
		fmt.Fprintf(&b, "id: %d\nda", to+1)
	}
	return &backend.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(b.String())), Length: -1}
}

// runStream sends one request on a stream route with two servers.
func runStream(t *testing.T, resumable bool, c *fakeClient) (recordedResponse, error) {
	t.Helper()
	f, _ := newForwarder(t, c)
	r := route.Route{Kind: route.Stream, Resumable: resumable, MaxServers: 2, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
	now := time.Now()
	req := Request{Request: backend.Request{ID: "r", Deadline: now.Add(5 * time.Second)}, ArrivedAt: now}
	var sink recordedResponse
	return sink, f.Do(t.Context(), r, "w", req, &sink)
}

func TestTruncatedStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(_ context.Context, n int, _ backend.Server) (*backend.Response, error) {
			if n == 1 {
				return eventStream(1, 3, true), nil
			}
			return eventStream(4, 6, false), nil
		}}
		f, _ := newForwarder(t, c)
		r := route.Route{Kind: route.Stream, Resumable: true, MaxServers: 2, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
		now := time.Now()
		req := Request{Request: backend.Request{ID: "r", Deadline: now.Add(5 * time.Second)}, ArrivedAt: now}
		var sink recordedResponse
		must.NoError(t, f.Do(t.Context(), r, "w", req, &sink))
		want, err := io.ReadAll(eventStream(1, 6, false).Body)
		must.NoError(t, err)
		must.Eq(t, string(want), sink.body)
		must.NotEq(t, c.servers[0], c.servers[1])
	})
}

func TestTruncatedStreamThatIsNotResumableFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) {
			return eventStream(1, 3, true), nil
		}}
		_, err := runStream(t, false, c)
		checkRefusal(t, err, refusal.ErrMayHaveRun, refusal.ReasonConnectionLost)
		must.Len(t, 1, c.servers)
	})
}

func TestRefusedStreamIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(_ context.Context, n int, _ backend.Server) (*backend.Response, error) {
			if n == 1 {
				return notRunResponse(), nil
			}
			return eventStream(1, 2, false), nil
		}}
		_, err := runStream(t, false, c)
		must.NoError(t, err)
		must.Len(t, 2, c.servers)
	})
}

// TestEndlessResponseInsteadOfAStream answers a request for a stream with a failure whose
// body never ends: no part of it may be passed on as the complete response.
func TestEndlessResponseInsteadOfAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeClient{do: func(_ context.Context, n int, _ backend.Server) (*backend.Response, error) {
			if n == 1 {
				return &backend.Response{Status: http.StatusBadGateway, Body: io.NopCloser(endless{}), Length: -1}, nil
			}
			return eventStream(1, 3, false), nil
		}}
		sink, err := runStream(t, true, c)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, sink.status)
		must.Len(t, 2, c.servers)
	})
}

// endless is a reader without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }
