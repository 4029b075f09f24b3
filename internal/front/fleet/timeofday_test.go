package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// TestClockJumpsOfAMinorityDoNotMoveTimeOfDay lets a third of the clocks jump by
// two seconds, forwards or backwards.
func TestClockJumpsOfAMinorityDoNotMoveTimeOfDay(t *testing.T) {
	f := New(nil, Codec{}, zap.NewNop())
	stored := time.UnixMilli(5_000)
	f.Clock.Observe(stored, Uptime())
	const ahead = 1000 * time.Hour
	var list []Member
	for i := range 9 {
		m := Member{Ahead: ahead}
		switch {
		case i < 2:
			m.Ahead += 2 * time.Second
		case i < 3:
			m.Ahead -= 2 * time.Second
		}
		list = append(list, m)
	}
	f.members.Store(&Members{List: list})
	got := f.TimeOfDay().Sub(stored.Add(ahead))
	must.Between(t, 0, got, time.Second)
}

func TestLargestSharesExcludeLeavingDaemons(t *testing.T) {
	m := &Members{List: []Member{{ID: "a", Share: 0.2}, {ID: "b", Share: 0.8}, {ID: "c", Share: 0.8, Leaving: true}, {ID: "d", Share: 0.8}}}
	var ids []string
	for _, s := range m.LargestByShare(2).List {
		ids = append(ids, s.ID)
	}
	must.SliceContainsAll(t, []string{"b", "d"}, ids)
	must.Len(t, 3, m.LargestByShare(9).List)
}
