package telemetry

import (
	"slices"
	"strings"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// reasonOf returns the reason of an event's refusal, empty for other events.
// The detail of such an event is the text of a *refusal.Error.
func reasonOf(e timeline.Event) refusal.Reason {
	if e.Kind != timeline.RequestRefused && e.Kind != timeline.KeyRefused {
		return ""
	}
	_, text, _ := strings.Cut(e.Detail, ": ")
	if r := refusal.Reason(text); slices.Contains(refusal.Reasons(), r) {
		return r
	}
	return ""
}
