// Package rollout serves trainers: it accepts groups of samples, has them
// generated and returns them in batches.
package rollout

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
)

const (
	// defaultFetchTimeout is how long a fetch without a deadline waits.
	defaultFetchTimeout = 30 * time.Second
	// pollInterval is the interval between two reads of the table by a waiting
	// fetch.
	pollInterval = 250 * time.Millisecond
	// retryAfter is the retry delay returned with a refusal while the store is
	// down, the view is unconfirmed or a batch is not formed yet.
	retryAfter = time.Second
)

// Dependencies are the dependencies of a Service and a Runner.
type Dependencies struct {
	Events    timeline.Recorder
	Generator gate.Generator
	Ledger    *batch.Ledger
	// Policy is the policy of the dispatchers; zero means the built-in one.
	Policy batch.Policy
	// Self identifies this daemon.
	Self    fleet.MemberID
	View    view.Source
	Weights weights.Service
}
