package intake

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const mib = 1 << 20

// client is a holder.
type client struct {
	isSlow  bool
	account *account
}

func (c *client) slow(time.Time) bool { return c.isSlow }

func (c *client) shed(Cause) { c.account.end() }

// take charges bytes to a new request.
func take(t *testing.T, b *Budget, bytes int64, slow bool) (*account, error) {
	c := &client{isSlow: slow}
	c.account = b.open(c)
	return c.account, (&charge{account: c.account}).grow(t.Context(), bytes, time.Second)
}

// TestBudget guards against large bodies that take the room of small ones, and against slow
// clients that keep theirs while others wait.
func TestBudget(t *testing.T) {
	for _, c := range []struct {
		name      string
		held      int64
		slow      bool
		bytes     int64
		wantError error
	}{
		{name: "fits", held: 8 * mib, bytes: 32 * mib, wantError: nil},
		{name: "second large one", held: 32 * mib, bytes: 32 * mib, wantError: ErrBusy},
		{name: "small one beside a large one", held: 40 * mib, bytes: mib, wantError: nil},
		{name: "large one in the reserved part", held: 32 * mib, bytes: 9 * mib, wantError: ErrBusy},
		{name: "slow one is shed", held: 40 * mib, slow: true, bytes: 32 * mib, wantError: nil},
		{name: "largest costs more than the budget", bytes: 96 * mib, wantError: nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBudget(50*mib, func() {})
				_, err := take(t, b, c.held, c.slow)
				must.NoError(t, err)
				a, err := take(t, b, c.bytes, false)
				must.ErrorIs(t, err, c.wantError)
				a.end()
			})
		})
	}
}

// TestResponsesWaitForRoom guards against responses that hold a part of their memory and wait
// for each other or for the body of their own request, and against lengths of responses that
// have no body.
func TestResponsesWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(40*mib, func() {})
		largest, err := take(t, b, 32*mib, false)
		must.NoError(t, err)
		var w sync.WaitGroup
		for n := range 20 {
			w.Go(func() {
				a := b.open(nil)
				defer a.end()
				ctx := context.WithValue(t.Context(), accountKey{}, a)
				length := []int64{3 * mib, -1, 3}[n%3]
				body := strings.Repeat("x", []int{3 * mib, 3, 0}[n%3])
				out, err := ReadResponse(ctx, strings.NewReader(body), length, 4*mib)
				test.NoError(t, err)
				test.Eq(t, body, string(out))
				time.Sleep(time.Second)
			})
		}
		w.Wait()
		largest.end()
		must.Zero(t, b.Used())
	})
}

// TestFailedResponsesGiveRoomBack guards against responses that never end keeping what they were
// charged while their requests are sent to other servers.
func TestFailedResponsesGiveRoomBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(40*mib, func() {})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var w sync.WaitGroup
		for n := range 300 {
			w.Go(func() {
				ctx, end := b.Begin(ctx)
				defer end()
				length := []int64{-1, 100 * mib}[n%2]
				_, err := ReadResponse(ctx, endless{}, length, 4*mib)
				test.ErrorIs(t, err, ErrTooLong)
				time.Sleep(time.Minute)
			})
		}
		synctest.Wait()
		must.Zero(t, b.Used())
		w.Wait()
	})
}

// TestWaitingResponsesLeaveRoomForSmallRequests guards against responses of unknown length that
// wait for room using up the part that is reserved for small requests.
func TestWaitingResponsesLeaveRoomForSmallRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(40*mib, func() {})
		largest, err := take(t, b, 30*mib, false)
		must.NoError(t, err)
		var w sync.WaitGroup
		for range 300 {
			w.Go(func() {
				ctx, end := b.Begin(t.Context())
				defer end()
				out, err := ReadResponse(ctx, strings.NewReader(strings.Repeat("x", 100<<10)), -1, 4*mib)
				test.NoError(t, err)
				test.Eq(t, 100<<10, len(out))
			})
		}
		synctest.Wait()
		small, err := take(t, b, mib/2, false)
		small.end()
		largest.end()
		w.Wait()
		must.NoError(t, err)
		must.Zero(t, b.Used())
	})
}

// endless is a body without end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestChargeWaitsForRoom guards against refusals while room becomes free, and against waiting
// after the caller is gone.
func TestChargeWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(50*mib, func() {})
		first, err := take(t, b, 40*mib, false)
		must.NoError(t, err)
		time.AfterFunc(time.Second/2, first.end)
		second, err := take(t, b, 40*mib, false)
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		must.ErrorIs(t, (&charge{account: b.open(nil)}).grow(ctx, 40*mib, time.Hour), context.DeadlineExceeded)
		second.end()
		must.ErrorIs(t, (&charge{account: second}).grow(t.Context(), mib, 0), errEnded)
	})
}

// TestLargeBuffersCountUntilTheyAreCollected guards against a heap that holds the garbage of
// one large body while the next one is read.
func TestLargeBuffersCountUntilTheyAreCollected(t *testing.T) {
	collected := 0
	b := newBudget(50*mib, func() { collected++ })
	for range 3 {
		a, err := take(t, b, 30*mib, false)
		must.NoError(t, err)
		a.end()
		must.Zero(t, b.Used())
	}
	must.Eq(t, 2, collected)
	release, ok := b.Reserve(30 * mib)
	must.True(t, ok)
	_, again := b.Reserve(30 * mib)
	must.False(t, again)
	release()
	must.Zero(t, b.Used())
}

// TestNothingIsShedDuringACollection guards against slow clients that are shed although the
// collection that another charge has begun makes room.
func TestNothingIsShedDuringACollection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(50*mib, func() { time.Sleep(rescanInterval / 2) })
		garbage, err := take(t, b, 30*mib, false)
		must.NoError(t, err)
		slow, err := take(t, b, 8*mib, true)
		must.NoError(t, err)
		garbage.end()
		var w sync.WaitGroup
		for _, bytes := range []int64{25 * mib, 3 * mib} {
			w.Go(func() {
				_, err := take(t, b, bytes, false)
				test.NoError(t, err)
			})
			synctest.Wait()
		}
		w.Wait()
		must.False(t, slow.ended)
	})
}

// TestBudgetIsGivenBack guards against bytes that stay charged after their requests have
// ended, in any order of charges and ends.
func TestBudgetIsGivenBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := newBudget(50*mib, func() {})
		var open []*account
		for range rapid.IntRange(1, 40).Draw(r, "Steps") {
			if len(open) > 0 && rapid.Bool().Draw(r, "End") {
				n := rapid.IntRange(0, len(open)-1).Draw(r, "Which")
				open[n].end()
				open = append(open[:n], open[n+1:]...)
				continue
			}
			a := b.open(nil)
			// A large charge begins with a small step.
			c := charge{account: a, large: rapid.Bool().Draw(r, "Large")}
			for _, bytes := range rapid.SliceOfN(rapid.Int64Range(1, 60*mib), 1, 4).Draw(r, "Bytes") {
				// A refused charge keeps what it has.
				_ = c.grow(context.Background(), bytes, 0)
			}
			open = append(open, a)
			must.LessEq(r, b.total, b.used)
			must.LessEq(r, b.large, b.largeUsed)
		}
		for _, a := range open {
			a.end()
		}
		must.Eq(r, b.garbage, b.used)
		must.Eq(r, b.largeGarbage, b.largeUsed)
		must.MapEmpty(r, b.holders)
	})
}
