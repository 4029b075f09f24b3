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
	// pollInterval is how often a waiting fetch reads the table.
	pollInterval = 250 * time.Millisecond
	// retryAfter is the retry delay returned with a refusal while the store is
	// down, the view is unconfirmed or a batch is not formed yet.
	retryAfter = time.Second
)

// Dependencies are the dependencies of the service and the runner.
type Dependencies struct {
	Events    timeline.Recorder
	Generator gate.Generator
	Ledger    *batch.Ledger
	// Policy is the built-in one when zero.
	Policy batch.Policy
	// Self identifies this daemon.
	Self    fleet.MemberID
	View    view.Source
	Weights weights.Service
}
