package placement

import (
	"math"
	"time"
)

const (
	// maxRoom is the highest number of sequences that a server counts for: sums of many such numbers stay exact to a fraction of a sequence.
	maxRoom = 1e9
	// longestTime bounds predicted times, so that sums of a few stay within the type.
	longestTime = time.Duration(1 << 60)
)

// whole returns a number without its fraction as an int between 0 and most; what is no number is 0. The conversion of a float beyond the range
// of an int has another result on each kind of processor.
func whole(x float64, most int) int {
	switch {
	case x >= float64(most):
		return most
	case x > 0:
		return int(x)
	default:
		return 0
	}
}

// times returns n times d, at most longestTime; neither is negative.
func times(n int, d time.Duration) time.Duration {
	if n > 0 && d > longestTime/time.Duration(n) {
		return longestTime
	}
	return time.Duration(n) * d
}

// wholeNumber returns a number without its fraction as an int that is not negative.
func wholeNumber(x float64) int { return whole(x, math.MaxInt32) }
