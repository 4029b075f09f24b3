package reward

import "time"

const (
	// minProbeDelay and maxProbeDelay bound the time between two attempts of a call during
	// which too many servers have failed. It doubles with each attempt.
	minProbeDelay = time.Second
	maxProbeDelay = 4 * time.Second
)

// ProbeDelay returns the time before the next attempt of a call during which too many
// servers have failed, after a number of such attempts. It is designed for a burst of
// crashes that hits the servers of a sound call several times in a row: the call goes
// through soon after the burst, and one that makes servers end does so rarely.
func ProbeDelay(probes int) time.Duration {
	return min(maxProbeDelay, minProbeDelay<<min(probes, 10))
}
