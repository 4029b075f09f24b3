package command

import (
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap returns the error without the exit code.
func (e *exitError) Unwrap() error {
	return e.err
}

// withExitCode returns err with an exit code, or nil if err is nil.
func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// connectCode returns the exit code for a connect error without a refusal.
func connectCode(c connect.Code) int {
	switch c {
	case connect.CodeAborted, connect.CodeAlreadyExists, connect.CodeFailedPrecondition, connect.CodeInvalidArgument,
		connect.CodeNotFound, connect.CodePermissionDenied, connect.CodeResourceExhausted, connect.CodeUnauthenticated,
		connect.CodeUnimplemented:
		return ExitRefused
	case connect.CodeUnavailable:
		return ExitFailed
	}
	return ExitMayHaveRun
}

// describe returns the text of an error as shown to users.
func describe(err error) string {
	if r := refusalOf(err); r != nil {
		return describeRefusal(r)
	}
	var c *connect.Error
	if errors.As(err, &c) {
		return fmt.Sprintf("%s: %s", c.Code(), c.Message())
	}
	return err.Error()
}

func describeRefusal(r *callerv1.Refusal) string {
	text := "refused"
	switch r.GetKind() {
	case callerv1.Refusal_KIND_NOT_RUN:
		text = "not run"
	case callerv1.Refusal_KIND_MAY_HAVE_RUN:
		text = "may have run"
	case callerv1.Refusal_KIND_GAVE_UP:
		text = "gave up"
	}
	if r.GetReason() != "" {
		text += ": " + r.GetReason()
	}
	if r.GetRetryAfter() != nil {
		text += ", retry in " + r.GetRetryAfter().AsDuration().Round(time.Millisecond).String()
	}
	return text
}

// exitCode returns the exit code for an error. An error that is neither an
// *exitError nor a connect error is a usage error.
func exitCode(err error) int {
	if r := refusalOf(err); r != nil {
		return refusalCode(r.GetKind())
	}
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	var c *connect.Error
	if !errors.As(err, &c) {
		return ExitUsage
	}
	switch {
	case isDialError(err):
		return ExitFailed
	case !connect.IsWireError(err):
		return ExitMayHaveRun
	}
	return connectCode(c.Code())
}

// isDialError reports whether no daemon accepted a connection, so that nothing
// was sent.
func isDialError(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

func refusalCode(k callerv1.Refusal_Kind) int {
	switch k {
	case callerv1.Refusal_KIND_NOT_RUN:
		return ExitRefused
	case callerv1.Refusal_KIND_GAVE_UP:
		return ExitGaveUp
	}
	return ExitMayHaveRun
}

// refusalOf returns the refusal that a daemon attached to an error, nil when
// there is none.
func refusalOf(err error) *callerv1.Refusal {
	var c *connect.Error
	if !errors.As(err, &c) {
		return nil
	}
	for _, d := range c.Details() {
		v, err := d.Value()
		if err != nil {
			continue
		}
		if r, ok := v.(*callerv1.Refusal); ok {
			return r
		}
	}
	return nil
}
