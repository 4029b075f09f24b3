package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// rowsOf returns the rows of daemons at the given versions.
func rowsOf(t *testing.T, versions map[string]int64) []store.Row {
	t.Helper()
	var rows []store.Row
	for id, v := range versions {
		b, err := msgpack.Marshal(&Member{ID: id, Machine: id[:1]})
		must.NoError(t, err)
		rows = append(rows, store.Row{Key: store.Key{Name: id}, Value: b, Version: v})
	}
	return rows
}

func TestDaemonIsDeadAfterMissingHeartbeats(t *testing.T) {
	var l liveness
	at := time.Duration(0)
	l.update(rowsOf(t, map[string]int64{"a1": 1, "b1": 2}), at)
	dead := []string(nil)
	for i := range 4 {
		at += heartbeatInterval
		must.SliceEmpty(t, dead)
		dead = l.update(rowsOf(t, map[string]int64{"a1": int64(3 + i), "b1": 2}), at)
	}
	must.Eq(t, []string{"b1"}, dead)
	must.Len(t, 1, l.alive().List)
	// The daemon is alive again once it writes a heartbeat.
	l.update(rowsOf(t, map[string]int64{"a1": 9, "b1": 8}), at+heartbeatInterval)
	must.Len(t, 2, l.alive().List)
}

// TestStoreOutageLeavesDaemonsAlive simulates a store outage of seven seconds,
// during which no daemon can write a heartbeat.
func TestStoreOutageLeavesDaemonsAlive(t *testing.T) {
	var l liveness
	l.update(rowsOf(t, map[string]int64{"a1": 1, "b1": 2}), 0)
	dead := l.update(rowsOf(t, map[string]int64{"a1": 1, "b1": 2}), 7*time.Second)
	must.SliceEmpty(t, dead)
	must.Len(t, 2, l.alive().List)
}

func TestOnlyTheNewestDaemonOfAVMIsAlive(t *testing.T) {
	var l liveness
	l.update(rowsOf(t, map[string]int64{"a1": 1, "a2": 2, "b1": 3}), 0)
	must.False(t, l.alive().Has("a1"))
	must.True(t, l.alive().Has("a2"))
}

func TestOnlyWorkOfADeadDaemonIsReassigned(t *testing.T) {
	all := &Members{List: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	fewer := &Members{List: []Member{{ID: "a"}, {ID: "c"}}}
	for _, work := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		if p := all.Pick(work); p != "b" {
			must.Eq(t, p, fewer.Pick(work))
		}
	}
	must.Eq(t, "", (&Members{List: []Member{{ID: "a", Leaving: true}}}).Pick("x"))
}
