package telemetry

import (
	"slices"
	"strings"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// refusalReason returns the refusal reason of an event, or "" if the event is
// not a refusal. The detail of a refusal event is the text of a *refusal.Error.
func refusalReason(e timeline.Event) refusal.Reason {
	if e.Kind != timeline.RequestRefused && e.Kind != timeline.KeyRefused {
		return ""
	}
	_, text, _ := strings.Cut(e.Detail, ": ")
	if r := refusal.Reason(text); slices.Contains(refusal.Reasons(), r) {
		return r
	}
	return ""
}
