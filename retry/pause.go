package retry

import "time"

const (
	firstPause   = 5 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// Pause returns how long to wait before that retry, counted from zero; random is uniform in [0, 1).
func Pause(retry int, random float64) time.Duration {
	if retry == 0 {
		return 0
	}
	full := min(firstPause<<min(retry, 10), longestPause)
	return time.Duration(float64(full) * random)
}
