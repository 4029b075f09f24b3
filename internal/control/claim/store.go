package claim

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// releaseAttempts bounds the attempts to delete the claim of a request that
	// has not run.
	releaseAttempts = 5
	// releaseInterval is the wait between these attempts.
	releaseInterval = 200 * time.Millisecond
	// updateTimeout bounds the update or deletion of a claim after its request
	// has ended.
	updateTimeout = 10 * time.Second
)

// Store makes claims in a table. Use NewStore. Its methods other than Serve are
// safe for concurrent use.
type Store struct {
	committer committer
}

// Held is a claim that permits its request to be sent, once. Exactly one of
// Keep, Lose and Release must be called.
type Held struct {
	claim  Claim
	key    table.Key
	record Record
	store  *Store
}

// NewStore returns a Store over t. It makes claims only while Serve runs.
func NewStore(t table.Table) *Store {
	return &Store{committer: committer{table: t, queue: make(chan *op, groupLimit), stopped: make(chan struct{})}}
}

// Begin claims a request. It returns a Held if the request may be sent, the kept
// answer if the request has run and its answer was kept, or else a
// *refusal.Error.
func (s *Store) Begin(ctx context.Context, w fleet.Workspace, id fleet.RequestID, fingerprint uint64) (*Held, *Answer, error) {
	h := &Held{
		claim: Claim{Fingerprint: fingerprint, Token: uuid.NewString()},
		key:   Key(w, id),
		store: s,
	}
	h.record = Record{
		At:          time.Now().Round(0),
		Fingerprint: fingerprint,
		Token:       h.claim.Token,
		Workspace:   w,
		Request:     id,
	}
	a := h.claim.Apply(time.Now(), Event{Kind: EventBegin})
	for {
		var e Event
		switch a.Kind {
		case Send:
			return h, nil, nil
		case Replay:
			return nil, a.Answer, nil
		case Insert:
			e = h.insert(ctx)
		case Read:
			e = h.read(ctx)
		default:
			return nil, nil, a.Refusal
		}
		a = h.claim.Apply(time.Now(), e)
	}
}

// Serve commits claims and deletes expired ones until the context ends. It must
// be called only once.
func (s *Store) Serve(ctx context.Context) error {
	var w sync.WaitGroup
	defer w.Wait()
	w.Go(func() { (&sweeper{table: s.committer.table}).serve(ctx) })
	return s.committer.serve(ctx)
}

// Keep stores the answer in the claim, so that it is returned for repeats. An
// answer whose body exceeds MaxAnswerBytes is not stored: repeats are then refused
// because the request may have run.
func (h *Held) Keep(ctx context.Context, a Answer) error {
	next := h.claim.Apply(time.Now(), Event{Kind: EventAnswered})
	if next.Kind != Keep || len(a.Body) > MaxAnswerBytes {
		return nil
	}
	h.record.Answer = &a
	b, err := encode(h.record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	version, err := h.versionOf(ctx, next.Version)
	if err != nil {
		return err
	}
	return h.store.committer.do(ctx, table.Condition{Key: h.key, Version: version}, table.Write{Key: h.key, Value: b}).err
}

// Lose ends the claim without changing its row: the request may have run.
func (h *Held) Lose() {
	h.claim.Apply(time.Now(), Event{Kind: EventLost})
}

// Release deletes the claim of a request that has certainly not run.
func (h *Held) Release(ctx context.Context) error {
	next := h.claim.Apply(time.Now(), Event{Kind: EventNotRun})
	if next.Kind != Release {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	var err error
	for range releaseAttempts {
		if err = h.release(ctx, next.Version); err == nil || errors.Is(err, table.ErrConflict) {
			return nil
		}
		if !sleep(ctx, releaseInterval) {
			break
		}
	}
	return err
}

func (h *Held) insert(ctx context.Context) Event {
	b, err := encode(h.record)
	if err != nil {
		return Event{Kind: EventUnavailable}
	}
	r := h.store.committer.do(ctx, table.Condition{Key: h.key}, table.Write{Key: h.key, Value: b})
	switch {
	case r.err == nil:
		return Event{Kind: EventInserted}
	case errors.Is(r.err, table.ErrConflict):
		return rowEvent(EventConflict, r.row)
	case errors.Is(r.err, table.ErrUnknown):
		return Event{Kind: EventUnknown}
	default:
		return Event{Kind: EventUnavailable}
	}
}

func (h *Held) read(ctx context.Context) Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := h.store.committer.table.Read(ctx, h.key)
	if err != nil || len(rows) != 1 {
		return Event{Kind: EventUnavailable}
	}
	return rowEvent(EventRead, rows[0])
}

func (h *Held) release(ctx context.Context, version uint64) error {
	version, err := h.versionOf(ctx, version)
	if err != nil {
		return err
	}
	return h.store.committer.do(ctx, table.Condition{Key: h.key, Version: version}, table.Write{Key: h.key, Delete: true}).err
}

// versionOf returns the version of the claim's row, which it reads if known is 0.
// It returns table.ErrConflict if the row is absent or belongs to another claim,
// and table.ErrUnavailable if it cannot be read.
func (h *Held) versionOf(ctx context.Context, known uint64) (uint64, error) {
	if known != 0 {
		return known, nil
	}
	e := h.read(ctx)
	switch {
	case e.Kind != EventRead:
		return 0, table.ErrUnavailable
	case e.Version == 0, e.Record.Token != h.record.Token:
		return 0, table.ErrConflict
	}
	return e.Version, nil
}

// rowEvent returns an event for a row. A row that does not decode yields an
// empty record, which counts as another claim without an answer.
func rowEvent(k EventKind, r table.Row) Event {
	e := Event{Kind: k, Version: r.Version}
	if r.Version == 0 {
		return e
	}
	if record, err := decode(r.Value); err == nil {
		e.Record = record
	}
	return e
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
