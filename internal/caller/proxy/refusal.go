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
	// kindHeader tells a refusal of the system from an answer of a service.
	kindHeader = "Refusal-Kind"
	// retryAfterHeader says when to come back, in whole seconds.
	retryAfterHeader = "Retry-After"
)

// body is the body of a refusal over plain HTTP.
type body struct {
	Kind   string
	Reason refusal.Reason
	// RetryAfterSeconds is absent when coming back does not help.
	RetryAfterSeconds int `json:",omitempty"`
}

// ConnectError returns a refusal as an error of connect, with a
// callerv1.Refusal as its detail and Retry-After in its metadata. Other errors
// become internal ones without their text.
func ConnectError(now time.Time, err error) *connect.Error {
	var e *refusal.Error
	if !errors.As(err, &e) {
		return connect.NewError(connect.CodeInternal, errors.New("internal error"))
	}
	c := connect.NewError(codeOf(e), errors.New(e.Error()))
	m := &callerv1.Refusal{Kind: kindOfRefusal(e), Reason: string(e.Reason)}
	if s := seconds(now, e); s > 0 {
		m.RetryAfter = durationpb.New(time.Duration(s) * time.Second)
		c.Meta().Set(retryAfterHeader, strconv.Itoa(s))
	}
	if d, err := connect.NewErrorDetail(m); err == nil {
		c.AddDetail(d)
	}
	return c
}

// WriteRefusal answers a plain HTTP request with a refusal.
func WriteRefusal(w http.ResponseWriter, now time.Time, e *refusal.Error) {
	b := body{Kind: kindName(e), Reason: e.Reason, RetryAfterSeconds: seconds(now, e)}
	if b.RetryAfterSeconds > 0 {
		w.Header().Set(retryAfterHeader, strconv.Itoa(b.RetryAfterSeconds))
	}
	w.Header().Set(kindHeader, b.Kind)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(e))
	// An error is the caller's own affair.
	_ = json.NewEncoder(w).Encode(b)
}

func codeOf(e *refusal.Error) connect.Code {
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

func kindOfRefusal(e *refusal.Error) callerv1.Refusal_Kind {
	switch {
	case errors.Is(e, refusal.ErrGaveUp):
		return callerv1.Refusal_KIND_GAVE_UP
	case errors.Is(e, refusal.ErrMayHaveRun):
		return callerv1.Refusal_KIND_MAY_HAVE_RUN
	default:
		return callerv1.Refusal_KIND_NOT_RUN
	}
}

// seconds rounds up, so that nobody comes back too early.
func seconds(now time.Time, e *refusal.Error) int {
	if e.RetryAt.IsZero() {
		return 0
	}
	return max(1, int(math.Ceil(e.RetryAt.Sub(now).Seconds())))
}

func statusOf(e *refusal.Error) int {
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
