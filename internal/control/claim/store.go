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
	// releaseTries bounds the tries to delete a claim that was not used.
	releaseTries = 5
	// releaseWait is the wait between them.
	releaseWait = 200 * time.Millisecond
	// settleTimeout bounds what is done for a claim after its request ended.
	settleTimeout = 10 * time.Second
)

// Store makes claims in a table. Use NewStore. Its methods but Serve may be
// called from any goroutine.
type Store struct {
	group group
}

// Held is a claim that permits its request to be sent, once. Exactly one of
// Keep, Lose and Release is called.
type Held struct {
	claim  Claim
	key    table.Key
	record Record
	store  *Store
}

// NewStore returns a Store over t, which works while Serve runs.
func NewStore(t table.Table) *Store {
	return &Store{group: group{table: t, queue: make(chan *op, groupLimit), stopped: make(chan struct{})}}
}

// Begin claims a request. It returns a Held when the request may be sent, the
// kept answer when it has run, or else a *refusal.Error.
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

// Serve commits claims, and deletes old ones, until the context ends. It is
// called once.
func (s *Store) Serve(ctx context.Context) error {
	var w sync.WaitGroup
	defer w.Wait()
	w.Go(func() { (&sweeper{table: s.group.table}).serve(ctx) })
	return s.group.serve(ctx)
}

// Keep puts the answer into the claim, so that repeats get it. An answer that
// is too long is left out: repeats are then told that the request may have run.
func (h *Held) Keep(ctx context.Context, a Answer) error {
	x := h.claim.Apply(time.Now(), Event{Kind: EventAnswered})
	if x.Kind != Keep || len(a.Body) > KeepLimit {
		return nil
	}
	h.record.Answer = &a
	b, err := encode(h.record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	version, err := h.versionOf(ctx, x.Version)
	if err != nil {
		return err
	}
	return h.store.group.do(ctx, table.Condition{Key: h.key, Version: version}, table.Write{Key: h.key, Value: b}).err
}

// Lose leaves the claim as it is: the request may have run.
func (h *Held) Lose() {
	h.claim.Apply(time.Now(), Event{Kind: EventLost})
}

// Release deletes the claim of a request that has certainly not run.
func (h *Held) Release(ctx context.Context) error {
	x := h.claim.Apply(time.Now(), Event{Kind: EventNotRun})
	if x.Kind != Release {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var err error
	for range releaseTries {
		if err = h.release(ctx, x.Version); err == nil || errors.Is(err, table.ErrConflict) {
			return nil
		}
		if !sleep(ctx, releaseWait) {
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
	r := h.store.group.do(ctx, table.Condition{Key: h.key}, table.Write{Key: h.key, Value: b})
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
	rows, err := h.store.group.table.Read(ctx, h.key)
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
	return h.store.group.do(ctx, table.Condition{Key: h.key, Version: version}, table.Write{Key: h.key, Delete: true}).err
}

// versionOf returns the version of the claim's own row, reading it when it is
// not known. Its error is table.ErrConflict when the row is not the claim's.
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

// rowEvent makes an event of a row. A row that does not decode has an empty
// record, which is another's claim without an answer.
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
