package rollout

import (
	"fmt"
	"math"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
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
	code := connect.CodeUnavailable
	if r.Reason == refusal.ReasonKey {
		code = connect.CodeUnauthenticated
	}
	e := connect.NewError(code, errors.New(r.Error()))
	d := &callerv1.Refusal{Kind: kindOf(r), Reason: string(r.Reason)}
	if !r.RetryAt.IsZero() {
		wait := max(0, time.Until(r.RetryAt))
		d.RetryAfter = durationpb.New(wait)
		e.Meta().Set("Retry-After", fmt.Sprint(int(math.Ceil(wait.Seconds()))))
	}
	if detail, err := connect.NewErrorDetail(d); err == nil {
		e.AddDetail(detail)
	}
	return e
}

func kindOf(r *refusal.Error) callerv1.Refusal_Kind {
	switch {
	case errors.Is(r, refusal.ErrNotRun):
		return callerv1.Refusal_KIND_NOT_RUN
	case errors.Is(r, refusal.ErrMayHaveRun):
		return callerv1.Refusal_KIND_MAY_HAVE_RUN
	}
	return callerv1.Refusal_KIND_GAVE_UP
}
