// Package clock compares times of one process's clock in a way that is safe when
// the VM is suspended and resumed.
//
// A Go time.Time has a wall clock reading and, if it came from time.Now, a
// monotonic clock reading. The monotonic clock may stop while the VM is suspended,
// and the wall clock may be stepped back. The functions of this package use
// whichever of the two shows that more time has passed.
package clock

import "time"

// Elapsed returns the time that passed between from and to, the larger of the
// monotonic and the wall clock difference.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Passed reports whether deadline has been reached at now by either clock. It
// returns true for the zero deadline.
func Passed(now, deadline time.Time) bool {
	return Elapsed(deadline, now) >= 0
}
