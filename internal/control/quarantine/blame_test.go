package quarantine_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
)

// lost returns how often servers failed, given their numbers.
func lost(servers ...uint64) map[uint64]int {
	out := make(map[uint64]int)
	for _, s := range servers {
		out[s]++
	}
	return out
}

// TestBlamed guards against a stream that brings events before it crashes its servers being excused
// for long, and against requests that ran beside one that crashes servers being condemned with it.
func TestBlamed(t *testing.T) {
	const own = quarantine.Fingerprint(1)
	unanswered := func(servers ...uint64) quarantine.Failures { return quarantine.Failures{Unanswered: lost(servers...)} }
	interrupted := func(servers ...uint64) quarantine.Failures {
		return quarantine.Failures{Interrupted: lost(servers...)}
	}
	for name, x := range map[string]struct {
		own    quarantine.Failures
		others []quarantine.Failures
		want   bool
	}{
		"nothing":                             {},
		"two unanswered":                      {own: unanswered(1, 2)},
		"three unanswered":                    {own: unanswered(1, 2, 3), want: true},
		"the same server thrice":              {own: unanswered(1, 1, 1), want: true},
		"three unanswered beside a stream":    {own: unanswered(1, 2, 3), others: []quarantine.Failures{interrupted(1, 2, 3, 4)}, want: true},
		"two interruptions":                   {own: interrupted(1, 2)},
		"three interruptions":                 {own: interrupted(1, 2, 3), want: true},
		"two and one unanswered":              {own: quarantine.Failures{Unanswered: lost(1), Interrupted: lost(2, 3)}, want: true},
		"a failure and its interruption":      {own: quarantine.Failures{Unanswered: lost(1, 2), Interrupted: lost(1, 2)}},
		"three beside others":                 {own: interrupted(1, 2, 3), others: []quarantine.Failures{interrupted(1), interrupted(2), interrupted(3)}, want: true},
		"three, one that follows it to two":   {own: interrupted(1, 2, 3), others: []quarantine.Failures{interrupted(1, 2)}, want: true},
		"the one that follows":                {own: interrupted(1, 2), others: []quarantine.Failures{interrupted(1, 2, 3)}},
		"five, always with another":           {own: interrupted(1, 2, 3, 4, 5), others: []quarantine.Failures{interrupted(1, 2, 3, 4, 5)}},
		"six, always with another":            {own: interrupted(1, 2, 3, 4, 5, 6), others: []quarantine.Failures{interrupted(1, 2, 3, 4, 5, 6)}, want: true},
		"beside a known cause":                {own: interrupted(1, 2, 3), others: []quarantine.Failures{unanswered(1, 2, 3)}},
		"beside a known cause, and elsewhere": {own: interrupted(1, 2, 3, 4, 5, 6), others: []quarantine.Failures{unanswered(1, 2, 3)}, want: true},
		"beside one that is not known yet":    {own: interrupted(1, 2, 3), others: []quarantine.Failures{unanswered(1, 2)}, want: true},
	} {
		all := map[quarantine.Fingerprint]quarantine.Failures{own: x.own}
		for i, f := range x.others {
			all[own+1+quarantine.Fingerprint(i)] = f
		}
		must.Eq(t, x.want, quarantine.Blamed(own, all), must.Sprint(name))
	}
}

// TestObserversCountOnce guards against a failure that several daemons observed counting several
// times.
func TestObserversCountOnce(t *testing.T) {
	a := quarantine.Failures{Unanswered: lost(1), Interrupted: lost(3)}
	b := quarantine.Failures{Unanswered: lost(1, 2, 2), Interrupted: lost(3, 4)}
	must.Eq(t, quarantine.Failures{Unanswered: lost(1, 2, 2), Interrupted: lost(3, 4)}, a.Merge(b))
	must.Eq(t, b, quarantine.Failures{}.Merge(b).Merge(quarantine.Failures{}))
	must.True(t, quarantine.Failures{}.Empty())
}
