package config

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// Errors of a Store. Errors of the table are returned wrapped.
var (
	// ErrNoReason is returned for a change without an operator or a reason.
	ErrNoReason = errors.New("config: a change needs an operator and a reason")
	// ErrNotFound is returned when a revision does not exist.
	ErrNotFound = errors.New("config: no such revision")
	// ErrStaleBase is returned when the base of a change is not the newest
	// revision.
	ErrStaleBase = errors.New("config: the configuration has changed since")
	// ErrUnchanged is returned for a document that equals its base.
	ErrUnchanged = errors.New("config: nothing to change")
)

// HeadKey is the key of the row with the number of the newest revision.
const HeadKey table.Key = "Config/Head"

// revisionPrefix is the prefix of the keys of the rows with the documents.
const revisionPrefix table.Key = "Config/Revision/"

// Entry describes a revision in the history.
type Entry struct {
	Revision fleet.ConfigRevision
	// At is the writer's wall-clock time.
	At       time.Time
	Operator string
	Reason   string
}

// Head is the value of the row HeadKey.
type Head struct {
	Revision fleet.ConfigRevision
}

// StaleBaseError reports that the base of a change is not the newest revision,
// and what has changed since.
type StaleBaseError struct {
	Base    fleet.ConfigRevision
	Head    fleet.ConfigRevision
	Changes []Change
}

// Record is the value of the row of one revision. The row is immutable.
type Record struct {
	Entry Entry
	// Document is the YAML of the configuration.
	Document string
}

// Store stores the revisions in the platform's table.
type Store struct {
	// Table should determine the outcome of commits whose answer was lost. A
	// commit whose outcome stays unknown is reported with table.ErrUnknown.
	Table table.Table
}

// Error returns the revisions and the changes.
func (e *StaleBaseError) Error() string {
	lines := make([]string, 0, len(e.Changes))
	for _, c := range e.Changes {
		lines = append(lines, c.String())
	}
	return fmt.Sprintf("%v: based on revision %d, newest is %d: %s", ErrStaleBase, e.Base, e.Head, strings.Join(lines, "; "))
}

// Unwrap returns ErrStaleBase.
func (e *StaleBaseError) Unwrap() error {
	return ErrStaleBase
}

// DecodeHead decodes the row HeadKey. An absent row is revision 0.
func DecodeHead(r table.Row) (Head, error) {
	var h Head
	if r.Version == 0 {
		return h, nil
	}
	return h, errors.Wrap(msgpack.Unmarshal(r.Value, &h), "config: head")
}

// RevisionKey returns the key of the row with a revision's document.
func RevisionKey(r fleet.ConfigRevision) table.Key {
	return table.Key(fmt.Sprintf("%s%020d", revisionPrefix, r))
}

// Apply writes c as the revision after base and returns it as written. The
// revision is then in the table, but not yet in effect everywhere. The errors
// wrap ErrInvalid, ErrNoReason, ErrStaleBase, ErrUnchanged and those of the
// table; after table.ErrUnknown the change may still take effect.
func (s Store) Apply(ctx context.Context, base fleet.ConfigRevision, c Config, operator, reason string) (Config, error) {
	if strings.TrimSpace(operator) == "" || strings.TrimSpace(reason) == "" {
		return Config{}, ErrNoReason
	}
	if err := c.Validate(); err != nil {
		return Config{}, err
	}
	head, version, err := s.head(ctx)
	if err != nil {
		return Config{}, err
	}
	if head != base {
		return Config{}, s.staleBase(ctx, base, head)
	}
	old, err := s.Get(ctx, base)
	if err != nil {
		return Config{}, err
	}
	if base > 0 && len(Diff(old, c)) == 0 {
		return Config{}, ErrUnchanged
	}
	if err := c.validateAfter(old); err != nil {
		return Config{}, err
	}
	c.Revision = base + 1
	e := Entry{Revision: c.Revision, At: time.Now().UTC(), Operator: operator, Reason: reason}
	return s.write(ctx, version, c, e)
}

// Get returns one revision. Revision 0 is the empty document.
func (s Store) Get(ctx context.Context, r fleet.ConfigRevision) (Config, error) {
	if r == 0 {
		return Config{}, nil
	}
	rows, err := s.Table.Read(ctx, RevisionKey(r))
	if err != nil {
		return Config{}, errors.Wrapf(err, "config: revision %d", r)
	}
	if rows[0].Version == 0 {
		return Config{}, errors.Wrapf(ErrNotFound, "%d", r)
	}
	var d Record
	if err := msgpack.Unmarshal(rows[0].Value, &d); err != nil {
		return Config{}, errors.Wrapf(err, "config: revision %d", r)
	}
	return Decode([]byte(d.Document))
}

// Head returns the newest revision written.
func (s Store) Head(ctx context.Context) (fleet.ConfigRevision, error) {
	h, _, err := s.head(ctx)
	return h, err
}

// List returns up to limit entries of the history that follow the revision
// after, in ascending order.
func (s Store) List(ctx context.Context, after fleet.ConfigRevision, limit int) ([]Entry, error) {
	rows, err := s.Table.Scan(ctx, revisionPrefix, RevisionKey(after), limit)
	if err != nil {
		return nil, errors.Wrap(err, "config: history")
	}
	es := make([]Entry, 0, len(rows))
	for _, r := range rows {
		var d Record
		if err := msgpack.Unmarshal(r.Value, &d); err != nil {
			return nil, errors.Wrapf(err, "config: %s", r.Key)
		}
		es = append(es, d.Entry)
	}
	return es, nil
}

func (s Store) head(ctx context.Context) (fleet.ConfigRevision, uint64, error) {
	rows, err := s.Table.Read(ctx, HeadKey)
	if err != nil {
		return 0, 0, errors.Wrap(err, "config: head")
	}
	h, err := DecodeHead(rows[0])
	return h.Revision, rows[0].Version, err
}

// staleBase returns the error for a base that is not the newest revision. Its
// changes are empty if a revision cannot be read.
func (s Store) staleBase(ctx context.Context, base, head fleet.ConfigRevision) error {
	e := &StaleBaseError{Base: base, Head: head}
	a, err := s.Get(ctx, base)
	if err != nil {
		return e
	}
	b, err := s.Get(ctx, head)
	if err != nil {
		return e
	}
	e.Changes = Diff(a, b)
	return e
}

// write commits c on the condition that the head is still at version. The row
// of the revision is immutable, so its write ID identifies the winning write
// even when the answer was lost.
func (s Store) write(ctx context.Context, version uint64, c Config, e Entry) (Config, error) {
	document, err := Marshal(c)
	if err != nil {
		return Config{}, err
	}
	record, err := msgpack.Marshal(Record{Entry: e, Document: string(document)})
	if err != nil {
		return Config{}, errors.Wrap(ErrInvalid, err.Error())
	}
	head, err := msgpack.Marshal(Head{Revision: c.Revision})
	if err != nil {
		return Config{}, errors.Wrap(ErrInvalid, err.Error())
	}
	key := RevisionKey(c.Revision)
	t := table.Txn{
		ID:         uuid.NewString(),
		Conditions: []table.Condition{{Key: HeadKey, Version: version}, {Key: key}},
		Writes:     []table.Write{{Key: HeadKey, Value: head}, {Key: key, Value: record}},
	}
	err = s.Table.Commit(ctx, t)
	if err == nil {
		return c, nil
	}
	return s.resolveCommit(ctx, t.ID, c, err)
}

// resolveCommit determines whether a commit that returned err was written, was
// preceded by another change, or has an unknown outcome.
func (s Store) resolveCommit(ctx context.Context, id string, c Config, err error) (Config, error) {
	if !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnknown) {
		return Config{}, errors.Wrap(err, "config: apply")
	}
	rows, readErr := s.Table.Read(ctx, HeadKey, RevisionKey(c.Revision))
	if readErr != nil {
		return Config{}, errors.Wrap(err, "config: apply")
	}
	switch {
	case rows[1].WriteID == id:
		return c, nil
	case rows[1].Version == 0:
		return Config{}, errors.Wrap(err, "config: apply")
	}
	h, decodeErr := DecodeHead(rows[0])
	if decodeErr != nil {
		return Config{}, decodeErr
	}
	return Config{}, s.staleBase(ctx, c.Revision-1, h.Revision)
}
