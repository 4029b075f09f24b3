// Package refusal defines the errors with which the system turns a request
// down, each saying whether the request may have run and when to come back.
package refusal

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Sentinels for errors.Is. Every *Error wraps exactly one of them.
var (
	// ErrGaveUp says that the request is final: it will not be run again for
	// the caller before RetryAt.
	ErrGaveUp = errors.New("gave up")
	// ErrMayHaveRun says that the request may have run, in part or whole.
	ErrMayHaveRun = errors.New("may have run")
	// ErrNotRun says that no backend server has begun the request.
	ErrNotRun = errors.New("not run")
)

// Reasons, the closed list of causes shown to callers and in metrics.
const (
	ReasonCancelled      Reason = "Cancelled"
	ReasonConnectionLost Reason = "ConnectionLost"
	ReasonDeadline       Reason = "Deadline"
	ReasonDraining       Reason = "Draining"
	ReasonDuplicate      Reason = "Duplicate"
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

// Error is a refusal. It never holds a key or a body.
type Error struct {
	// Kind is one of the sentinels of this package.
	Kind   error
	Reason Reason
	// RetryAt is when the caller may come back; zero when coming back does
	// not help (a key that is not granted, say).
	RetryAt time.Time
	// Cause is for logs and may be nil. It is not shown to callers.
	Cause error
}

// Reason is why a request was refused.
type Reason string

// Reasons returns all reasons, in order.
func Reasons() []Reason {
	return []Reason{
		ReasonCancelled, ReasonConnectionLost, ReasonDeadline, ReasonDraining, ReasonDuplicate, ReasonKey,
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
