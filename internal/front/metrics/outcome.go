package metrics

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// Kinds of requests and attempts.
const (
	KindBody   = "Body"
	KindItem   = "Item"
	KindJob    = "Job"
	KindLive   = "Live"
	KindPeer   = "Peer"
	KindReward = "Reward"
	KindSubmit = "Submit"
)

// Outcomes of requests and attempts. The outcome of a refused request is the
// reason of the refusal instead. OutcomeCut is that of an incomplete response,
// OutcomeLimited that of a request that was not sent because its server limits its rate, and
// OutcomeMoved that of a stream that was moved away from an evacuated server.
const (
	OutcomeAnswered = "Answered"
	OutcomeCut      = "Cut"
	OutcomeFailed   = "Failed"
	OutcomeLimited  = "Limited"
	OutcomeMoved    = "Moved"
	OutcomeNotRun   = "NotRun"
	OutcomeNotSent  = "NotSent"
)

// Causes for which items of batch jobs spend their time: waiting for a server, the
// time until a run's first event, generating at the server's usual pace, what exceeds
// it, the time after the last event of a run that ended early, and the score.
const (
	CauseWaiting     = "Waiting"
	CauseStarting    = "Starting"
	CauseGenerating  = "Generating"
	CauseStalled     = "Stalled"
	CauseInterrupted = "Interrupted"
	CauseScoring     = "Scoring"
)

// Causes returns all causes.
func Causes() []string {
	return []string{CauseWaiting, CauseStarting, CauseGenerating, CauseStalled, CauseInterrupted, CauseScoring}
}

// Kinds returns all kinds.
func Kinds() []string {
	return []string{KindBody, KindItem, KindJob, KindLive, KindPeer, KindReward, KindSubmit}
}

// Outcomes returns all outcomes except the reasons of refusals.
func Outcomes() []string {
	return []string{OutcomeAnswered, OutcomeCut, OutcomeFailed, OutcomeLimited, OutcomeMoved, OutcomeNotRun, OutcomeNotSent}
}

// Outcome returns the outcome of an attempt on a server.
func Outcome(status int, notRun bool, err error) string {
	switch {
	case errors.Is(err, backend.ErrLimited):
		return OutcomeLimited
	case errors.Is(err, backend.ErrMoved):
		return OutcomeMoved
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
