package timeline

import (
	"bytes"
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func kindsOf(events []Event) []Kind {
	var k []Kind
	for _, e := range events {
		k = append(k, e.Kind)
	}
	return k
}

func TestLogKeepsNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New("a", "1", WithCapacity(2))
		must.Len(t, 0, l.Events(time.Time{}, 10))
		for _, k := range []Kind{Started, ViewConfirmed, StoreLost} {
			l.Record(Event{Kind: k, Process: "forged"})
			time.Sleep(time.Second)
		}
		must.Eq(t, []Kind{ViewConfirmed, StoreLost}, kindsOf(l.Events(time.Time{}, 10)))
		must.Eq(t, []Kind{StoreLost}, kindsOf(l.Events(time.Time{}, 1)))
		must.Eq(t, []Kind{StoreLost}, kindsOf(l.Events(time.Now().Add(-1500*time.Millisecond), 10)))
		must.Eq(t, "a", l.Events(time.Time{}, 1)[0].Process)
	})
}

func TestLogWritesLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		l := New("a", "1", WithOutput(&b))
		l.Record(Event{Kind: Started, Detail: "x"})
		l.Record(Event{Kind: ConfigInForce, Revision: 3})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		must.ErrorIs(t, l.Serve(ctx), context.Canceled)
		lines := strings.Split(strings.TrimSpace(b.String()), "\n")
		must.Len(t, 2, lines)
		e, err := Decode([]byte(lines[1]))
		must.NoError(t, err)
		must.Eq(t, fleet.ConfigRevision(3), e.Revision)
		must.StrContains(t, lines[1], `"Kind":"ConfigInForce"`)
	})
}

func TestRecordDoesNotBlock(t *testing.T) {
	l := New("a", "1", WithOutput(&bytes.Buffer{}))
	for range outputQueue + 5 {
		l.Record(Event{Kind: Started})
	}
	must.Eq(t, 5, l.Dropped())
}

func TestDecodeRejectsInvalidLines(t *testing.T) {
	for _, s := range []string{"", "x", "{}", "[]"} {
		_, err := Decode([]byte(s))
		must.ErrorIs(t, err, ErrInvalidLine)
	}
}

// TestMergePreservesCausality exchanges messages between processes with clock
// skew: events after the receipt of a message must be ordered after the events
// before it was sent.
func TestMergePreservesCausality(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "processes")
		skew := rapid.SliceOfN(rapid.Int64Range(-1e9, 1e9), n, n).Draw(t, "skew")
		clocks := make([]hybridClock, n)
		lists := make([][]Event, n)
		causes := make([]map[string]bool, n)
		before := make(map[string]map[string]bool)
		for i := range n {
			causes[i] = make(map[string]bool)
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "process")
			now := time.Unix(1000, int64(step)*1e6+skew[i])
			if rapid.Bool().Draw(t, "message") {
				j := rapid.IntRange(0, n-1).Draw(t, "to")
				clocks[j].observe(clocks[i].tick(now))
				for c := range causes[i] {
					causes[j][c] = true
				}
				continue
			}
			name := strconv.Itoa(step)
			before[name] = make(map[string]bool)
			for c := range causes[i] {
				before[name][c] = true
			}
			causes[i][name] = true
			lists[i] = append(lists[i], Event{Process: strconv.Itoa(i), Logical: clocks[i].tick(now), Kind: Started, Detail: name})
		}
		seen := make(map[string]bool)
		for _, e := range Merge(lists...) {
			for c := range before[e.Detail] {
				if !seen[c] {
					t.Fatalf("event %s is ordered before its cause %s", e.Detail, c)
				}
			}
			seen[e.Detail] = true
		}
		must.Eq(t, len(before), len(seen))
	})
}

func TestMergeRemovesDuplicates(t *testing.T) {
	l := New("a", "1")
	l.Record(Event{Kind: Started})
	e := l.Events(time.Time{}, 10)
	must.Len(t, 1, Merge(e, e))
}

func TestGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n wire.Memory
		addresses := []netip.AddrPort{
			netip.MustParseAddrPort("127.0.0.1:1"),
			netip.MustParseAddrPort("127.0.0.2:1"),
			netip.MustParseAddrPort("127.0.0.3:1"),
		}
		var logs []*Log
		var callers []wire.Caller
		for _, a := range addresses {
			l := New(a.String(), "1")
			var m wire.Mux
			l.Handle(&m)
			logs = append(logs, l)
			callers = append(callers, n.Attach(a, &m))
		}
		logs[1].Record(Event{Kind: Started})
		logs[0].Record(Event{Kind: ViewConfirmed})
		n.SetCut(addresses[0], addresses[2], wire.CutUnresponsive)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		events, unreachable := logs[0].Gather(ctx, callers[0], addresses[1:], time.Time{}, 0)
		must.Len(t, 2, events)
		must.Eq(t, addresses[2:], unreachable)
	})
}

// TestKindsIsComplete compares Kinds with the constants in the source.
func TestKindsIsComplete(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	must.NoError(t, err)
	var names []Kind
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if i, ok := v.Type.(*ast.Ident); ok && i.Name == "Kind" {
			names = append(names, Kind(v.Names[0].Name))
		}
		return true
	})
	must.Positive(t, len(names))
	must.Eq(t, names, Kinds())
	must.True(t, slices.IsSorted(Kinds()))
}
