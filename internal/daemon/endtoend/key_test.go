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

// longAnswer is a request that takes far longer than a withdrawal.
func longAnswer() *callerv1.GenerateRequest {
	return &callerv1.GenerateRequest{Pool: string(pool), Prompt: "a long story", MaxTokens: 50_000}
}

// withdrawn is the configuration without the callers' key.
func (c *cluster) withdrawn() config.Config {
	n := c.config()
	n.Keys[0].WithdrawnAt = time.Now().UTC().Truncate(time.Second)
	return n
}

// stream is a long answer that runs.
type stream struct {
	begun chan struct{}
	ended chan error
}

func (c *cluster) stream(i int) stream {
	s := stream{begun: make(chan struct{}), ended: make(chan error, 1)}
	go func() {
		begun := false
		_, err := c.generate(i, callerKey, longAnswer(), func(text) {
			if !begun {
				begun = true
				close(s.begun)
			}
		})
		s.ended <- err
	}()
	return s
}

// end returns the error with which a stream ended.
func (s stream) end(t *testing.T) error {
	t.Helper()
	select {
	case err := <-s.ended:
		return err
	case <-time.After(pollLimit):
		t.Fatal("the stream goes on")
		return nil
	}
}

func (s stream) awaitBegin(t *testing.T) {
	t.Helper()
	select {
	case <-s.begun:
	case err := <-s.ended:
		t.Fatalf("the stream ended before it began: %v", err)
	case <-time.After(pollLimit):
		t.Fatal("the stream does not begin")
	}
}

// TestKeyWithdrawnMidStream withdraws a key while answers run through every
// daemon.
func TestKeyWithdrawnMidStream(t *testing.T) {
	c := newCluster(t, withSlowEngines(20))
	var streams []stream
	for i := range c.daemons {
		s := c.stream(i)
		s.awaitBegin(t)
		streams = append(streams, s)
	}
	c.apply(0, c.withdrawn(), "member left")
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
// frozen daemon a request, which waits in its listener until it thaws.
func TestKeyWithdrawnWhileFrozen(t *testing.T) {
	c := newCluster(t, withSlowEngines(20))
	s := c.stream(2)
	s.awaitBegin(t)
	c.daemons[2].freeze()
	c.apply(0, c.withdrawn(), "member left")
	must.True(t, c.keyRefused(0))
	must.True(t, c.keyRefused(1))
	late := make(chan plainAnswer, 2)
	for _, id := range []string{"late-1", "late-2"} {
		go func() { late <- c.plain(2, callerKey, "/bookings/1", id, "") }()
	}
	// The kernel takes the connections of a frozen process; a third one, that
	// is answered by nobody, shows that the others are on their way.
	must.Error(t, c.try(http.MethodGet, c.daemons[2].settings.Listen.Metrics, "/readyz", nil))
	c.daemons[2].thaw()
	for range 2 {
		a := <-late
		must.NoError(t, a.err)
		must.Eq(t, "NotRun", a.refusal)
	}
	must.NotEq(t, "", reasonOf(s.end(t)))
	runs := c.runs()
	must.MapNotContainsKey(t, runs, "late-1")
	must.MapNotContainsKey(t, runs, "late-2")
	eventually(t, "the thawed daemon serves open routes and refuses the key", func() bool {
		open := c.plain(2, "", "/hours", "", "").status == http.StatusOK
		return c.keyRefused(2) && open
	})
}

// keyRefused reports whether daemon i refuses the key for good. The daemon must
// not serve the key.
func (c *cluster) keyRefused(i int) bool {
	_, err := c.generate(i, callerKey, &callerv1.GenerateRequest{Pool: string(pool), Prompt: "x", MaxTokens: 1}, nil)
	must.Error(c.t, err)
	return connect.CodeOf(err) == connect.CodeUnauthenticated
}
