package endtoend

import (
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

// longRequest returns a request that takes much longer than the withdrawal of a
// key.
func longRequest() *callerv1.GenerateRequest {
	return &callerv1.GenerateRequest{Pool: string(pool), Prompt: "a long story", MaxTokens: 50_000}
}

// configWithdrawnKey returns the configuration with the callers' key withdrawn.
func (c *cluster) configWithdrawnKey() config.Config {
	n := c.config()
	n.Keys[0].WithdrawnAt = time.Now().UTC().Truncate(time.Second)
	return n
}

// stream is a long answer that is being received.
type stream struct {
	started chan struct{}
	ended   chan error
}

func (c *cluster) stream(i int) stream {
	s := stream{started: make(chan struct{}), ended: make(chan error, 1)}
	go func() {
		started := false
		_, err := c.generate(i, callerKey, longRequest(), func(generation) {
			if !started {
				started = true
				close(s.started)
			}
		})
		s.ended <- err
	}()
	return s
}

// end waits until the stream has ended and returns its error.
func (s stream) end(t *testing.T) error {
	t.Helper()
	select {
	case err := <-s.ended:
		return err
	case <-time.After(waitTimeout):
		t.Fatal("the stream did not end")
		return nil
	}
}

func (s stream) awaitStart(t *testing.T) {
	t.Helper()
	select {
	case <-s.started:
	case err := <-s.ended:
		t.Fatalf("the stream ended before it started: %v", err)
	case <-time.After(waitTimeout):
		t.Fatal("the stream did not start")
	}
}

// TestKeyWithdrawnMidStream withdraws a key while answers are streamed through
// every daemon. New requests with the key must not run and the streams must end.
func TestKeyWithdrawnMidStream(t *testing.T) {
	c := newCluster(t, withSlowEngines(20))
	var streams []stream
	for i := range c.daemons {
		s := c.stream(i)
		s.awaitStart(t)
		streams = append(streams, s)
	}
	c.apply(0, c.configWithdrawnKey(), "member left")
	for i := range c.daemons {
		_, err := c.generate(i, callerKey, &callerv1.GenerateRequest{Pool: string(pool), Prompt: "x", MaxTokens: 1}, nil)
		must.Eq(t, connect.CodeUnauthenticated, connect.CodeOf(err), must.Sprint(err))
		a := c.plain(i, callerKey, "/bookings/1", "late", "")
		must.Eq(t, "NotRun", a.refusal)
	}
	for _, s := range streams {
		must.Eq(t, "Key", reasonOf(s.end(t)))
	}
	must.MapNotContainsKey(t, c.runs(), "late")
}

// TestKeyWithdrawnWhileFrozen freezes a daemon, withdraws a key and sends the
// frozen daemon requests, which wait in its listener until it resumes. They must
// not run.
func TestKeyWithdrawnWhileFrozen(t *testing.T) {
	c := newCluster(t, withSlowEngines(20))
	s := c.stream(2)
	s.awaitStart(t)
	c.daemons[2].freeze()
	c.apply(0, c.configWithdrawnKey(), "member left")
	must.True(t, c.keyRefused(0))
	must.True(t, c.keyRefused(1))
	late := make(chan plainResponse, 2)
	for _, id := range []string{"late-1", "late-2"} {
		go func() { late <- c.plain(2, callerKey, "/bookings/1", id, "") }()
	}
	// The kernel accepts the connections of a frozen process. When a third one
	// has timed out, the other two are in the listener's queue.
	must.Error(t, c.try(http.MethodGet, c.daemons[2].settings.Listen.Metrics, "/readyz", nil))
	c.daemons[2].resume()
	for range 2 {
		a := <-late
		must.NoError(t, a.err)
		must.Eq(t, "NotRun", a.refusal)
	}
	must.NotEq(t, "", reasonOf(s.end(t)))
	runs := c.runs()
	must.MapNotContainsKey(t, runs, "late-1")
	must.MapNotContainsKey(t, runs, "late-2")
	eventually(t, "the resumed daemon serves open routes and refuses the key", func() bool {
		open := c.plain(2, "", "/hours", "", "").status == http.StatusOK
		return c.keyRefused(2) && open
	})
}

// keyRefused reports whether daemon i refuses the key as unauthenticated. It
// fails the test if the daemon serves the key.
func (c *cluster) keyRefused(i int) bool {
	_, err := c.generate(i, callerKey, &callerv1.GenerateRequest{Pool: string(pool), Prompt: "x", MaxTokens: 1}, nil)
	must.Error(c.t, err)
	return connect.CodeOf(err) == connect.CodeUnauthenticated
}
