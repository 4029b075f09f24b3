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

// Kinds returns all kinds.
func Kinds() []string {
	return []string{KindBody, KindItem, KindJob, KindLive, KindSubmit}
}

// Outcomes returns all outcomes but the reasons of refusals.
func Outcomes() []string {
	return []string{OutcomeAnswered, OutcomeCut, OutcomeFailed, OutcomeNotRun, OutcomeNotSent}
}

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
