package retry

import "time"

const (
	// basePause is doubled with each retry, and maxPause is the longest pause before one.
	basePause = 5 * time.Millisecond
	maxPause  = 500 * time.Millisecond
)

// maxDoublings keeps a doubled duration from overflowing. The longest durations in use are reached after fewer doublings.
const maxDoublings = 16

// Backoff returns an exponential backoff: first, doubled so many times, but no more than longest.
func Backoff(first, longest time.Duration, doublings int) time.Duration {
	return min(first<<min(doublings, maxDoublings), longest)
}

// Pause returns how long to wait before a retry, by exponential backoff with full jitter. Retries are counted from zero, and the
// first one does not wait; random is uniform in [0, 1).
func Pause(retry int, random float64) time.Duration {
	if retry == 0 {
		return 0
	}
	full := Backoff(basePause, maxPause, retry)
	return time.Duration(float64(full) * random)
}
