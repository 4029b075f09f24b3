package lease

import (
	"context"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Duties, each performed by at most one daemon of a region at a time.
const (
	// Orders orders backend servers from the platform.
	Orders fleet.Duty = "Orders"
	// Usage closes, seals and reports usage windows.
	Usage fleet.Duty = "Usage"
	// Weights rolls out weights to backend servers.
	Weights fleet.Duty = "Weights"
)

// Duty is a task that the holder of its lease performs.
type Duty interface {
	Name() fleet.Duty
	// Step performs one round of the duty; it is called about once a second
	// while the lease is held. It checks c before each action and returns soon
	// after ctx ends.
	Step(ctx context.Context, c Charge) error
}
