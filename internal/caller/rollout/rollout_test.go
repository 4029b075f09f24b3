package rollout_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/caller/rollout"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/fake"
	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
)

type nopRecorder struct{}

func (nopRecorder) Record(timeline.Event) {}

// generator generates one token every 100 ms.
type generator struct {
	mutex   sync.Mutex
	version fleet.WeightVersion
	// burst is the number of tokens in a chunk; 0 means 1.
	burst int
	// started counts the generations, tokens the tokens that they generated.
	started int
	tokens  int
	// swapAt is the token of a sample from which the weight version is 2.
	swapAt int
	// unversioned is how many of the next chunks have no version.
	unversioned int
	// cutAt is the token at which the first attempt at each sample fails.
	cutAt int
	// crashing is how many of the next generations are given up because their servers
	// crashed.
	crashing int
}

func (g *generator) Generate(ctx context.Context, r gate.Generation, emit func(engine.Chunk) error) error {
	g.mutex.Lock()
	g.started++
	crashed := g.crashing > 0
	if crashed {
		g.crashing--
	}
	g.mutex.Unlock()
	if crashed {
		return refusal.GaveUp(refusal.ReasonQuarantine, time.Now().Add(time.Second), nil)
	}
	n := max(1, g.burst)
	for i := r.Offset; i < r.MaxTokens; i += n {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(n) * 100 * time.Millisecond):
		}
		g.mutex.Lock()
		v := g.version
		g.tokens += n
		if g.swapAt > 0 && i >= g.swapAt {
			v = 2
		}
		if g.unversioned > 0 {
			g.unversioned--
			v = 0
		}
		g.mutex.Unlock()
		if g.cutAt > 0 && r.Offset == 0 && i == g.cutAt {
			return refusal.MayHaveRun(refusal.ReasonServer, time.Now().Add(time.Second), nil)
		}
		if err := emit(engine.Chunk{Offset: i, Text: strings.Repeat("x", n), Tokens: n, Version: v, End: i+n == r.MaxTokens}); err != nil {
			return err
		}
	}
	return nil
}

// counts returns the numbers of generations started and tokens generated.
func (g *generator) counts() (started, tokens int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.started, g.tokens
}

// setView sets a view that stays confirmed, with the given members and keys.
func setView(m *view.Memory, members []fleet.Member, keys ...config.Key) {
	m.Change(func(s *view.State) {
		s.Config = config.NewSnapshot(config.Config{
			Keys: keys, Pools: []config.Pool{{Name: "p", Protocol: config.ProtocolEngine}},
		})
		s.ConfirmedUntil = time.Now().Add(24 * time.Hour)
		s.Members = members
	})
}

type daemon struct {
	*rollout.Service
	stop func()
}

// testFleet is several daemons that share one platform.
type testFleet struct {
	table     table.Memory
	objects   object.Memory
	weights   weights.Memory
	view      view.Memory
	generator generator
	members   []fleet.Member
	fault     atomic.Pointer[func(bool, []table.Key) table.Fault]
}

func newFleet(t *testing.T) *testFleet {
	f := &testFleet{}
	f.table.Fault = func(commit bool, keys []table.Key) table.Fault {
		if decide := f.fault.Load(); decide != nil {
			return (*decide)(commit, keys)
		}
		return 0
	}
	must.NoError(t, f.weights.Publish(t.Context(), weights.Weights{Pool: "p", Version: 1}))
	f.generator.version = 1
	return f
}

// testKeyHash is the hash of the granted key.
var testKeyHash = config.HashKey("k")

// addMember adds a daemon to the view.
func (f *testFleet) addMember(n int) fleet.Member {
	m := fleet.Member{ID: fleet.MemberID{
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n)), Incarnation: fleet.Incarnation(fmt.Sprint(n)),
	}}
	f.members = append(f.members, m)
	setView(&f.view, f.members, config.Key{Hash: testKeyHash, Workspace: "w"})
	return m
}

func (f *testFleet) startDaemon(t *testing.T, n int) daemon {
	m := f.addMember(n)
	ctx, cancel := context.WithCancel(t.Context())
	return run(ctx, cancel, rollout.Dependencies{
		Events: nopRecorder{}, Generator: &f.generator, Self: m.ID, View: &f.view, Weights: &f.weights,
		Ledger: batch.NewLedger(&f.table, &f.objects, m.ID.Incarnation),
	})
}

// run starts a daemon that runs until the context ends. Its stop function ends
// it and waits for it.
func run(ctx context.Context, cancel context.CancelFunc, d rollout.Dependencies) daemon {
	done := make(chan struct{})
	r := rollout.NewRunner(d)
	go func() {
		defer close(done)
		_ = r.Serve(ctx)
	}()
	return daemon{Service: rollout.NewService(d), stop: func() {
		cancel()
		<-done
	}}
}

func request[T any](m *T, key string) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+key)
	return r
}

func submit(t *testing.T, d daemon, key string, n int) error {
	m := &callerv1.SubmitGroupsRequest{Trainer: "t", Pool: "p", WeightVersion: 1}
	for i := range n {
		m.Groups = append(m.Groups, &callerv1.Group{GroupId: fmt.Sprint(i), Prompt: "q", Samples: 3, MaxTokens: 20})
	}
	_, err := d.SubmitGroups(t.Context(), request(m, key))
	return err
}

func fetch(t *testing.T, d daemon, cursor uint64) (*callerv1.FetchBatchResponse, error) {
	r, err := d.FetchBatch(t.Context(), request(&callerv1.FetchBatchRequest{
		Trainer: "t", Cursor: cursor, Groups: 2, WeightVersion: 1,
	}, "k"))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

func TestBatchesAreFetchedThroughAnyDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b := f.startDaemon(t, 1), f.startDaemon(t, 2)
		defer a.stop()
		defer b.stop()
		must.NoError(t, submit(t, a, "k", 4))
		first, err := fetch(t, b, 1)
		must.NoError(t, err)
		must.Len(t, 6, first.GetSamples())
		for _, s := range first.GetSamples() {
			must.Eq(t, 20, len(s.GetText()))
			must.Len(t, 1, s.GetSegments())
			must.Eq(t, uint64(1), s.GetSegments()[0].GetWeightVersion())
		}
		second, err := fetch(t, a, 2)
		must.NoError(t, err)
		must.Len(t, 6, second.GetSamples())
		started, _ := f.generator.counts()
		must.Eq(t, 12, started)
	})
}

func TestAnotherDaemonTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b := f.startDaemon(t, 1), f.startDaemon(t, 2)
		defer b.stop()
		must.NoError(t, submit(t, b, "k", 4))
		time.Sleep(2 * time.Second)
		a.stop()
		got, err := fetch(t, b, 1)
		must.NoError(t, err)
		must.Len(t, 6, got.GetSamples())
	})
}

func TestKeyIsRequiredAndWithdrawalStopsGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a := f.startDaemon(t, 1)
		defer a.stop()
		must.Eq(t, connect.CodeUnauthenticated, connect.CodeOf(submit(t, a, "other", 1)))
		must.NoError(t, submit(t, a, "k", 4))
		time.Sleep(2 * time.Second)
		setView(&f.view, f.members)
		time.Sleep(300 * time.Millisecond)
		started, tokens := f.generator.counts()
		must.Less(t, 12*20, tokens)
		_, err := fetch(t, a, 1)
		must.Eq(t, connect.CodeUnauthenticated, connect.CodeOf(err))
		time.Sleep(time.Minute)
		startedLater, tokensLater := f.generator.counts()
		must.Eq(t, started, startedLater)
		must.Eq(t, tokens, tokensLater)
		setView(&f.view, f.members, config.Key{Hash: config.HashKey("k"), Workspace: "w"})
		got, err := fetch(t, a, 1)
		must.NoError(t, err)
		must.Len(t, 6, got.GetSamples())
	})
}

// TestGroupIsAbandonedAfterServerCrashes lets servers crash under samples in a burst. All
// groups are still owed, so that both batches must be formed.
func TestGroupIsAbandonedAfterServerCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.generator.crashing = 5
		d := f.startDaemon(t, 1)
		defer d.stop()
		must.NoError(t, submit(t, d, "k", 4))
		for cursor := range uint64(2) {
			got, err := fetch(t, d, cursor+1)
			must.NoError(t, err)
			must.Len(t, 6, got.GetSamples())
		}
	})
}

func TestWeightSwapDuringGenerationSplitsSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.generator.swapAt, f.generator.cutAt = 12, 5
		must.NoError(t, f.weights.Publish(t.Context(), weights.Weights{Pool: "p", Version: 2}))
		a := f.startDaemon(t, 1)
		defer a.stop()
		must.NoError(t, submit(t, a, "k", 2))
		got, err := fetch(t, a, 1)
		must.NoError(t, err)
		for _, s := range got.GetSamples() {
			must.Len(t, 2, s.GetSegments())
			must.Eq(t, uint64(1), s.GetSegments()[0].GetWeightVersion())
			must.Eq(t, uint32(12), s.GetSegments()[0].GetTokens())
			must.Eq(t, uint64(2), s.GetSegments()[1].GetWeightVersion())
			must.Eq(t, uint32(8), s.GetSegments()[1].GetTokens())
		}
	})
}

func TestUnversionedAndUnpublishedTokensAreNotDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.generator.unversioned = 4
		// The engines serve a version that is not in the weight store.
		f.generator.version = 2
		a := f.startDaemon(t, 1)
		defer a.stop()
		must.NoError(t, submit(t, a, "k", 2))
		_, err := fetch(t, a, 1)
		must.Eq(t, connect.CodeDeadlineExceeded, connect.CodeOf(err))
		must.NoError(t, f.weights.Publish(t.Context(), weights.Weights{Pool: "p", Version: 2}))
		got, err := fetch(t, a, 1)
		must.NoError(t, err)
		must.Len(t, 6, got.GetSamples())
		for _, s := range got.GetSamples() {
			must.Eq(t, 20, len(s.GetText()))
		}
	})
}

func TestTrainerContinuesWithoutWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.weights.Faults.Set(fake.Unavailable)
		a := f.startDaemon(t, 1)
		defer a.stop()
		must.NoError(t, submit(t, a, "k", 2))
		got, err := fetch(t, a, 1)
		must.NoError(t, err)
		must.Len(t, 6, got.GetSamples())
	})
}

func TestStoreOutageFailsFastAndLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a := f.startDaemon(t, 1)
		defer a.stop()
		must.NoError(t, submit(t, a, "k", 2))
		time.Sleep(1500 * time.Millisecond)
		down := func(bool, []table.Key) table.Fault { return table.FaultUnavailable }
		f.fault.Store(&down)
		began := time.Now()
		_, err := fetch(t, a, 1)
		must.Eq(t, connect.CodeUnavailable, connect.CodeOf(err))
		must.Eq(t, 0, time.Since(began))
		time.Sleep(time.Minute)
		f.fault.Store(nil)
		got, err := fetch(t, a, 1)
		must.NoError(t, err)
		must.Len(t, 6, got.GetSamples())
		// Samples generated before and during the outage are not generated again.
		started, _ := f.generator.counts()
		must.Eq(t, 6, started)
	})
}
