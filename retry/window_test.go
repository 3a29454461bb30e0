package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/retry"
)

// TestNoWindowHoldsMoreRepeatsThanItsRequestsAllow counts over every span of the window's length that ends at a repeat, with
// the requests of that span and of the one before, as the users count them.
func TestNoWindowHoldsMoreRepeatsThanItsRequestsAllow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		const share, slack = 0.2, 7.0
		now := time.Unix(0, 0)
		w := retry.NewWindow(length, share, now)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.Request(now)
				requests = append(requests, now)
				continue
			}
			if w.Take(now, slack) {
				repeats = append(repeats, now)
				allowed := share*float64(within(requests, now, 2*length)) + slack
				require.LessOrEqual(t, float64(within(repeats, now, length)), allowed)
			}
		}
	})
}

func within(times []time.Time, now time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) <= span {
			n++
		}
	}
	return n
}
