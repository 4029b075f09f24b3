package rollout

import (
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/proxy"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
)

// failure turns an error of the ledger into what a trainer is told. Every call
// is idempotent, so that one whose outcome is not known may just be repeated.
func failure(err error) error {
	switch {
	case errors.Is(err, batch.ErrInvalid):
		return connect.NewError(connect.CodeInvalidArgument, errors.New(err.Error()))
	case errors.Is(err, batch.ErrCursor), errors.Is(err, batch.ErrAcknowledged):
		return connect.NewError(connect.CodeOutOfRange, errors.New(err.Error()))
	}
	return refuse(refusal.MayHaveRun(refusal.ReasonStore, time.Now().Add(storeRest), err))
}

// refuse turns a refusal into a connect error with its detail.
func refuse(r *refusal.Error) error {
	return proxy.ConnectError(time.Now(), r)
}
