package exchange

import (
	"context"
	"os"

	"github.com/pkg/errors"
)

// Error is the error of a failed exchange. It wraps one of the package's
// sentinel errors and the cause.
type Error struct {
	// Kind is the sentinel error.
	Kind  error
	Cause error
}

// TimedOut reports whether an exchange failed because the server did not
// respond in time, in which case it may still be running.
func TimedOut(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// Error implements error.
func (e *Error) Error() string {
	return e.Kind.Error() + ": " + e.Cause.Error()
}

// Unwrap returns the sentinel error and the cause.
func (e *Error) Unwrap() []error {
	return []error{e.Kind, e.Cause}
}
