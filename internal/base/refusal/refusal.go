// Package refusal defines the errors with which the system refuses requests. Each
// records whether the request may have run and when the caller may retry.
package refusal

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Sentinels for errors.Is. Every *Error wraps exactly one of them.
var (
	// ErrGaveUp reports that the refusal is final: the system will not run the
	// request again for the caller before RetryAt.
	ErrGaveUp = errors.New("gave up")
	// ErrMayHaveRun reports that the request may have run, partly or completely.
	ErrMayHaveRun = errors.New("may have run")
	// ErrNotRun reports that no backend server has begun the request.
	ErrNotRun = errors.New("not run")
)

// Reasons of refusals. Callers and metrics see only values from this list.
const (
	ReasonCancelled      Reason = "Cancelled"
	ReasonConnectionLost Reason = "ConnectionLost"
	ReasonDeadline       Reason = "Deadline"
	ReasonDraining       Reason = "Draining"
	ReasonDuplicate      Reason = "Duplicate"
	ReasonEvacuated      Reason = "Evacuated"
	ReasonHome           Reason = "Home"
	ReasonKey            Reason = "Key"
	ReasonLimit          Reason = "Limit"
	ReasonNoRoute        Reason = "NoRoute"
	ReasonNoServer       Reason = "NoServer"
	ReasonOverload       Reason = "Overload"
	ReasonQuarantine     Reason = "Quarantine"
	ReasonRetryBudget    Reason = "RetryBudget"
	ReasonServer         Reason = "Server"
	ReasonStore          Reason = "Store"
	ReasonUnconfirmed    Reason = "Unconfirmed"
)

// Error is a refusal. It never contains a key or a body.
type Error struct {
	// Kind is one of the sentinels of this package.
	Kind   error
	Reason Reason
	// RetryAt is when the caller may retry. It is zero when a retry does not
	// help, for example for a key that was not granted.
	RetryAt time.Time
	// Cause is for logs and may be nil. Callers do not receive it.
	Cause error
}

// Reason is why a request was refused.
type Reason string

// Reasons returns all reasons in alphabetical order.
func Reasons() []Reason {
	return []Reason{
		ReasonCancelled, ReasonConnectionLost, ReasonDeadline, ReasonDraining, ReasonDuplicate, ReasonEvacuated, ReasonHome, ReasonKey,
		ReasonLimit, ReasonNoRoute, ReasonNoServer, ReasonOverload, ReasonQuarantine, ReasonRetryBudget,
		ReasonServer, ReasonStore, ReasonUnconfirmed,
	}
}

// GaveUp returns a final refusal.
func GaveUp(r Reason, retryAt time.Time, cause error) *Error {
	return &Error{Kind: ErrGaveUp, Reason: r, RetryAt: retryAt, Cause: cause}
}

// MayHaveRun returns a refusal of a request that may have run.
func MayHaveRun(r Reason, retryAt time.Time, cause error) *Error {
	return &Error{Kind: ErrMayHaveRun, Reason: r, RetryAt: retryAt, Cause: cause}
}

// NotRun returns a refusal of a request that no backend server has begun.
func NotRun(r Reason, retryAt time.Time, cause error) *Error {
	return &Error{Kind: ErrNotRun, Reason: r, RetryAt: retryAt, Cause: cause}
}

// Error returns the kind and the reason, without the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%v: %s", e.Kind, e.Reason)
}

// Unwrap returns the sentinel and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}
