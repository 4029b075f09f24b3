package rollout

import (
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/proxy"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
)

// callError returns the connect error for an error of a call that runs nothing on
// backend servers.
func callError(err error) error {
	return connectError(err, refusal.NotRun)
}

// submitError returns the connect error for an error of a submission, part of
// which may be in the table. Submissions are idempotent and can be repeated.
func submitError(err error) error {
	return connectError(err, refusal.MayHaveRun)
}

func connectError(err error, kind func(refusal.Reason, time.Time, error) *refusal.Error) error {
	switch {
	case errors.Is(err, batch.ErrInvalid):
		return connect.NewError(connect.CodeInvalidArgument, errors.New(err.Error()))
	case errors.Is(err, batch.ErrCursor), errors.Is(err, batch.ErrAcknowledged):
		return connect.NewError(connect.CodeOutOfRange, errors.New(err.Error()))
	}
	return refusalError(kind(refusal.ReasonStore, time.Now().Add(retryAfter), err))
}

// refusalError returns a refusal as a connect error with the refusal as its
// detail.
func refusalError(r *refusal.Error) error {
	return proxy.ConnectError(time.Now(), r)
}
