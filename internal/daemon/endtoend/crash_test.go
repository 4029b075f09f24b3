package endtoend

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/standin/engine"
)

// TestEngineCrash kills an engine in the middle of an answer. The answer must
// continue on another engine, without repeated or missing tokens.
func TestEngineCrash(t *testing.T) {
	c := newCluster(t, withSlowEngines(50))
	m := &callerv1.GenerateRequest{RequestId: "story-1", Pool: string(pool), Prompt: "a story", MaxTokens: 80}
	crashed := false
	a, err := c.generate(0, callerKey, m, func(w generation) {
		if w.tokens < 20 || crashed {
			return
		}
		crashed = true
		for _, e := range c.engines {
			if c.hasRunStory(e) {
				e.kill()
				return
			}
		}
	})
	must.NoError(t, err)
	must.Eq(t, expected(m), a.text)
	must.Eq(t, 2, len(c.engines)-c.endedEngines())
}

// TestPoisonRequest sends a request that crashes each engine that runs it. It
// must reach at most two engines and then be refused, while other requests are
// still served.
func TestPoisonRequest(t *testing.T) {
	c := newCluster(t)
	for _, e := range c.engines {
		c.fault(e.address, []engine.Fault{{Kind: engine.FaultCrash, After: 3, Word: "poison", Down: 200}})
	}
	m := &callerv1.GenerateRequest{RequestId: "bad-1", Pool: string(pool), Prompt: "poison", MaxTokens: 30}
	_, err := c.generate(0, callerKey, m, nil)
	must.Eq(t, "Quarantine", reasonOf(err), must.Sprint(err))
	eventually(t, "another daemon refuses it too", func() bool {
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

// hasRunStory reports whether an engine has started the request story-1.
func (c *cluster) hasRunStory(e *server) bool {
	text, err := c.fetch(http.MethodGet, e.address, "/runs", nil)
	return err == nil && strings.Contains(text, "story-1")
}

// endedEngines returns how many engine processes have ended.
func (c *cluster) endedEngines() int {
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

// TestDaemonKilledMidStream kills the daemon that streams an answer. The caller
// must be able to resume it through another daemon, without repeated or missing
// tokens.
func TestDaemonKilledMidStream(t *testing.T) {
	c := newCluster(t, withSlowEngines(50))
	m := &callerv1.GenerateRequest{Pool: string(pool), Prompt: "a story", MaxTokens: 80}
	a, err := c.generate(0, callerKey, m, func(w generation) {
		if w.tokens == 20 {
			c.daemons[0].kill()
		}
	})
	must.Error(t, err)
	must.GreaterEq(t, 20, a.tokens)
	must.StrHasPrefix(t, a.text, expected(m))
	m.Offset, m.Partial = a.tokens, a.text
	eventually(t, "the answer is completed", func() bool {
		w, err := c.generate(1, callerKey, m, nil)
		return err == nil && w.text == expected(m)
	})
}

// TestServersNeverReceiveKeys searches all bytes that the backend servers
// received for the caller's key.
func TestServersNeverReceiveKeys(t *testing.T) {
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
