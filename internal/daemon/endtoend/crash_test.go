package endtoend

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/standin/engine"
)

// TestEngineCrash crashes one engine in the middle of an answer: the answer
// goes on elsewhere, each token once.
func TestEngineCrash(t *testing.T) {
	c := newCluster(t, withSlowEngines(50))
	m := &callerv1.GenerateRequest{RequestId: "story-1", Pool: string(pool), Prompt: "a story", MaxTokens: 80}
	crashed := false
	a, err := c.generate(0, callerKey, m, func(w text) {
		if w.tokens < 20 || crashed {
			return
		}
		crashed = true
		for _, e := range c.engines {
			if c.busy(e) {
				e.kill()
				return
			}
		}
	})
	must.NoError(t, err)
	must.Eq(t, expected(m), a.text)
	must.Eq(t, 2, len(c.engines)-c.dead())
}

// TestPoisonRequest sends a request that crashes each engine that runs it: it
// reaches at most two and gets its final answer, with when to come back.
func TestPoisonRequest(t *testing.T) {
	c := newCluster(t)
	for _, e := range c.engines {
		c.fault(e.address, []engine.Fault{{Kind: engine.FaultCrash, After: 3, Word: "poison", Down: 200}})
	}
	m := &callerv1.GenerateRequest{RequestId: "bad-1", Pool: string(pool), Prompt: "poison", MaxTokens: 30}
	_, err := c.generate(0, callerKey, m, nil)
	must.Eq(t, "Quarantine", reasonOf(err), must.Sprint(err))
	eventually(t, "the other daemons refuse it too", func() bool {
		_, err := c.generate(1, callerKey, m, nil)
		return reasonOf(err) == "Quarantine"
	})
	ran := 0
	for _, e := range c.engines {
		text, err := c.fetch(http.MethodGet, e.address, "/runs", nil)
		if err == nil && strings.Contains(text, "bad-1") {
			ran++
		}
	}
	must.LessEq(t, 2, ran)
	m = &callerv1.GenerateRequest{Pool: string(pool), Prompt: "innocent", MaxTokens: 10}
	eventually(t, "others are served", func() bool {
		a, err := c.generate(2, callerKey, m, nil)
		return err == nil && a.text == expected(m)
	})
}

// busy reports whether an engine runs something.
func (c *cluster) busy(e *server) bool {
	text, err := c.fetch(http.MethodGet, e.address, "/runs", nil)
	return err == nil && strings.Contains(text, "story-1")
}

// dead returns how many engines have ended.
func (c *cluster) dead() int {
	n := 0
	for _, e := range c.engines {
		select {
		case <-e.ended:
			n++
		default:
		}
	}
	return n
}

// TestDaemonKilledMidStream kills the daemon that carries an answer; its caller
// resumes through another one, each token once.
func TestDaemonKilledMidStream(t *testing.T) {
	c := newCluster(t, withSlowEngines(50))
	m := &callerv1.GenerateRequest{Pool: string(pool), Prompt: "a story", MaxTokens: 80}
	a, err := c.generate(0, callerKey, m, func(w text) {
		if w.tokens == 20 {
			c.daemons[0].kill()
		}
	})
	must.Error(t, err)
	must.GreaterEq(t, 20, a.tokens)
	must.StrHasPrefix(t, a.text, expected(m))
	m.Offset, m.Partial = a.tokens, a.text
	eventually(t, "the answer goes on", func() bool {
		w, err := c.generate(1, callerKey, m, nil)
		return err == nil && w.text == expected(m)
	})
}

// TestNoServerSeesAKey looks for the key in all bytes that the backend servers
// received.
func TestNoServerSeesAKey(t *testing.T) {
	c := newCluster(t)
	for i := range c.daemons {
		m := &callerv1.GenerateRequest{Pool: string(pool), Prompt: "hello", MaxTokens: 5}
		_, err := c.generate(i, callerKey, m, nil)
		must.NoError(t, err)
		for _, p := range []string{"/bookings/1?key=" + callerKey, "/bookings/2", "/hours"} {
			must.Eq(t, http.StatusOK, c.plain(i, callerKey, p, "", "body").status)
		}
	}
	for _, s := range append(c.engines, c.service) {
		received, err := c.fetch(http.MethodGet, s.address, "/received", nil)
		must.NoError(t, err)
		must.StrContains(t, received, "HTTP/1.1")
		must.StrNotContains(t, received, callerKey)
	}
}
