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

func TestDaemonDiesAfterThreeReadsWithoutAHeartbeat(t *testing.T) {
	var r roster
	at := time.Duration(0)
	r.take(rowsOf(t, map[string]int64{"a1": 1, "b1": 2}), at)
	died := []string(nil)
	for i := range 4 {
		at += heartbeatInterval
		must.SliceEmpty(t, died)
		died = r.take(rowsOf(t, map[string]int64{"a1": int64(3 + i), "b1": 2}), at)
	}
	must.Eq(t, []string{"b1"}, died)
	must.Len(t, 1, r.alive().List)
	// It writes again: it lives.
	r.take(rowsOf(t, map[string]int64{"a1": 9, "b1": 8}), at+heartbeatInterval)
	must.Len(t, 2, r.alive().List)
}

// TestOutageOfTheStoreKillsNobody replays an outage of seven seconds, in which
// no daemon can write.
func TestOutageOfTheStoreKillsNobody(t *testing.T) {
	var r roster
	r.take(rowsOf(t, map[string]int64{"a1": 1, "b1": 2}), 0)
	died := r.take(rowsOf(t, map[string]int64{"a1": 1, "b1": 2}), 7*time.Second)
	must.SliceEmpty(t, died)
	must.Len(t, 2, r.alive().List)
}

func TestOnlyTheNewestDaemonOfAMachineLives(t *testing.T) {
	var r roster
	r.take(rowsOf(t, map[string]int64{"a1": 1, "a2": 2, "b1": 3}), 0)
	must.False(t, r.alive().Has("a1"))
	must.True(t, r.alive().Has("a2"))
}

func TestWorkOfTheDeadAloneMoves(t *testing.T) {
	all := &Members{List: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	fewer := &Members{List: []Member{{ID: "a"}, {ID: "c"}}}
	for _, work := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		if p := all.Pick(work); p != "b" {
			must.Eq(t, p, fewer.Pick(work))
		}
	}
	must.Eq(t, "", (&Members{List: []Member{{ID: "a", Leaving: true}}}).Pick("x"))
}
