// Package batch runs batch jobs: it keeps them in the platform's store, runs
// their items on backend servers, and lists the results at fixed positions.
//
// Every daemon knows every open job. Each item belongs to one daemon; when that
// one dies, another takes the item and resumes it from its last checkpoint.
// Nothing depends on there being just one: a result is stored only if the item
// has none yet.
package batch

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
)

// ErrNotFound says that no such job or item exists.
var ErrNotFound = errors.New("batch: not found")

// States of a Result.
const (
	// Completed results hold the item's whole output.
	Completed State = "Completed"
	// Abandoned items are not run any more.
	Abandoned State = "Abandoned"
)

// State says how an item ended.
type State string

// Submission is a batch job as a caller submits it.
type Submission struct {
	ID         string
	Workspace  string
	Host       string
	Model      string
	Step       int
	MinVersion int
	// Desired is how many whole groups the trainer waits for.
	Desired     int
	DueAfter    time.Duration
	GiveUpAfter time.Duration
	Items       []Item
}

// Item is one request of a batch job.
type Item struct {
	ID    string
	Group string
	// Target is the path and query to send.
	Target string
	Header map[string]string
	Body   []byte
	// Tokens is the number of output tokens that the caller expects, 0 if it
	// does not say.
	Tokens int
	// Limit is the number of output tokens at most.
	Limit int
}

// Head is what the store keeps of a job besides the bodies of its items. It
// does not change once it is written.
type Head struct {
	ID         string
	Workspace  string
	Host       string
	Model      string
	Step       int
	MinVersion int
	Desired    int
	// SubmittedAt, DueAt and GiveUpAt are instants of the store's clock, in
	// milliseconds.
	SubmittedAt int64
	DueAt       int64
	GiveUpAt    int64
	Items       []ItemHead
	// Parcels are the items of one daemon each; ItemHead.Parcel counts here.
	Parcels []Parcel
}

// ItemHead is what is known of an item without its body.
type ItemHead struct {
	ID     string
	Group  string
	Tokens int
	Limit  int
	Parcel int
}

// Parcel is the items that one daemon was given when the job was accepted.
type Parcel struct {
	Member string
	// Chunks is the number of rows that hold the items' bodies.
	Chunks int
}

// Result is the outcome of an item.
type Result struct {
	ID    string
	State State
	Text  string
	// Weights lists the versions that made the text, in ascending order.
	Weights []int
}

// Mark is a checkpoint: a stretch of the events of an item.
type Mark struct {
	Item string
	// Lineage names the text, which one daemon alone writes.
	Lineage string
	// From is the last event before the stretch, and To its last one.
	From int
	To   int
	// Data holds the data of the events.
	Data    []string
	Weights []int
	// Failures are the runs that failed so far.
	Failures schedule.Failures
}

// name orders the marks of an item.
func (m Mark) name() string {
	return fmt.Sprintf("%s/%s/%06d", m.Item, m.Lineage, m.From)
}

// Progress is what is known of an item's output.
type Progress struct {
	// Lineage names the text in checkpoints; it is empty before the first event
	// that this daemon adds.
	Lineage string
	// After is the last event in Data.
	After   int
	Data    []string
	Weights []int
	// Failures are the runs that failed.
	Failures schedule.Failures
}

// join adds up an item's marks, given in order of their names, and returns the
// longest text of one lineage. A mark that does not follow on the one before is
// left out: the one between them was lost.
func join(marks []Mark) Progress {
	var best, p Progress
	var failures schedule.Failures
	for _, m := range marks {
		if m.Failures.Runs > failures.Runs {
			failures = m.Failures
		}
		if m.Lineage != p.Lineage {
			p = Progress{Lineage: m.Lineage}
		}
		if m.From != p.After {
			continue
		}
		p.After = m.To
		p.Data = append(p.Data, m.Data...)
		p.Weights = union(p.Weights, m.Weights)
		if p.After > best.After {
			best = p
		}
	}
	best.Failures = failures
	return best
}

// union returns the versions of both lists in ascending order.
func union(a, b []int) []int {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
