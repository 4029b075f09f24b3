package daemon

import (
	"context"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/retry"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/peer/grant"
)

// countingGate counts first attempts for the retry budget.
type countingGate struct {
	*grant.Client

	budget *retryBudget
}

// retryBudget is a retry budget that reads each workspace's retry share from
// the configuration.
type retryBudget struct {
	shared retry.Shared
	source view.Source
}

// Acquire implements gate.Gate. A request that excludes a server is a retry and
// is not counted.
func (g countingGate) Acquire(ctx context.Context, r gate.Request) (gate.Grant, error) {
	if len(r.Exclude) == 0 {
		g.budget.attempt(time.Now(), r.Workspace)
	}
	return g.Client.Acquire(ctx, r)
}

// Retry implements proxy.Budget.
func (b *retryBudget) Retry(now time.Time, w fleet.Workspace) bool {
	ok, _ := b.shared.Retry(now, w)
	return ok
}

func (b *retryBudget) attempt(now time.Time, w fleet.Workspace) {
	b.shared.Attempt(now, w, b.source.State().Config.Value(config.RetryShare, w))
}
