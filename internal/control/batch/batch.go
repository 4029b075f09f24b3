// Package batch keeps a ledger of the groups of samples that trainers request,
// the weight versions that generated each sample, and the numbered batches.
//
// A group is pending, then ready, then in one batch. Each state change is one
// transaction, conditional on the group still being in the state that the
// writer read, so that daemons which work on the same group concurrently cannot
// put it in two batches.
package batch

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Errors of the ledger, besides those of the table and the object store.
var (
	// ErrAcknowledged is returned when the trainer has acknowledged the batch
	// and it has been removed.
	ErrAcknowledged = errors.New("batch: acknowledged")
	// ErrCursor is returned when the cursor is higher than that of the next batch
	// to form, or of the newest batch to acknowledge.
	ErrCursor = errors.New("batch: cursor out of order")
	// ErrInvalid is returned when a group's fields are out of range.
	ErrInvalid = errors.New("batch: invalid group")
	// ErrNotFormed is returned when the batch has not been formed yet.
	ErrNotFormed = errors.New("batch: not formed")
	// ErrGroupChanged is returned when the group's state has changed since it
	// was read.
	ErrGroupChanged = errors.New("batch: group has changed state")
)

// Batch is the batch at a cursor, as returned to a trainer.
type Batch struct {
	Cursor  uint64
	Samples []Sample
	// Discarded is the number of samples left out because they exceed the
	// staleness bound.
	Discarded int
}

// StalenessBound limits how many weight versions a sample may be behind the
// trainer.
type StalenessBound struct {
	// Version is the highest version that the trainer has ever reported, so
	// that a trainer which restarts from an older checkpoint does not make
	// stale samples fresh again.
	Version fleet.WeightVersion
	// Lag is how many versions a sample may be behind Version.
	Lag uint64
}

// Group is a prompt for which a trainer requests several samples.
type Group struct {
	ID     GroupID
	Pool   fleet.Pool
	Prompt string
	// Samples is the number of samples, each of at most MaxTokens tokens.
	Samples   int
	MaxTokens int
}

// GroupID identifies a group within one trainer.
type GroupID string

// Head is the stored state of one trainer.
type Head struct {
	Trainer Trainer
	Pool    fleet.Pool
	// Version is the highest version that the trainer has reported.
	Version fleet.WeightVersion
	// Cursor is that of the newest batch formed; 0 if there is none.
	Cursor uint64
	// Acknowledged is the highest cursor that the trainer has acknowledged.
	Acknowledged uint64
}

// Pending is the stored row of a group that is to be generated.
type Pending struct {
	Group GroupID
	// Round is how often the group was generated before and became stale.
	Round int
	// Key is the hash of the API key with which the group was submitted. The
	// group is generated only while that key is valid.
	Key string
}

// Ready is the stored row of a group whose samples are all complete.
type Ready struct {
	Group GroupID
	Round int
	// Key is the same as in Pending.
	Key string
	// Object is the key of the samples in the object store.
	Object string
	// Oldest is the oldest weight version in any sample.
	Oldest fleet.WeightVersion
}

// Trainer identifies a trainer within the workspace of its API key.
type Trainer struct {
	Workspace fleet.Workspace
	Name      string
}

// Choice is the selection of ready groups for the next batch.
type Choice struct {
	// Chosen are the groups of the batch; empty if too few are fresh.
	Chosen []Ready
	// Stale are the groups that exceed the staleness bound and are generated
	// again.
	Stale []Ready
}

// Choose selects the groups of the next batch: the fresh ones with the oldest
// weight versions, so that as few as possible become stale.
func Choose(ready []Ready, groups int, b StalenessBound) Choice {
	var c Choice
	var fresh []Ready
	for _, r := range ready {
		if b.Fresh(r.Oldest) {
			fresh = append(fresh, r)
			continue
		}
		c.Stale = append(c.Stale, r)
	}
	if groups <= 0 || len(fresh) < groups {
		return c
	}
	slices.SortFunc(fresh, func(a, b Ready) int {
		return cmp.Or(cmp.Compare(a.Oldest, b.Oldest), cmp.Compare(a.Group, b.Group))
	})
	c.Chosen = fresh[:groups]
	return c
}

// Fresh reports whether tokens of a weight version are within the bound. Tokens
// of an unknown version never are.
func (b StalenessBound) Fresh(v fleet.WeightVersion) bool {
	return v > 0 && uint64(v)+b.Lag >= uint64(b.Version)
}

// Split returns the samples that are within the bound and the number of samples
// that are not.
func (b StalenessBound) Split(samples []Sample) (fresh []Sample, discarded int) {
	for _, s := range samples {
		if b.Fresh(s.Oldest()) {
			fresh = append(fresh, s)
			continue
		}
		discarded++
	}
	return fresh, discarded
}

// Validate returns ErrInvalid if a field of the group is out of range.
func (g Group) Validate() error {
	if g.ID == "" || g.Samples < 1 || g.Samples > maxSamples || g.MaxTokens < 1 {
		return errors.Wrapf(ErrInvalid, "group %q", g.ID)
	}
	return nil
}
