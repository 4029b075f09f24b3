package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

func serversWithIDs(ids ...string) []backend.Server {
	var out []backend.Server
	for _, id := range ids {
		out = append(out, backend.Server{ID: id})
	}
	return out
}

func TestMissingServerIsRemoved(t *testing.T) {
	var d directory
	d.update(serversWithIDs("a", "b"), time.Second)
	changes := d.update(serversWithIDs("a"), 1300*time.Millisecond)
	must.Len(t, 1, changes)
	must.Eq(t, "gone", changes[0].event)
	_, ok := d.snapshot().Get("b")
	must.False(t, ok)
}

// TestServersWithExpiredRowsAreKeptAfterAnOutage simulates a store outage in which
// rows expire: one server writes its row again, the other is removed after
// expiredRowGrace.
func TestServersWithExpiredRowsAreKeptAfterAnOutage(t *testing.T) {
	var d directory
	d.update(serversWithIDs("a", "b"), time.Second)
	must.SliceEmpty(t, d.update(nil, 8*time.Second))
	must.Len(t, 2, d.snapshot().List)
	for at := 8300 * time.Millisecond; at < 10200*time.Millisecond; at += serverReadInterval {
		must.SliceEmpty(t, d.update(serversWithIDs("a"), at))
		must.Len(t, 2, d.snapshot().List)
	}
	must.Len(t, 1, d.update(serversWithIDs("a"), 10300*time.Millisecond))
	must.Len(t, 1, d.snapshot().List)
}
