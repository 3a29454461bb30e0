package timer

import (
	"math/rand/v2"
	"time"
)

// HalfJitter returns a random delay between half of limit and limit, so that instances that failed together do not retry
// together.
func HalfJitter(limit time.Duration) time.Duration {
	return limit/2 + time.Duration(rand.Float64()*float64(limit/2))
}
