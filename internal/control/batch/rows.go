package batch

import (
	"encoding/json"
	"fmt"
	"net/url"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// headPrefix is the key prefix of all trainers' heads.
const headPrefix = table.Key("Rollout/Head/")

// groupRow is the stored row of a group. Once the group is in a batch, the row stays
// without its content, so that submitting the group again changes nothing.
type groupRow struct {
	// Group is absent once the group is in a batch, or was abandoned by an earlier build.
	Group *Group `json:",omitempty"`
}

// batchRow is the stored row of a batch.
type batchRow struct {
	Cursor uint64
	Groups []Ready
}

func (t Trainer) batch(cursor uint64) table.Key {
	return t.key("Batch", fmt.Sprintf("%020d", cursor))
}

func (t Trainer) group(g GroupID) table.Key {
	return t.key("Group", url.PathEscape(string(g)))
}

func (t Trainer) head() table.Key {
	return table.Key(fmt.Sprintf("%s%s/%s", headPrefix, url.PathEscape(string(t.Workspace)), url.PathEscape(t.Name)))
}

// key returns the key of a row of the trainer. kind is the kind of the row, last
// its name among the rows of that kind.
func (t Trainer) key(kind, last string) table.Key {
	w, n := url.PathEscape(string(t.Workspace)), url.PathEscape(t.Name)
	return table.Key(fmt.Sprintf("Rollout/%s/%s/%s/%s", kind, w, n, last))
}

// object returns the key of a group's samples in the object store. writer is the
// incarnation that stores them.
func (t Trainer) object(g GroupID, round int, writer string) object.Key {
	w, n := url.PathEscape(string(t.Workspace)), url.PathEscape(t.Name)
	return object.Key(fmt.Sprintf("Rollout/%s/%s/%s/%d/%s", w, n, url.PathEscape(string(g)), round, writer))
}

// owner returns the key of the trainer's ownerRow.
func (t Trainer) owner() table.Key {
	return t.key("Owner", "")
}

func (t Trainer) pending(g GroupID) table.Key {
	return t.key("Pending", url.PathEscape(string(g)))
}

func (t Trainer) ready(g GroupID) table.Key {
	return t.key("Ready", url.PathEscape(string(g)))
}

// decode decodes a row; an absent one yields the zero value.
func decode[T any](r table.Row) (T, error) {
	var v T
	if r.Version == 0 {
		return v, nil
	}
	return v, errors.Wrapf(json.Unmarshal(r.Value, &v), "batch: decode row %s", r.Key)
}

// put returns the write that stores v as JSON.
func put(k table.Key, v any) (table.Write, error) {
	b, err := json.Marshal(v)
	return table.Write{Key: k, Value: b}, errors.Wrapf(err, "batch: encode row %s", k)
}
