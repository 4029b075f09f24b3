package lease

import (
	"context"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Duties that one daemon of a region does at a time.
const (
	Orders  fleet.Duty = "Orders"
	Usage   fleet.Duty = "Usage"
	Weights fleet.Duty = "Weights"
)

// Duty is work for the holder of a lease.
type Duty interface {
	// Name returns the duty's name.
	Name() fleet.Duty
	// Step does one round of the duty; it is called again about once a
	// second while the lease is held. It asks c before each act and returns
	// soon after the context ends.
	Step(ctx context.Context, c Charge) error
}
