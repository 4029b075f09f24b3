package fleet

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

func serversWithIDs(ids ...string) []backend.Server {
	var out []backend.Server
	for _, id := range ids {
		out = append(out, backend.Server{ID: id})
	}
	return out
}

// read applies a read of all rows at an uptime, and returns what changed.
func (d *directory) read(at time.Duration, ids ...string) []change {
	var rows []store.Row
	for n, id := range ids {
		rows = append(rows, store.Row{Key: store.Key{Name: id}, Version: int64(n + 1)})
	}
	return d.answer(at, Update{Rows: rows, Complete: true})
}

// answer applies an answer of the store at an uptime, and returns what changed.
func (d *directory) answer(at time.Duration, u Update) []change {
	d.apply(u)
	if !d.needsUpdate(at) {
		return nil
	}
	return d.update(serversWithIDs(slices.Sorted(maps.Keys(d.rows))...), at)
}

func removed(id string) Update {
	return Update{Rows: []store.Row{{Key: store.Key{Name: id}, Removed: true}}}
}

func written(id string) Update {
	return Update{Rows: []store.Row{{Key: store.Key{Name: id}, Version: 9}}}
}

func TestMissingServerIsRemoved(t *testing.T) {
	var d directory
	d.read(time.Second, "a", "b")
	changes := d.read(1300*time.Millisecond, "a")
	must.Len(t, 1, changes)
	must.Eq(t, "gone", changes[0].event)
	_, ok := d.snapshot().Get("b")
	must.False(t, ok)
}

func TestChangedRowsAreApplied(t *testing.T) {
	var d directory
	d.read(time.Second, "a", "b")
	must.Eq(t, "joined", d.answer(1200*time.Millisecond, written("c"))[0].event)
	must.Eq(t, "gone", d.answer(1400*time.Millisecond, removed("a"))[0].event)
	must.Len(t, 2, d.snapshot().List)
}

// TestAnswerWithoutChangesCostsNothing covers the usual answer at a large number of
// servers: none of them may be looked at.
func TestAnswerWithoutChangesCostsNothing(t *testing.T) {
	var d directory
	d.read(time.Second, "a", "b")
	for at := 2 * time.Second; at < 30*time.Second; at += feedWait + serverInterval(2) {
		d.apply(Update{})
		must.False(t, d.needsUpdate(at))
	}
	d.apply(removed("a"))
	must.True(t, d.needsUpdate(30*time.Second))
}

// TestOutageIsLongerThanTheTimeBetweenReads keeps a fleet of many servers, whose
// changes are read less often, from taking each pause for an outage.
func TestOutageIsLongerThanTheTimeBetweenReads(t *testing.T) {
	for _, n := range []int{10, 1000, 3000} {
		var ids []string
		for i := range n {
			ids = append(ids, strconv.Itoa(i))
		}
		var d directory
		d.read(time.Second, ids...)
		at := time.Second + feedWait + serverInterval(n)
		must.Len(t, 1, d.answer(at, removed("0")))
		must.SliceEmpty(t, d.answer(at+feedWait+serverInterval(n)+time.Second, removed("1")))
	}
}

// TestServersWithExpiredRowsAreKeptAfterAnOutage simulates a store outage in which
// rows expire: one server writes its row again, the other is removed after
// expiredRowGrace. The daemon learns of it by a read of all rows or by changes.
func TestServersWithExpiredRowsAreKeptAfterAnOutage(t *testing.T) {
	expired := map[string]func(d *directory) []change{
		"read": func(d *directory) []change { return d.read(8 * time.Second) },
		"changes": func(d *directory) []change {
			u := removed("a")
			u.Rows = append(u.Rows, removed("b").Rows...)
			return d.answer(8*time.Second, u)
		},
	}
	for name, expire := range expired {
		t.Run(name, func(t *testing.T) {
			var d directory
			d.read(time.Second, "a", "b")
			must.SliceEmpty(t, expire(&d))
			must.Len(t, 2, d.snapshot().List)
			must.SliceEmpty(t, d.answer(8200*time.Millisecond, written("a")))
			for at := 8300 * time.Millisecond; at < 10200*time.Millisecond; at += serverReadInterval {
				must.SliceEmpty(t, d.answer(at, Update{}))
				must.Len(t, 2, d.snapshot().List)
				must.LessEq(t, 10200*time.Millisecond, at+d.wait(at))
			}
			must.Len(t, 1, d.answer(10200*time.Millisecond, Update{}))
			must.Len(t, 1, d.snapshot().List)
			must.Eq(t, feedWait, d.wait(10300*time.Millisecond))
		})
	}
}
