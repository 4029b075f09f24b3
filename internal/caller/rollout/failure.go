package rollout

import (
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/proxy"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
)

// failure turns an error of a call that runs nothing on backend servers into
// what a trainer is told.
func failure(err error) error {
	return failureOf(err, refusal.NotRun)
}

// submitFailure does so for a submission, of which a part may be in the table.
// It is idempotent and may just be repeated.
func submitFailure(err error) error {
	return failureOf(err, refusal.MayHaveRun)
}

func failureOf(err error, kind func(refusal.Reason, time.Time, error) *refusal.Error) error {
	switch {
	case errors.Is(err, batch.ErrInvalid):
		return connect.NewError(connect.CodeInvalidArgument, errors.New(err.Error()))
	case errors.Is(err, batch.ErrCursor), errors.Is(err, batch.ErrAcknowledged):
		return connect.NewError(connect.CodeOutOfRange, errors.New(err.Error()))
	}
	return refuse(kind(refusal.ReasonStore, time.Now().Add(storeRest), err))
}

// refuse turns a refusal into a connect error with its detail.
func refuse(r *refusal.Error) error {
	return proxy.ConnectError(time.Now(), r)
}
