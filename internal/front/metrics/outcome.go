package metrics

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// Kinds of what is counted.
const (
	KindBody   = "Body"
	KindItem   = "Item"
	KindJob    = "Job"
	KindLive   = "Live"
	KindSubmit = "Submit"
)

// Outcomes. Those of refused requests are the reasons of the refusals.
const (
	OutcomeAnswered = "Answered"
	OutcomeCut      = "Cut"
	OutcomeFailed   = "Failed"
	OutcomeNotRun   = "NotRun"
	OutcomeNotSent  = "NotSent"
)

// Outcome names the end of an attempt at a server.
func Outcome(status int, notRun bool, err error) string {
	switch {
	case errors.Is(err, backend.ErrNotSent):
		return OutcomeNotSent
	case err != nil:
		return OutcomeCut
	case notRun:
		return OutcomeNotRun
	case status >= http.StatusInternalServerError:
		return OutcomeFailed
	}
	return OutcomeAnswered
}
