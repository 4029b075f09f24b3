// Package clock compares instants on one process's clock in a way that stays
// safe when the VM is frozen and thawed.
//
// A Go time.Time carries a wall reading and, when it came from time.Now, a
// monotonic reading. The monotonic clock of a frozen VM may stand still, and
// the wall clock may be stepped back. The functions here trust whichever of the
// two says that more time has passed.
package clock

import "time"

// Elapsed returns the time that passed between from and to, the larger of the
// monotonic and the wall difference.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Passed reports whether deadline has been reached at now by either clock. The
// zero deadline has always passed.
func Passed(now, deadline time.Time) bool {
	return Elapsed(deadline, now) >= 0
}
