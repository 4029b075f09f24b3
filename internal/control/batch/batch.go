// Package batch keeps the ledger of what trainers asked for: groups of samples,
// the weight versions that made each sample, and numbered batches.
//
// A group is pending, then ready, then in one batch. Each change is one
// transaction on the condition that the group is still in the state that the
// writer has read, so that daemons which work on the same group at once cannot
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
	// ErrAcknowledged says that the trainer has acknowledged the batch, which
	// is not kept.
	ErrAcknowledged = errors.New("batch: acknowledged")
	// ErrCursor says that the cursor does not follow the newest batch.
	ErrCursor = errors.New("batch: cursor out of order")
	// ErrInvalid says that a group's fields are out of range.
	ErrInvalid = errors.New("batch: invalid group")
	// ErrNotFormed says that there is no such batch yet.
	ErrNotFormed = errors.New("batch: not formed")
	// ErrTaken says that the group has changed state since it was read.
	ErrTaken = errors.New("batch: group taken")
)

// Batch is what a trainer gets for a cursor.
type Batch struct {
	Cursor  uint64
	Samples []Sample
	// Discarded is how many samples of the batch are past the bound.
	Discarded int
}

// Bound is how old a sample may be.
type Bound struct {
	// Version is the highest version that the trainer has ever named, so that
	// a trainer which restarts from an older checkpoint does not make old
	// samples fresh again.
	Version fleet.WeightVersion
	// Lag is how many versions a sample may be behind Version.
	Lag uint64
}

// Group is a prompt of which a trainer wants several samples.
type Group struct {
	ID        GroupID
	Pool      fleet.Pool
	Prompt    string
	Samples   int
	MaxTokens int
}

// GroupID identifies a group of one trainer.
type GroupID string

// Head is the state of one trainer, as its row holds it.
type Head struct {
	Trainer Trainer
	Pool    fleet.Pool
	// Version is the highest version that the trainer has named.
	Version fleet.WeightVersion
	// Cursor is that of the newest batch formed; 0 is none.
	Cursor uint64
	// Acknowledged is the highest cursor that the trainer has taken over.
	Acknowledged uint64
}

// Pending is a group that is to be generated, as its row holds it.
type Pending struct {
	Group GroupID
	// Round counts from 0 how often the group was generated before.
	Round int
	// Key is the hash of the key that the group came with. The group is
	// generated only while the key is granted.
	Key string
}

// Ready is a group whose samples are whole, as its row holds it.
type Ready struct {
	Group GroupID
	Round int
	// Key is that of Pending.
	Key string
	// Object is the key of the samples in the object store.
	Object string
	// Oldest is the oldest weight version of any sample.
	Oldest fleet.WeightVersion
}

// Trainer identifies a trainer within the workspace of its key.
type Trainer struct {
	Workspace fleet.Workspace
	Name      string
}

// Choice is which ready groups go into the next batch.
type Choice struct {
	// Chosen are the groups of the batch; empty when there are too few.
	Chosen []Ready
	// Stale are the groups that are past the bound and are generated anew.
	Stale []Ready
}

// Choose picks the groups of the next batch: the oldest that are still fresh,
// so that as few as possible age past the bound.
func Choose(ready []Ready, groups int, b Bound) Choice {
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

// Fresh reports whether tokens of a weight version are within the bound. An
// unknown version never is.
func (b Bound) Fresh(v fleet.WeightVersion) bool {
	return v > 0 && uint64(v)+b.Lag >= uint64(b.Version)
}

// Split returns the samples that are within the bound and the number of those
// that are not.
func (b Bound) Split(samples []Sample) (fresh []Sample, discarded int) {
	for _, s := range samples {
		if b.Fresh(s.Oldest()) {
			fresh = append(fresh, s)
			continue
		}
		discarded++
	}
	return fresh, discarded
}

// Validate reports whether the group's fields are in range.
func (g Group) Validate() error {
	if g.ID == "" || g.Samples < 1 || g.Samples > maxSamples || g.MaxTokens < 1 {
		return errors.Wrapf(ErrInvalid, "group %q", g.ID)
	}
	return nil
}
