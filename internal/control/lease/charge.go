package lease

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Charge is the proof that this daemon holds a duty. It is checked again as the
// last step before each action for the duty.
type Charge interface {
	// Check returns the epoch to send as the fencing token and the time by
	// which the action must have ended. Its error is ErrNotHeld.
	Check(now time.Time) (fleet.Epoch, time.Time, error)
}
