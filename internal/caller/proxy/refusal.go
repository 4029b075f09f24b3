package proxy

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
)

// Headers of a refusal.
const (
	// kindHeader distinguishes a refusal of the system from a response of a
	// service.
	kindHeader = "Refusal-Kind"
	// retryAfterHeader is the retry delay, in whole seconds.
	retryAfterHeader = "Retry-After"
)

// refusalBody is the JSON body of a refusal over plain HTTP.
type refusalBody struct {
	Kind   string
	Reason refusal.Reason
	// RetryAfterSeconds is absent if a retry would not help.
	RetryAfterSeconds int `json:",omitempty"`
}

// ConnectError converts a refusal to a connect error with a callerv1.Refusal as
// its detail and Retry-After in its metadata. Any other error becomes an internal
// error without its text.
func ConnectError(now time.Time, err error) *connect.Error {
	var e *refusal.Error
	if !errors.As(err, &e) {
		return connect.NewError(connect.CodeInternal, errors.New("internal error"))
	}
	c := connect.NewError(connectCode(e), errors.New(e.Error()))
	m := &callerv1.Refusal{Kind: refusalKind(e), Reason: string(e.Reason)}
	if s := retryAfterSeconds(now, e); s > 0 {
		m.RetryAfter = durationpb.New(time.Duration(s) * time.Second)
		c.Meta().Set(retryAfterHeader, strconv.Itoa(s))
	}
	if d, err := connect.NewErrorDetail(m); err == nil {
		c.AddDetail(d)
	}
	return c
}

// WriteRefusal writes a refusal as the response to a plain HTTP request.
func WriteRefusal(w http.ResponseWriter, now time.Time, e *refusal.Error) {
	b := refusalBody{Kind: kindName(e), Reason: e.Reason, RetryAfterSeconds: retryAfterSeconds(now, e)}
	if b.RetryAfterSeconds > 0 {
		w.Header().Set(retryAfterHeader, strconv.Itoa(b.RetryAfterSeconds))
	}
	w.Header().Set(kindHeader, b.Kind)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus(e))
	// A write error is ignored: the caller has disconnected.
	_ = json.NewEncoder(w).Encode(b)
}

func connectCode(e *refusal.Error) connect.Code {
	switch e.Reason {
	case refusal.ReasonKey:
		return connect.CodeUnauthenticated
	case refusal.ReasonNoRoute:
		return connect.CodeInvalidArgument
	case refusal.ReasonLimit, refusal.ReasonOverload:
		return connect.CodeResourceExhausted
	case refusal.ReasonDeadline:
		return connect.CodeDeadlineExceeded
	case refusal.ReasonCancelled:
		return connect.CodeCanceled
	case refusal.ReasonDuplicate:
		return connect.CodeAlreadyExists
	}
	switch {
	case errors.Is(e, refusal.ErrGaveUp):
		return connect.CodeFailedPrecondition
	case errors.Is(e, refusal.ErrMayHaveRun):
		return connect.CodeAborted
	default:
		return connect.CodeUnavailable
	}
}

func kindName(e *refusal.Error) string {
	switch {
	case errors.Is(e, refusal.ErrGaveUp):
		return "GaveUp"
	case errors.Is(e, refusal.ErrMayHaveRun):
		return "MayHaveRun"
	default:
		return "NotRun"
	}
}

func refusalKind(e *refusal.Error) callerv1.Refusal_Kind {
	switch {
	case errors.Is(e, refusal.ErrGaveUp):
		return callerv1.Refusal_KIND_GAVE_UP
	case errors.Is(e, refusal.ErrMayHaveRun):
		return callerv1.Refusal_KIND_MAY_HAVE_RUN
	default:
		return callerv1.Refusal_KIND_NOT_RUN
	}
}

// retryAfterSeconds returns the retry delay, at least 1 s, or 0 if the refusal has
// none. It rounds up, so that no caller retries too early.
func retryAfterSeconds(now time.Time, e *refusal.Error) int {
	if e.RetryAt.IsZero() {
		return 0
	}
	return max(1, int(math.Ceil(e.RetryAt.Sub(now).Seconds())))
}

func httpStatus(e *refusal.Error) int {
	switch e.Reason {
	case refusal.ReasonKey:
		return http.StatusUnauthorized
	case refusal.ReasonNoRoute:
		return http.StatusNotFound
	case refusal.ReasonLimit:
		return http.StatusTooManyRequests
	case refusal.ReasonDeadline:
		return http.StatusGatewayTimeout
	case refusal.ReasonDuplicate:
		return http.StatusConflict
	case refusal.ReasonQuarantine:
		return http.StatusUnprocessableEntity
	}
	if errors.Is(e, refusal.ErrMayHaveRun) {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
