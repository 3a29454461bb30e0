package bench

import (
	"sync/atomic"
	"time"
)

// tokenMeter counts the tokens that arrive within a window.
type tokenMeter struct {
	tokens atomic.Int64
}

func (m *tokenMeter) count(start time.Time, window time.Duration) {
	if since := time.Since(start); since >= 0 && since < window {
		m.tokens.Add(1)
	}
}

func (m *tokenMeter) rate(window time.Duration) float64 {
	return float64(m.tokens.Load()) / window.Seconds()
}
