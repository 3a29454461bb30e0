package bench

import (
	"sync/atomic"
	"time"
)

// tokenMeter counts the tokens that arrive within a time window, in all and for each second.
type tokenMeter struct {
	tokens  atomic.Int64
	seconds [maxMeteredSeconds]atomic.Int64
}

// maxMeteredSeconds is the longest window, in seconds, whose seconds are counted separately.
const maxMeteredSeconds = 60

// count counts one token that arrives now, if now is within the window that begins at start.
func (m *tokenMeter) count(start time.Time, window time.Duration) {
	if since := time.Since(start); since >= 0 && since < window {
		m.tokens.Add(1)
		m.seconds[min(int(since.Seconds()), maxMeteredSeconds-1)].Add(1)
	}
}

// perSecond returns the number of tokens in each second of the window.
func (m *tokenMeter) perSecond(window time.Duration) []int64 {
	out := make([]int64, int(window.Seconds()))
	for i := range out {
		out[i] = m.seconds[i].Load()
	}
	return out
}

// rate returns the tokens a second over the whole window.
func (m *tokenMeter) rate(window time.Duration) float64 {
	return float64(m.tokens.Load()) / window.Seconds()
}
