package lease

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Charge is the proof that this daemon holds a duty, asked anew as the last
// step before each act for the duty.
type Charge interface {
	// Check returns the epoch to carry as the fencing number and the instant
	// by which the act must be over. Its error is ErrNotHeld.
	Check(now time.Time) (fleet.Epoch, time.Time, error)
}
