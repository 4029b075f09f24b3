package claim

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// insertLimit bounds the tries to insert one claim.
	insertLimit = 2
	// repeatAfter is when to ask again for a request that another daemon may
	// be running.
	repeatAfter = 2 * time.Second
	// storeAfter is when to come back while the table is away.
	storeAfter = 5 * time.Second
)

// Events of a claim.
const (
	// EventAnswered says that the whole answer was received.
	EventAnswered EventKind = iota + 1
	// EventBegin starts the claim.
	EventBegin
	// EventConflict says that the row was there already; Row is set.
	EventConflict
	// EventInserted says that the row was inserted.
	EventInserted
	// EventLost says that the request may have run and has no whole answer.
	EventLost
	// EventNotRun says that the claimed request has certainly not run.
	EventNotRun
	// EventRead gives the row after an unknown outcome.
	EventRead
	// EventUnavailable says that the table did not take the call.
	EventUnavailable
	// EventUnknown says that the insert may have taken effect.
	EventUnknown
)

// Actions of a claim.
const (
	// Insert puts the row there, if absent.
	Insert ActionKind = iota + 1
	// Keep replaces the row by one with the answer.
	Keep
	// None asks for nothing.
	None
	// Read reads the row.
	Read
	// Refuse gives the caller Action.Refusal.
	Refuse
	// Release deletes the row, if it is still the claim's own.
	Release
	// Replay gives the caller the kept answer.
	Replay
	// Send permits the request to be sent, once.
	Send
)

// States of a claim.
const (
	idle state = iota
	inserting
	settling
	held
	over
)

// Action is what to do next.
type Action struct {
	Kind    ActionKind
	Answer  *Answer
	Refusal *refusal.Error
	// Version is that of the row to replace or delete.
	Version uint64
}

// ActionKind tells actions apart.
type ActionKind uint8

// Claim is the decision of one request's claim. Its methods are not safe for
// concurrent use.
type Claim struct {
	// Fingerprint is that of the request's content.
	Fingerprint uint64
	// Token is unique to this claim.
	Token string

	// inserts counts the inserts asked for; it never passes insertLimit.
	inserts int
	state   state
	// version is that of the claim's row while held; 0 is not known.
	version uint64
}

// Event is something that happened to a claim.
type Event struct {
	Kind EventKind
	// Record is the value of the row for EventConflict and EventRead; a row
	// that does not decode counts as another's claim.
	Record Record
	// Version is that of the row; 0 is an absent row.
	Version uint64
}

// EventKind tells events apart.
type EventKind uint8

type state uint8

// Apply takes an event and returns what to do. Send is returned at most once.
func (c *Claim) Apply(now time.Time, e Event) Action {
	switch c.state {
	case idle:
		if e.Kind == EventBegin {
			return c.insert()
		}
	case inserting:
		return c.inserted(now, e)
	case settling:
		return c.settled(now, e)
	case held:
		return c.ended(e)
	}
	return Action{Kind: None}
}

func (c *Claim) ended(e Event) Action {
	switch e.Kind {
	case EventAnswered:
		c.state = over
		return Action{Kind: Keep, Version: c.version}
	case EventNotRun:
		c.state = over
		return Action{Kind: Release, Version: c.version}
	case EventLost:
		c.state = over
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

func (c *Claim) inserted(now time.Time, e Event) Action {
	switch e.Kind {
	case EventInserted:
		return c.hold(e.Version)
	case EventConflict:
		return c.judge(now, e)
	case EventUnknown:
		c.state = settling
		return Action{Kind: Read}
	case EventUnavailable:
		return c.unavailable(now)
	}
	return Action{Kind: None}
}

// judge decides by a row that is there.
func (c *Claim) judge(now time.Time, e Event) Action {
	r := e.Record
	if r.Token == c.Token {
		return c.hold(e.Version)
	}
	c.state = over
	if r.Token != "" && r.Fingerprint != c.Fingerprint {
		// The caller has used the ID for something else: this request has not
		// run, and will not under this ID.
		return refuse(refusal.NotRun(refusal.ReasonDuplicate, time.Time{}, nil))
	}
	if r.Answer != nil {
		return Action{Kind: Replay, Answer: r.Answer}
	}
	return refuse(refusal.MayHaveRun(refusal.ReasonDuplicate, now.Add(repeatAfter), nil))
}

func (c *Claim) settled(now time.Time, e Event) Action {
	switch {
	case e.Kind == EventRead && e.Version != 0:
		return c.judge(now, e)
	case e.Kind == EventRead && c.inserts < insertLimit:
		return c.insert()
	case e.Kind == EventRead, e.Kind == EventUnavailable:
		return c.unavailable(now)
	}
	return Action{Kind: None}
}

func (c *Claim) unavailable(now time.Time) Action {
	c.state = over
	return refuse(refusal.NotRun(refusal.ReasonStore, now.Add(storeAfter), table.ErrUnavailable))
}

func refuse(e *refusal.Error) Action {
	return Action{Kind: Refuse, Refusal: e}
}
