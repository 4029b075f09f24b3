package attempt

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
)

const (
	// crashLimit is the number of servers that a request may crash.
	crashLimit = 2
	// firstBackoff is the wait before the second attempt.
	firstBackoff = 10 * time.Millisecond
	// lastBackoff bounds the wait between attempts.
	lastBackoff = time.Second
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 8
	// returnAfter is when a caller may come back after a lost server.
	returnAfter = time.Second
)

// Results of an attempt.
const (
	// ResultCrashed says that the server failed while the attempt ran.
	ResultCrashed Result = iota + 1
	// ResultCut says that no whole answer came from a server that still runs.
	ResultCut
	// ResultNotSent says that no byte left.
	ResultNotSent
	// ResultProtocol says that what came was not the answer to the attempt.
	ResultProtocol
	// ResultRefused says that the server stated that it did not begin.
	ResultRefused
	// ResultStopped says that the caller went away or the deadline passed
	// while the attempt ran.
	ResultStopped
	// ResultWhole says that the whole answer came.
	ResultWhole
)

// Actions after an attempt.
const (
	// Deliver gives the whole answer to the caller.
	Deliver Action = iota + 1
	// Refuse gives the caller its final answer.
	Refuse
	// Retry makes another attempt at Decision.At.
	Retry
)

// Action is what to do after an attempt.
type Action uint8

// Decision is an action with what it needs.
type Decision struct {
	Action Action
	// At is when to begin the next attempt, for Retry.
	At time.Time
	// Refusal is what to say, for Refuse.
	Refusal *refusal.Error
}

// Result is how an attempt ended.
type Result uint8

// Run is one request over all its attempts. The zero value is a request that
// may not be repeated and has no deadline. Its methods are not safe for
// concurrent use.
type Run struct {
	// Deadline is when the caller stops waiting; zero is never.
	Deadline time.Time
	// Repeatable requests may run more than once.
	Repeatable bool

	// attempts counts the attempts begun; it never passes maxAttempts.
	attempts int
	// crashes counts the attempts whose server crashed; it never passes
	// crashLimit.
	crashes int
	// state is that of the attempt that may have run, or else of the last
	// one. Once Sent it never goes back to NotSent but for an attempt that
	// the server refused.
	state State
	// ran is whether an earlier attempt may have run.
	ran bool
}

// Begin starts an attempt and reports whether it may be sent. A request that
// may not be repeated is never sent after a byte of it has left.
func (r *Run) Begin() bool {
	if r.ran && !r.Repeatable {
		return false
	}
	r.attempts++
	r.state = Sent
	return true
}

// Crashes returns the number of attempts whose server crashed.
func (r *Run) Crashes() int {
	return r.crashes
}

// Deny refuses the request for a cause outside its attempts.
func (r *Run) Deny(reason refusal.Reason, retryAt time.Time, cause error) *refusal.Error {
	if r.ran {
		return refusal.MayHaveRun(reason, retryAt, cause)
	}
	return refusal.NotRun(reason, retryAt, cause)
}

// End takes the result of the attempt that Begin started.
func (r *Run) End(now time.Time, result Result, cause error) Decision {
	switch result {
	case ResultWhole:
		r.state = Answered
		return Decision{Action: Deliver}
	case ResultNotSent, ResultRefused:
		r.state = NotSent
	case ResultCrashed:
		r.state, r.ran = Unknown, true
		r.crashes++
	default:
		r.state, r.ran = Unknown, true
	}
	if result == ResultStopped {
		return r.refuse(refusal.ReasonCancelled, time.Time{}, cause)
	}
	if r.crashes >= crashLimit {
		e := refusal.GaveUp(refusal.ReasonQuarantine, now.Add(returnAfter), cause)
		return Decision{Action: Refuse, Refusal: e}
	}
	if r.ran && !r.Repeatable {
		return r.refuse(reasonOf(result), now.Add(returnAfter), cause)
	}
	return r.again(now, result, cause)
}

// Retries returns the number of attempts begun after the first one.
func (r *Run) Retries() int {
	return max(r.attempts-1, 0)
}

// State returns what is known of the request.
func (r *Run) State() State {
	if r.ran && r.state != Answered {
		return Unknown
	}
	return r.state
}

func (r *Run) again(now time.Time, result Result, cause error) Decision {
	at := now.Add(min(firstBackoff<<(r.attempts-1), lastBackoff))
	if r.attempts >= maxAttempts {
		return r.refuse(reasonOf(result), now.Add(returnAfter), cause)
	}
	if !r.Deadline.IsZero() && clock.Passed(at, r.Deadline) {
		return r.refuse(refusal.ReasonDeadline, now.Add(returnAfter), cause)
	}
	return Decision{Action: Retry, At: at}
}

func (r *Run) refuse(reason refusal.Reason, retryAt time.Time, cause error) Decision {
	return Decision{Action: Refuse, Refusal: r.Deny(reason, retryAt, cause)}
}

func reasonOf(r Result) refusal.Reason {
	switch r {
	case ResultNotSent, ResultRefused:
		return refusal.ReasonNoServer
	case ResultCut:
		return refusal.ReasonConnectionLost
	default:
		return refusal.ReasonServer
	}
}
