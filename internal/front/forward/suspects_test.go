package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

// popular is a request that many callers send.
const popular = quarantine.Fingerprint(7)

var crashedAt = time.Unix(1000, 0)

func (s *suspects) count(now time.Time) int {
	total := 0
	counts, _ := s.active(now)
	for _, n := range counts[uint64(popular)] {
		total += n
	}
	return total
}

// TestOneCrashCountsOnce has a server fail while it runs many requests of the same
// content, and fail again later: that is two failures.
func TestOneCrashCountsOnce(t *testing.T) {
	var s suspects
	for n := range 20 {
		now := crashedAt.Add(time.Duration(n) * time.Millisecond)
		s.add(popular, 1, crashedAt.Add(-time.Duration(n)*time.Second), now, false)
	}
	must.Eq(t, 1, s.count(crashedAt.Add(time.Second)))
	again := crashedAt.Add(time.Second)
	s.add(popular, 1, again, again.Add(time.Millisecond), false)
	must.Eq(t, 2, s.count(again.Add(time.Second)))
	s.add(popular, 2, again, again.Add(time.Millisecond), false)
	must.Eq(t, 3, s.count(again.Add(time.Second)))
	must.Eq(t, 0, s.count(again.Add(2*suspectRetention)))
}

// TestAnsweredRequestIsHarmless has servers fail for another reason while they run a
// popular request, which is answered before, between and after the failures.
func TestAnsweredRequestIsHarmless(t *testing.T) {
	var s suspects
	for server := range uint64(5) {
		s.add(popular, server, crashedAt, crashedAt.Add(time.Millisecond), false)
	}
	now := crashedAt.Add(time.Second)
	must.False(t, s.harmless(popular))
	s.clear(popular)
	must.True(t, s.harmless(popular))
	must.Eq(t, 0, s.count(now))
	for server := range uint64(5) {
		s.add(popular, server, now, now.Add(time.Millisecond), false)
	}
	must.Eq(t, 0, s.count(now), must.Sprint("other daemons must not count them either"))
	// The memory of answers is bounded.
	for n := range maxAnswered {
		s.clear(popular + 1 + quarantine.Fingerprint(n))
	}
	must.False(t, s.harmless(popular))
}

// TestBrokenConnectionIsNoCrash breaks connections of a server that goes on answering,
// and of one that does not.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	var s suspects
	for n := range 9 {
		begunAt := crashedAt.Add(time.Duration(n) * time.Second)
		s.add(popular, 1, begunAt, begunAt.Add(time.Millisecond), false)
		s.add(popular, 2, begunAt, begunAt.Add(time.Millisecond), false)
	}
	// An attempt that began before the last failure proves nothing.
	s.alive(1, crashedAt.Add(8*time.Second))
	must.Eq(t, 18, s.count(crashedAt.Add(10*time.Second)))
	s.alive(1, crashedAt.Add(9*time.Second))
	must.Eq(t, 9, s.count(crashedAt.Add(10*time.Second)))
	s.alive(2, crashedAt.Add(9*time.Second))
	must.MapLen(t, 0, s.failures)
}

// TestFailureSeenByManyDaemonsCountsOnce adds up the heartbeats of daemons that all had
// the request on the same server when it failed.
func TestFailureSeenByManyDaemonsCountsOnce(t *testing.T) {
	seen := func(s fleet.SuspectServers) quarantine.Failures { return quarantine.Failures{Unanswered: s} }
	got := seen(fleet.SuspectServers{1: 1}).Merge(seen(fleet.SuspectServers{1: 1, 2: 1})).Merge(seen(fleet.SuspectServers{1: 1, 2: 2}))
	must.Eq(t, seen(map[uint64]int{1: 1, 2: 2}), got)
}

// TestEndedServerStaysCounted has a server that no longer listened answer again under its old
// row: only a partition of this daemon shows that it had not ended.
func TestEndedServerStaysCounted(t *testing.T) {
	var s suspects
	s.add(popular, 1, crashedAt, crashedAt, false)
	s.confirm(popular, 1)
	s.alive(1, crashedAt.Add(time.Second))
	must.Eq(t, 1, s.count(crashedAt.Add(time.Second)))
	s.doubtSince(crashedAt)
	must.MapEmpty(t, s.failures)
}

// TestManySuspectsDoNotHideOne has more requests lose one server than are counted, before and
// after one loses three.
func TestManySuspectsDoNotHideOne(t *testing.T) {
	var s suspects
	for n := range uint64(3 * maxSuspects) {
		now := crashedAt.Add(time.Duration(n) * time.Millisecond)
		s.add(popular+1+quarantine.Fingerprint(n), 9, crashedAt, now, false)
		if n >= maxSuspects && n%100 == 0 && n < maxSuspects+300 {
			s.add(popular, n, now, now, false)
		}
	}
	must.Eq(t, 3, s.count(crashedAt.Add(time.Second)))
	must.MapLen(t, maxSuspects, s.failures)
}
