// Package rollout serves trainers: it takes groups of samples, has them
// generated and hands batches out.
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
	// fetchWait is how long a fetch waits that names no deadline.
	fetchWait = 30 * time.Second
	// pollEvery is how often a waiting fetch looks at the table.
	pollEvery = 250 * time.Millisecond
	// storeRest is when callers may come back while the store is down.
	storeRest = time.Second
)

// Parts are what the service and the runner work with.
type Parts struct {
	Events    timeline.Recorder
	Generator gate.Generator
	Ledger    *batch.Ledger
	// Policy is zero for the built-in one.
	Policy batch.Policy
	// Self is this daemon.
	Self    fleet.MemberID
	View    view.Source
	Weights weights.Service
}
