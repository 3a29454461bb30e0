package retry

import "time"

const (
	basePause = 5 * time.Millisecond
	maxPause  = 500 * time.Millisecond
)

// maxDoublings keeps a doubled pause from overflowing; it is far beyond every longest pause.
const maxDoublings = 16

// Doubled returns a pause that starts at first, doubles with each of times, and never exceeds longest.
func Doubled(first, longest time.Duration, times int) time.Duration {
	return min(first<<min(times, maxDoublings), longest)
}

// Pause returns how long to wait before that retry, counted from zero; random is uniform in [0, 1).
func Pause(retry int, random float64) time.Duration {
	if retry == 0 {
		return 0
	}
	full := Doubled(basePause, maxPause, retry)
	return time.Duration(float64(full) * random)
}
