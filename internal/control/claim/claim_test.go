package claim_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/claim"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	"github.com/lacewingtally/lacewingtally/internal/standin/recorded"
)

// now is the time passed to Apply in tests that do not depend on time.
var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// row is the only row in the model's table.
type row struct {
	version uint64
	record  claim.Record
}

// call is one call of the request, at one daemon.
type call struct {
	claim  claim.Claim
	action claim.Action
	// sent and ran report whether the request was sent and ran; refused is the
	// refusal that the caller received.
	sent, ran bool
	refused   error
	// dead is whether the daemon of the call has crashed.
	dead bool
}

// model drives the claims of many calls of one request over one row, whose
// writes or their responses may be lost or delayed.
type model struct {
	row     row
	version uint64
	// late contains inserts that reach the table later.
	late  []claim.Record
	calls []*call
	runs  int
}

func (m *model) insert(r claim.Record) bool {
	if m.row.version != 0 {
		return false
	}
	m.version++
	m.row = row{version: m.version, record: r}
	return true
}

func (m *model) event(k claim.EventKind) claim.Event {
	return claim.Event{Kind: k, Record: m.row.record, Version: m.row.version}
}

// step executes the pending action of a call, with a random fault.
func (m *model) step(t *rapid.T, c *call) {
	fault := rapid.SampledFrom([]string{"", "", "AnswerLost", "RequestLost", "Late", "Down", "Dies"}).Draw(t, "fault")
	if fault == "Dies" {
		c.dead = true
		return
	}
	switch c.action.Kind {
	case claim.Insert:
		c.action = c.claim.Apply(now, m.insertEvent(claim.Record{Token: c.claim.Token, Fingerprint: 1}, fault))
	case claim.Read:
		e := m.event(claim.EventRead)
		if fault != "" {
			e = claim.Event{Kind: claim.EventUnavailable}
		}
		c.action = c.claim.Apply(now, e)
	case claim.Send:
		m.send(t, c)
	case claim.Keep:
		if fault != "Down" && fault != "RequestLost" && m.row.record.Token == c.claim.Token && m.row.version != 0 {
			m.version++
			m.row.version = m.version
			m.row.record.Answer = &claim.Answer{Status: 200}
		}
		c.action = claim.Action{Kind: claim.None}
	case claim.Release:
		if fault != "Down" && fault != "RequestLost" && m.row.record.Token == c.claim.Token {
			m.row = row{}
		}
		c.action = claim.Action{Kind: claim.None}
	case claim.Refuse:
		c.refused = c.action.Refusal
		c.action = claim.Action{Kind: claim.None}
	case claim.Replay:
		if m.runs != 1 {
			t.Fatalf("answer replayed after %d runs, want 1", m.runs)
		}
		c.action = claim.Action{Kind: claim.None}
	}
}

func (m *model) insertEvent(r claim.Record, fault string) claim.Event {
	switch fault {
	case "Down":
		return claim.Event{Kind: claim.EventUnavailable}
	case "RequestLost":
		return claim.Event{Kind: claim.EventUnknown}
	case "Late":
		m.late = append(m.late, r)
		return claim.Event{Kind: claim.EventUnknown}
	}
	ok := m.insert(r)
	switch {
	case fault == "AnswerLost":
		return claim.Event{Kind: claim.EventUnknown}
	case ok:
		return m.event(claim.EventInserted)
	default:
		return m.event(claim.EventConflict)
	}
}

// send sends the request and ends it with a random outcome.
func (m *model) send(t *rapid.T, c *call) {
	if c.sent {
		t.Fatal("one call sent the request twice")
	}
	c.sent = true
	end := rapid.SampledFrom([]claim.EventKind{
		claim.EventAnswered, claim.EventLost, claim.EventNotRun,
	}).Draw(t, "end")
	if end != claim.EventNotRun {
		c.ran = true
		m.runs++
	}
	c.action = c.claim.Apply(now, claim.Event{Kind: end})
}

// check verifies the invariants that hold after each step.
func (m *model) check(t *rapid.T) {
	if m.runs > 1 {
		t.Fatalf("the request ran %d times", m.runs)
	}
	for _, c := range m.calls {
		if c.ran && errors.Is(c.refused, refusal.ErrNotRun) {
			t.Fatal("a call that ran was refused as not run")
		}
	}
}

// TestClaimModel checks with random calls and faults that a request never runs
// twice and that a call which ran is never refused as not run.
func TestClaimModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				if len(m.calls) >= 8 {
					return
				}
				c := &call{claim: claim.Claim{Fingerprint: 1, Token: fmt.Sprint(len(m.calls))}}
				c.action = c.claim.Apply(now, claim.Event{Kind: claim.EventBegin})
				m.calls = append(m.calls, c)
			},
			"late": func(t *rapid.T) {
				if len(m.late) == 0 {
					return
				}
				m.insert(m.late[0])
				m.late = m.late[1:]
			},
			"step": func(t *rapid.T) {
				live := slices.DeleteFunc(slices.Clone(m.calls), func(c *call) bool {
					return c.dead || c.action.Kind == claim.None
				})
				if len(live) == 0 {
					return
				}
				m.step(t, rapid.SampledFrom(live).Draw(t, "call"))
			},
			"": m.check,
		})
	})
}

// trace is a recorded claim: events with the expected actions.
type trace struct {
	Name  string `yaml:"Name"`
	Steps []struct {
		Event       claim.EventKind  `yaml:"Event"`
		Token       string           `yaml:"Token"`
		Fingerprint uint64           `yaml:"Fingerprint"`
		Version     uint64           `yaml:"Version"`
		Answered    bool             `yaml:"Answered"`
		Want        claim.ActionKind `yaml:"Want"`
		Refusal     string           `yaml:"Refusal"`
	} `yaml:"Steps"`
}

func TestTraces(t *testing.T) {
	recorded.Each(t, func(t *testing.T, traces []trace) {
		must.SliceNotEmpty(t, traces)
		for _, x := range traces {
			t.Run(x.Name, func(t *testing.T) { replay(t, x) })
		}
	})
}

func replay(t *testing.T, x trace) {
	c := claim.Claim{Fingerprint: 1, Token: "own"}
	for n, s := range x.Steps {
		e := claim.Event{Kind: s.Event, Version: s.Version}
		e.Record = claim.Record{Token: s.Token, Fingerprint: s.Fingerprint}
		if s.Answered {
			e.Record.Answer = &claim.Answer{Status: 200}
		}
		a := c.Apply(now, e)
		must.EqOp(t, s.Want, a.Kind, must.Sprintf("step %d", n))
		if s.Refusal == "" {
			must.Nil(t, a.Refusal)
			continue
		}
		must.EqOp(t, s.Refusal, a.Refusal.Error(), must.Sprintf("step %d", n))
	}
}

// countingTable counts the transactions of a table and delays each of them.
type countingTable struct {
	table.Memory
	commits int
	delay   time.Duration
}

func (c *countingTable) Commit(ctx context.Context, t table.Txn) error {
	c.commits++
	time.Sleep(c.delay)
	return c.Memory.Commit(ctx, t)
}

// TestStoreGroupsCommits makes 100 claims concurrently, ten of them of one
// request, and checks that they take fewer than 20 transactions.
func TestStoreGroupsCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		tab := &countingTable{delay: 10 * time.Millisecond}
		s := claim.NewStore(tab)
		go func() { _ = s.Serve(ctx) }()
		results := make(chan error, 100)
		for n := range 100 {
			go func() {
				id := fmt.Sprintf("id-%d", max(n-9, 0))
				h, _, err := s.Begin(ctx, "bakers", fleet.RequestID(id), 1)
				if h != nil {
					h.Lose()
				}
				results <- err
			}()
		}
		held, refused := 0, 0
		for range 100 {
			if err := <-results; err == nil {
				held++
			} else {
				must.ErrorIs(t, err, refusal.ErrMayHaveRun)
				refused++
			}
		}
		must.EqOp(t, 91, held)
		must.EqOp(t, 9, refused)
		must.Less(t, 20, tab.commits)
		cancel()
		synctest.Wait()
		_, _, err := s.Begin(context.Background(), "bakers", "another", 1)
		must.ErrorIs(t, err, refusal.ErrNotRun)
	})
}

// TestStoreDeletesExpiredClaims makes more claims than fit in a page, waits until
// their retention has ended, and checks that only the newer claim is left.
func TestStoreDeletesExpiredClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var tab table.Memory
		s := claim.NewStore(&tab)
		go func() { _ = s.Serve(ctx) }()
		begin := func(id string) error {
			h, _, err := s.Begin(ctx, "bakers", fleet.RequestID(id), 1)
			if h != nil {
				h.Lose()
			}
			return err
		}
		for n := range 120 {
			must.NoError(t, begin(fmt.Sprint("old-", n)))
		}
		time.Sleep(claim.Retention - time.Hour)
		must.NoError(t, begin("young"))
		must.ErrorIs(t, begin("old-7"), refusal.ErrMayHaveRun)
		time.Sleep(time.Hour + 10*time.Minute)
		rows, err := tab.Scan(ctx, claim.Prefix, "", 10)
		must.NoError(t, err)
		must.SliceLen(t, 1, rows)
		must.ErrorIs(t, begin("young"), refusal.ErrMayHaveRun)
		cancel()
		synctest.Wait()
	})
}
