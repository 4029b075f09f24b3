// Package batch runs batch jobs: it stores them in the platform's store, runs
// their items on backend servers, and lists the results, that is, writes them
// to the store in pages, which gives each result a fixed position.
//
// Every daemon knows every open job. Each item belongs to one daemon; when that
// daemon dies, another one takes the item over and resumes it from its last
// checkpoint. Correctness does not depend on an item having a single owner: a
// result is stored only if the item has none yet.
package batch

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
)

// Errors of a Service.
var (
	// ErrNotFound is returned when a job or item does not exist.
	ErrNotFound = errors.New("batch: not found")
	// ErrTooLarge is returned when the store cannot hold a job, whatever its load.
	ErrTooLarge = errors.New("batch: job too large")
)

// States of a Result.
const (
	// Completed means that the result contains the complete output of the item.
	Completed State = "Completed"
	// Abandoned means that the item is not run any more.
	Abandoned State = "Abandoned"
)

// State is the final state of an item.
type State string

// Submission is a batch job as a caller submits it.
type Submission struct {
	ID         string
	Workspace  string
	Host       string
	Model      string
	Step       int
	MinVersion int
	// Desired is the number of complete groups that the trainer waits for.
	Desired int
	// DueAfter and GiveUpAfter are the times from submission until the items are
	// due, and until unfinished ones are abandoned.
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
	// Tokens is the number of output tokens that the caller expects, or 0 if
	// the caller does not specify it.
	Tokens int
	// Limit is the maximum number of output tokens; 0 if unknown.
	Limit int
	// Reward is the call that scores the item's text; nil if it is not scored.
	Reward *Reward
}

// Reward is a request to a service that scores the text of an item. It may be
// sent more than once.
type Reward struct {
	ID string
	// Host and Target determine the route; Target is the path and query to send.
	Host   string
	Target string
	Body   []byte
}

// Head is the stored description of a job, without the bodies of its items. It
// does not change once it is written.
type Head struct {
	ID         string
	Workspace  string
	Host       string
	Model      string
	Step       int
	MinVersion int
	Desired    int
	// SubmittedAt, DueAt and GiveUpAt are times of the store's clock, in
	// milliseconds.
	SubmittedAt int64
	DueAt       int64
	GiveUpAt    int64
	Items       []ItemHead
	// Shards are the items grouped by daemon; ItemHead.Shard is an index into
	// it.
	Shards []Shard `msgpack:"Parcels"`
	// BodySet is the common part of the names of the rows that hold the bodies. It
	// is empty if they were written together with the head.
	BodySet string
	// Routes are the names of the routes of the items and their reward calls, by which the
	// regions of the job are found; empty in jobs of earlier builds.
	Routes []string
}

// ItemHead is the description of an item without its body. It is encoded by
// position, because all items of a job must fit one row.
type ItemHead struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag

	ID     string
	Group  string
	Tokens int
	Limit  int
	Shard  int `msgpack:"Parcel"`
}

// Shard is the items that were assigned to one daemon when the job was
// accepted.
type Shard struct {
	Member string
	// Chunks is the number of rows that hold the items' bodies.
	Chunks int
}

// Result is the outcome of an item.
type Result struct {
	ID    string
	State State
	Text  string
	// Weights lists the versions of the weights that produced the text, in
	// ascending order.
	Weights []int
	// Score is the reward service's signature of the score; empty if the item is
	// not scored or is abandoned.
	Score string
}

// Checkpoint is a stored range of consecutive events of an item.
type Checkpoint struct {
	Item string
	// Lineage identifies the text that the events belong to; only one daemon
	// writes it.
	Lineage string
	// From is the last event before the range, and To the last one in it.
	From int
	To   int
	// Data holds the data of the events.
	Data    []string
	Weights []int
	// Software is the version of the servers' software that generated the lineage.
	Software string
	// Complete is whether the text ends with event To.
	Complete bool
	// Failures are the failed runs so far, and RewardFailures the failed reward
	// calls.
	Failures       schedule.Failures
	RewardFailures schedule.Failures
}

// name returns the row name of a checkpoint; an item's checkpoints are sorted
// by it.
func (c Checkpoint) name() string {
	return fmt.Sprintf("%s/%s/%06d", c.Item, c.Lineage, c.From)
}

// Progress is the known part of an item's output.
type Progress struct {
	// Lineage identifies the text in checkpoints; it is empty before the first
	// event that this daemon adds.
	Lineage string
	// After is the last event in Data.
	After   int
	Data    []string
	Weights []int
	// Software is the version of the servers' software that generated Data. Servers of
	// other versions cannot continue it.
	Software string
	// Complete is whether Data is the complete output.
	Complete bool
	// Failures are the failed runs, and RewardFailures the failed reward calls.
	Failures       schedule.Failures
	RewardFailures schedule.Failures
}

// join concatenates an item's checkpoints, given in order of their names, and
// returns the complete text of one lineage, or else the longest one, with the
// most failures that any of them contains. A checkpoint that does not directly
// follow the previous one is skipped, because the one between them was lost.
func join(checkpoints []Checkpoint) Progress {
	var best, p Progress
	var failures, rewardFailures schedule.Failures
	for _, c := range checkpoints {
		if c.Failures.Runs > failures.Runs {
			failures = c.Failures
		}
		if c.RewardFailures.Runs > rewardFailures.Runs {
			rewardFailures = c.RewardFailures
		}
		if c.Lineage != p.Lineage {
			p = Progress{Lineage: c.Lineage, Software: c.Software}
		}
		if c.From != p.After || c.Software != p.Software {
			continue
		}
		p.After = c.To
		p.Data = append(p.Data, c.Data...)
		p.Weights = union(p.Weights, c.Weights)
		p.Complete = c.Complete
		if p.betterThan(best) {
			best = p
		}
	}
	best.Failures, best.RewardFailures = failures, rewardFailures
	return best
}

// betterThan reports whether a daemon that takes the item over should continue
// with p and not with o.
func (p Progress) betterThan(o Progress) bool {
	if p.Complete != o.Complete {
		return p.Complete
	}
	return p.After > o.After
}

// union returns the versions of both lists in ascending order.
func union(a, b []int) []int {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
