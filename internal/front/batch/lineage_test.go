package batch

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/sse"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// grow adds an event to an item that a daemon runs. The event names the daemon.
func grow(t *rapid.T, r *Runner, j *job) {
	i := j.items["1"]
	e := sse.Event{ID: i.progress.After + 1, Data: r.self}
	must.NoError(t, r.append(j, i, backend.Server{ID: "s"}, e, 1))
}

// take has a daemon take the item over with what the store holds of it.
func take(t *rapid.T, s store.Store, self string) (*Runner, *job) {
	r := newRunner(s, self)
	marks, err := r.ledger.marks(t.Context(), "j")
	must.NoError(t, err)
	j := r.add(Head{ID: "j", Items: []ItemHead{{ID: "1"}}, Parcels: []Parcel{{Member: "a"}}})
	j.receive([]Item{{ID: "1"}}, nil, marks)
	return r, j
}

// TestDaemonsThatRunOneItemDoNotMixTheirTexts has daemons that believe each
// other dead go on with one item, in any order, and write checkpoints under the
// same positions. Whoever takes the item over finds a text that one of them had.
func TestDaemonsThatRunOneItemDoNotMixTheirTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &store.Memory{}
		// had holds each text that a daemon had at some time.
		had := map[string]bool{"": true}
		var runners []*Runner
		var jobs []*job
		for n := range rapid.IntRange(2, 5).Draw(t, "Daemons") {
			r, j := take(t, m, string(rune('a'+n)))
			text := strings.Join(j.items["1"].progress.Data, "")
			must.True(t, had[text], must.Sprintf("nobody had %q", text))
			runners, jobs = append(runners, r), append(jobs, j)
			for range rapid.IntRange(0, 12).Draw(t, "Steps") {
				at := rapid.IntRange(0, n).Draw(t, "Daemon")
				if rapid.Bool().Draw(t, "Event") {
					grow(t, runners[at], jobs[at])
					had[strings.Join(jobs[at].items["1"].progress.Data, "")] = true
					continue
				}
				runners[at].work.Add(1)
				runners[at].mark(t.Context(), jobs[at], jobs[at].marks())
			}
		}
	})
}
