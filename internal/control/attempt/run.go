package attempt

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
)

const (
	// crashLimit is the number of server crashes after which a request is given
	// up.
	crashLimit = 2
	// firstBackoff is the backoff before the second attempt.
	firstBackoff = 10 * time.Millisecond
	// lastBackoff is the maximum backoff between attempts.
	lastBackoff = time.Second
	// maxAttempts limits the attempts of one request.
	maxAttempts = 8
	// retryAfter is the time after which a caller may retry a refused request.
	retryAfter = time.Second
)

// Results of an attempt.
const (
	// ResultCrashed means that the server crashed while the attempt ran.
	ResultCrashed Result = iota + 1
	// ResultTruncated means that the answer was truncated or missing although
	// the server still runs.
	ResultTruncated
	// ResultNotSent means that no byte was sent.
	ResultNotSent
	// ResultProtocol means that the received data was not the answer to the
	// attempt.
	ResultProtocol
	// ResultRefused means that the server reported that it did not begin the
	// request.
	ResultRefused
	// ResultStopped means that the caller disconnected or the deadline passed
	// while the attempt ran.
	ResultStopped
	// ResultComplete means that the complete answer was received.
	ResultComplete
)

// Actions after an attempt.
const (
	// Deliver returns the complete answer to the caller.
	Deliver Action = iota + 1
	// Refuse returns Decision.Refusal to the caller.
	Refuse
	// Retry starts another attempt at Decision.At.
	Retry
)

// Action is what to do after an attempt.
type Action uint8

// Decision is an action with its parameters.
type Decision struct {
	Action Action
	// At is when to start the next attempt, for Retry.
	At time.Time
	// Refusal is the error to return, for Refuse.
	Refusal *refusal.Error
}

// Result is how an attempt ended.
type Result uint8

// Run tracks the attempts of one request. The zero value is a request that may
// not be repeated and has no deadline. It is not safe for concurrent use.
type Run struct {
	// Deadline is when the caller stops waiting; zero is no deadline.
	Deadline time.Time
	// Repeatable requests may run more than once.
	Repeatable bool
	// Owed requests are not given up because servers crashed while they ran: they were
	// submitted to be run later and are no cause of crashes.
	Owed bool

	// attempts counts the started attempts; it never exceeds maxAttempts.
	attempts int
	// crashes counts the attempts whose server crashed; it never exceeds
	// crashLimit unless the request is Owed.
	crashes int
	// state is the state of the latest attempt. It returns from Sent to NotSent
	// only if no byte was sent or the server refused the attempt.
	state State
	// mayHaveRun is whether an attempt may have run.
	mayHaveRun bool
}

// Begin starts an attempt and reports whether it may be sent. A request that
// may not be repeated is never sent again once an attempt may have run.
func (r *Run) Begin() bool {
	if r.mayHaveRun && !r.Repeatable {
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

// Refusal returns the refusal of a request for a cause other than the result of
// an attempt: MayHaveRun if an attempt may have run, and NotRun otherwise.
func (r *Run) Refusal(reason refusal.Reason, retryAt time.Time, cause error) *refusal.Error {
	if r.mayHaveRun {
		return refusal.MayHaveRun(reason, retryAt, cause)
	}
	return refusal.NotRun(reason, retryAt, cause)
}

// End processes the result of the attempt that Begin started and returns what
// to do next.
func (r *Run) End(now time.Time, result Result, cause error) Decision {
	switch result {
	case ResultComplete:
		r.state = Answered
		return Decision{Action: Deliver}
	case ResultNotSent, ResultRefused:
		r.state = NotSent
	case ResultCrashed:
		r.state, r.mayHaveRun = Unknown, true
		r.crashes++
	default:
		r.state, r.mayHaveRun = Unknown, true
	}
	if result == ResultStopped {
		return r.refuse(refusal.ReasonCancelled, time.Time{}, cause)
	}
	if r.crashes >= crashLimit && !r.Owed {
		e := refusal.GaveUp(refusal.ReasonQuarantine, now.Add(retryAfter), cause)
		return Decision{Action: Refuse, Refusal: e}
	}
	if r.mayHaveRun && !r.Repeatable {
		return r.refuse(reasonOf(result), now.Add(retryAfter), cause)
	}
	return r.retry(now, result, cause)
}

// Retries returns the number of attempts started after the first one.
func (r *Run) Retries() int {
	return max(r.attempts-1, 0)
}

// State returns what is known about the execution of the request: Unknown once
// an attempt may have run, unless it was answered.
func (r *Run) State() State {
	if r.mayHaveRun && r.state != Answered {
		return Unknown
	}
	return r.state
}

func (r *Run) retry(now time.Time, result Result, cause error) Decision {
	at := now.Add(min(firstBackoff<<(r.attempts-1), lastBackoff))
	if r.attempts >= maxAttempts {
		return r.refuse(reasonOf(result), now.Add(retryAfter), cause)
	}
	if !r.Deadline.IsZero() && clock.Passed(at, r.Deadline) {
		return r.refuse(refusal.ReasonDeadline, now.Add(retryAfter), cause)
	}
	return Decision{Action: Retry, At: at}
}

func (r *Run) refuse(reason refusal.Reason, retryAt time.Time, cause error) Decision {
	return Decision{Action: Refuse, Refusal: r.Refusal(reason, retryAt, cause)}
}

func reasonOf(r Result) refusal.Reason {
	switch r {
	case ResultNotSent, ResultRefused:
		return refusal.ReasonNoServer
	case ResultTruncated:
		return refusal.ReasonConnectionLost
	default:
		return refusal.ReasonServer
	}
}
