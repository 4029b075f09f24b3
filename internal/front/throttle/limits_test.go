package throttle

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/control/ratelimit"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

var limited = backend.Server{ID: "a"}

// newLimits returns Limits of the daemon "self" whose fleet is empty.
func newLimits() *Limits {
	return NewLimits(fleet.New(&store.Memory{}, fleet.Codec{}, zap.NewNop()), "self", zap.NewNop())
}

// name lets a server name a rate in the response to a request sent at sentAt.
func name(l *Limits, rate float64, sentAt time.Time) {
	l.RecordLimit(limited, option.Some(rate), sentAt)
}

// TestLimitEndsWithALaterRequest has a server answer without a rate to a request that
// was sent before it last named one, and then to one sent afterwards.
func TestLimitEndsWithALaterRequest(t *testing.T) {
	l := newLimits()
	start := time.Now()
	time.Sleep(time.Millisecond)
	name(l, 2, start)
	must.True(t, l.Limited(limited))
	l.RecordLimit(limited, option.Option[float64]{}, start)
	must.True(t, l.Limited(limited))
	time.Sleep(time.Millisecond)
	l.RecordLimit(limited, option.Option[float64]{}, time.Now())
	must.False(t, l.Limited(limited))
	must.Eq(t, 100, l.Free(limited, 100))
}

// TestLimitEndsWithRestart names a rate before a server starts again under its ID.
func TestLimitEndsWithRestart(t *testing.T) {
	l := newLimits()
	name(l, 2, time.Now())
	restarted := limited
	restarted.StartedAt = time.Now()
	must.False(t, l.Limited(restarted))
}

// TestReportedLimitIsObeyed learns of a limit from another daemon's heartbeat, and of its
// end from an own response.
func TestReportedLimitIsObeyed(t *testing.T) {
	l := newLimits()
	reported := &reports{members: l.fleet.Members(), latest: map[string]observation{
		limited.Incarnation(): {rate: option.Some(1.0), at: time.Now().Add(-time.Second)},
	}}
	l.lastReports = reported
	must.True(t, l.Limited(limited))
	var m fleet.Member
	l.Report(&m)
	must.MapEmpty(t, m.Rates, must.Sprint("a daemon reports only what servers answered to itself"))
	l.RecordLimit(limited, option.Option[float64]{}, time.Now())
	must.False(t, l.Limited(limited))
	l.Report(&m)
	must.True(t, m.Rates[limited.Incarnation()].Ended)
}

// TestReportedEndIsObeyed lets another daemon report that a server no longer limits its
// rate: this one might not send it a request for minutes.
func TestReportedEndIsObeyed(t *testing.T) {
	l := newLimits()
	name(l, 1, time.Now())
	time.Sleep(time.Millisecond)
	l.lastReports = &reports{members: l.fleet.Members(), latest: map[string]observation{
		limited.Incarnation(): observationOf(fleet.ServerRate{Ended: true, At: time.Now()}),
	}}
	must.False(t, l.Limited(limited))
	must.Eq(t, 7, l.Free(limited, 7))
	time.Sleep(time.Millisecond)
	name(l, 1, time.Now())
	must.True(t, l.Limited(limited))
}

// TestNewLimitIsDividedByServiceDemand lets a server name its first limit while few of many
// daemons send requests to its service: they must have most of the rate from the start, until
// their demands at the server itself are known.
func TestNewLimitIsDividedByServiceDemand(t *testing.T) {
	const epoch, daemons, senders = 10, 80, 8
	list := &fleet.Members{}
	for n := range daemons {
		m := fleet.Member{ID: fmt.Sprintf("%03d", n)}
		if n%(daemons/senders) == 0 {
			m.ServiceDemands = map[string]ratelimit.Demand{"s": {Epoch: epoch, Levels: [4]float64{9, 9}}}
		}
		list.List = append(list.List, m)
	}
	r := &reports{members: list, self: 10, shares: make(map[shareKey]ratelimit.Share)}
	width := func(e ratelimit.Epoch) float64 {
		s := r.shareAt("a", "s")(e)
		return s.To - s.From
	}
	must.Greater(t, 0.1, width(epoch))
	// Another daemon alone has a demand at the server itself.
	list.List[3].Demands = map[string]ratelimit.Demand{"a": {Epoch: epoch, Levels: [4]float64{5}}}
	must.Greater(t, 0.1, width(epoch))
	must.Less(t, 0.1, width(epoch+1))
}

// TestZeroRateIsTried names a rate of 0: the end of the limit must be noticed.
func TestZeroRateIsTried(t *testing.T) {
	l := newLimits()
	name(l, 0, time.Now())
	sent := 0
	for range 100 {
		if l.Admit(t.Context(), limited, time.Time{}) == nil {
			sent++
		}
	}
	must.Between(t, 0, sent, 2)
	must.Greater(t, 0, int(l.Delay(limited)))
}

// TestLiveRequestsGoFirst lets live requests and others compete for the slots of a
// server: new slots are kept for live requests, and those that these leave are used.
func TestLiveRequestsGoFirst(t *testing.T) {
	l := newLimits()
	name(l, 5, time.Now())
	must.NoError(t, l.Admit(t.Context(), limited, time.Now().Add(time.Second)))
	for l.Admit(t.Context(), limited, time.Now()) == nil {
		continue
	}
	// The next slot comes within 200 ms; it is kept for live requests for 525 ms.
	must.True(t, eventually(func() bool { return l.Delay(limited) == 0 }))
	must.Eq(t, 0, l.Free(limited, 1))
	must.ErrorIs(t, l.Admit(t.Context(), limited, time.Time{}), backend.ErrLimited)
	must.ErrorIs(t, backend.ErrLimited, backend.ErrNotSent)
	must.NoError(t, l.Admit(t.Context(), limited, time.Now()))
	must.True(t, eventually(func() bool { return l.Admit(t.Context(), limited, time.Time{}) == nil }))
}

// eventually polls until a condition holds, for two seconds at most.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// TestWaitEndsWithTheCaller cancels a request that waits for a slot.
func TestWaitEndsWithTheCaller(t *testing.T) {
	l := newLimits()
	name(l, 0.5, time.Now())
	for l.Admit(t.Context(), limited, time.Now()) == nil {
		continue
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	start := time.Now()
	must.ErrorIs(t, l.Admit(ctx, limited, time.Now().Add(time.Minute)), context.DeadlineExceeded)
	must.Less(t, time.Second, time.Since(start))
}

// TestExemptionsAreFew sends orders and queries to a server without slots.
func TestExemptionsAreFew(t *testing.T) {
	l := newLimits()
	name(l, 0.3, time.Now())
	sent := 0
	for range 20 {
		if l.AdmitExempt(limited) {
			sent++
		}
	}
	must.Between(t, 2, sent, 4)
}

func TestDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d demand
		must.Eq(t, 0.0, d.at(time.Now()))
		for range 4 {
			d.sent(time.Now())
		}
		d.want(time.Now(), 3)
		d.want(time.Now(), 1)
		must.Eq(t, 7.0, d.at(time.Now()))
		// Fewer requests wait for a while: the larger number is forgotten.
		for range 8 {
			time.Sleep(wantSpan / 4)
			d.want(time.Now(), 1)
		}
		must.Less(t, 4, d.at(time.Now()))
		time.Sleep(wantSpan)
		must.Between(t, 0.5, d.at(time.Now()), 2)
		time.Sleep(10 * demandSpan)
		must.Less(t, 0.01, d.at(time.Now()))
	})
}

// TestDemandOutlivesItsLimit ends a limit: what the daemon has reported, on which the shares
// of others depend, must not be gone if the server names a limit again soon.
func TestDemandOutlivesItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimits()
		var m fleet.Member
		l.RecordLimit(limited, option.Some(2.0), time.Now())
		must.LessEq(t, 1, l.Free(limited, 1))
		l.Report(&m)
		must.MapContainsKey(t, m.Demands, limited.Incarnation())
		time.Sleep(time.Second)
		l.RecordLimit(limited, option.Option[float64]{}, time.Now())
		l.Report(&m)
		must.MapContainsKey(t, m.Demands, limited.Incarnation())
		time.Sleep(time.Minute)
		l.Report(&m)
		must.MapEmpty(t, m.Demands)
	})
}
