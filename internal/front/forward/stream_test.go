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

// events returns a stream with the events from..to; if truncated is set, it ends
// in the middle of the next event.
func events(from, to int, truncated bool) *backend.Response {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	if truncated {
		fmt.Fprintf(&b, "id: %d\nda", to+1)
	}
	return &backend.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(b.String())), Length: -1}
}

// streamOver sends one stream request.
func streamOver(t *testing.T, resumable bool, s *fakeClient) (recordedResponse, error) {
	t.Helper()
	f, _ := newForwarder(t, s)
	r := route.Route{Kind: route.Stream, Resumable: resumable, MaxServers: 2, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
	now := time.Now()
	q := Request{Request: backend.Request{ID: "r", Deadline: now.Add(5 * time.Second)}, ArrivedAt: now}
	var a recordedResponse
	return a, f.Do(t.Context(), r, "w", q, &a)
}

func TestTruncatedStreamIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeClient{do: func(_ context.Context, n int, _ backend.Server) (*backend.Response, error) {
			if n == 1 {
				return events(1, 3, true), nil
			}
			return events(4, 6, false), nil
		}}
		f, _ := newForwarder(t, s)
		r := route.Route{Kind: route.Stream, Resumable: true, MaxServers: 2, Services: []route.WeightedService{{Service: "s", Weight: 1}}}
		now := time.Now()
		q := Request{Request: backend.Request{ID: "r", Deadline: now.Add(5 * time.Second)}, ArrivedAt: now}
		var a recordedResponse
		must.NoError(t, f.Do(t.Context(), r, "w", q, &a))
		want, err := io.ReadAll(events(1, 6, false).Body)
		must.NoError(t, err)
		must.Eq(t, string(want), a.body)
		must.NotEq(t, s.sent[0], s.sent[1])
	})
}

func TestTruncatedStreamThatIsNotResumableFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeClient{do: func(context.Context, int, backend.Server) (*backend.Response, error) { return events(1, 3, true), nil }}
		_, err := streamOver(t, false, s)
		refused(t, err, refusal.ErrMayHaveRun, refusal.ReasonConnectionLost)
		must.Len(t, 1, s.sent)
	})
}

func TestRefusedStreamIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeClient{do: func(_ context.Context, n int, _ backend.Server) (*backend.Response, error) {
			if n == 1 {
				return notRun(), nil
			}
			return events(1, 2, false), nil
		}}
		_, err := streamOver(t, false, s)
		must.NoError(t, err)
		must.Len(t, 2, s.sent)
	})
}
