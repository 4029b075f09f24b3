package claim

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// insertLimit bounds the attempts to insert one claim.
	insertLimit = 2
	// duplicateRetryDelay is the retry delay returned to the caller of a request
	// that another daemon may be running.
	duplicateRetryDelay = 2 * time.Second
	// storeRetryDelay is the retry delay returned while the table is unavailable.
	storeRetryDelay = 5 * time.Second
)

// Events of a claim.
const (
	// EventAnswered reports that the complete answer was received.
	EventAnswered EventKind = iota + 1
	// EventBegin starts the claim.
	EventBegin
	// EventConflict reports that the row exists already; Event.Record is its
	// value.
	EventConflict
	// EventInserted reports that the row was inserted.
	EventInserted
	// EventLost reports that the request may have run and that no complete answer
	// was received.
	EventLost
	// EventNotRun reports that the claimed request has certainly not run.
	EventNotRun
	// EventRead reports the row that was read after an unknown outcome.
	EventRead
	// EventUnavailable reports that the table was unavailable and the call had no
	// effect.
	EventUnavailable
	// EventUnknown reports that the insert may have taken effect.
	EventUnknown
)

// Actions of a claim.
const (
	// Insert inserts the row if it is absent.
	Insert ActionKind = iota + 1
	// Keep replaces the row by one that contains the answer.
	Keep
	// None requires no action.
	None
	// Read reads the row.
	Read
	// Refuse returns Action.Refusal to the caller.
	Refuse
	// Release deletes the row if it still belongs to the claim.
	Release
	// Replay returns the kept answer to the caller.
	Replay
	// Send permits the request to be sent, once.
	Send
)

// States of a claim.
const (
	idle state = iota
	inserting
	reading
	held
	done
)

// Action is the next step of a claim.
type Action struct {
	Kind    ActionKind
	Answer  *Answer
	Refusal *refusal.Error
	// Version is the version of the row to replace or delete.
	Version uint64
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Claim is the state machine of one request's claim. It does no I/O and is not
// safe for concurrent use.
type Claim struct {
	// Fingerprint is the fingerprint of the request's content.
	Fingerprint uint64
	// Token is unique to this claim.
	Token string

	// inserts counts the Insert actions; it never exceeds insertLimit.
	inserts int
	state   state
	// version is the version of the claim's row while held; 0 if it must be read
	// first.
	version uint64
}

// Event is something that happened to a claim.
type Event struct {
	Kind EventKind
	// Record is the value of the row for EventConflict and EventRead. It is
	// empty if the row does not decode, which counts as another claim.
	Record Record
	// Version is the version of the row; 0 if the row is absent.
	Version uint64
}

// EventKind is the kind of an Event.
type EventKind uint8

type state uint8

// Apply applies an event and returns the next action. An event that the state
// does not expect has no effect. Apply returns Send at most once.
func (c *Claim) Apply(now time.Time, e Event) Action {
	switch c.state {
	case idle:
		if e.Kind == EventBegin {
			return c.insert()
		}
	case inserting:
		return c.afterInsert(now, e)
	case reading:
		return c.afterRead(now, e)
	case held:
		return c.afterSend(e)
	}
	return Action{Kind: None}
}

func (c *Claim) afterSend(e Event) Action {
	switch e.Kind {
	case EventAnswered:
		c.state = done
		return Action{Kind: Keep, Version: c.version}
	case EventNotRun:
		c.state = done
		return Action{Kind: Release, Version: c.version}
	case EventLost:
		c.state = done
	}
	return Action{Kind: None}
}

func (c *Claim) hold(version uint64) Action {
	c.state = held
	c.version = version
	return Action{Kind: Send}
}

func (c *Claim) insert() Action {
	c.state = inserting
	c.inserts++
	return Action{Kind: Insert}
}

func (c *Claim) afterInsert(now time.Time, e Event) Action {
	switch e.Kind {
	case EventInserted:
		return c.hold(e.Version)
	case EventConflict:
		return c.resolve(now, e)
	case EventUnknown:
		c.state = reading
		return Action{Kind: Read}
	case EventUnavailable:
		return c.unavailable(now)
	}
	return Action{Kind: None}
}

// resolve returns the action for an existing row.
func (c *Claim) resolve(now time.Time, e Event) Action {
	r := e.Record
	if r.Token == c.Token {
		return c.hold(e.Version)
	}
	c.state = done
	if r.Token != "" && r.Fingerprint != c.Fingerprint {
		// The caller has used the ID for a request with other content: this
		// request has not run, and will not run under this ID.
		return refuse(refusal.NotRun(refusal.ReasonDuplicate, time.Time{}, nil))
	}
	if r.Answer != nil {
		return Action{Kind: Replay, Answer: r.Answer}
	}
	return refuse(refusal.MayHaveRun(refusal.ReasonDuplicate, now.Add(duplicateRetryDelay), nil))
}

func (c *Claim) afterRead(now time.Time, e Event) Action {
	switch {
	case e.Kind == EventRead && e.Version != 0:
		return c.resolve(now, e)
	case e.Kind == EventRead && c.inserts < insertLimit:
		return c.insert()
	case e.Kind == EventRead, e.Kind == EventUnavailable:
		return c.unavailable(now)
	}
	return Action{Kind: None}
}

func (c *Claim) unavailable(now time.Time) Action {
	c.state = done
	return refuse(refusal.NotRun(refusal.ReasonStore, now.Add(storeRetryDelay), table.ErrUnavailable))
}

func refuse(e *refusal.Error) Action {
	return Action{Kind: Refuse, Refusal: e}
}
