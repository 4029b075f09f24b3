package telemetry

import (
	"slices"
	"strings"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// Reasons returns the closed list of reasons of refusals, in order.
func Reasons() []refusal.Reason {
	return []refusal.Reason{
		refusal.ReasonCancelled, refusal.ReasonConnectionLost, refusal.ReasonDeadline, refusal.ReasonDraining,
		refusal.ReasonDuplicate, refusal.ReasonKey, refusal.ReasonLimit, refusal.ReasonNoRoute,
		refusal.ReasonNoServer, refusal.ReasonOverload, refusal.ReasonQuarantine, refusal.ReasonRetryBudget,
		refusal.ReasonServer, refusal.ReasonStore, refusal.ReasonUnconfirmed,
	}
}

// reasonOf returns the reason of an event's refusal, empty for other events.
// The detail of such an event is the text of a *refusal.Error.
func reasonOf(e timeline.Event) refusal.Reason {
	if e.Kind != timeline.RequestRefused && e.Kind != timeline.KeyRefused {
		return ""
	}
	_, text, _ := strings.Cut(e.Detail, ": ")
	if r := refusal.Reason(text); slices.Contains(Reasons(), r) {
		return r
	}
	return ""
}
