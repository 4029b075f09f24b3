package exchange

import (
	"context"
	"os"

	"github.com/pkg/errors"
)

// Error is a failed exchange. It wraps one of the package's sentinels and what
// caused it.
type Error struct {
	Kind  error
	Cause error
}

// TimedOut reports whether an exchange failed because the server was silent,
// which says nothing of whether it runs.
func TimedOut(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// Error implements error.
func (e *Error) Error() string {
	return e.Kind.Error() + ": " + e.Cause.Error()
}

// Unwrap returns the sentinel and the cause.
func (e *Error) Unwrap() []error {
	return []error{e.Kind, e.Cause}
}
