package overload

import (
	"math"
	"runtime/metrics"
	"time"
)

const (
	latencyMetric = "/sched/latencies:seconds"
	// delayQuantile is the quantile of the waits for the processor that counts as the delay of the process.
	delayQuantile = 0.99
)

// runQueue reads how long runnable goroutines wait for the processor. A ticker does not show that, since the runtime lets the goroutines
// of timers go first.
type runQueue struct {
	samples []metrics.Sample
	former  []uint64
}

func newRunQueue() *runQueue {
	return &runQueue{samples: []metrics.Sample{{Name: latencyMetric}}}
}

// read returns how long goroutines have waited since the former call.
func (q *runQueue) read() time.Duration {
	metrics.Read(q.samples)
	h := q.samples[0].Value.Float64Histogram()
	counts := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		counts[i] = n
		if i < len(q.former) {
			counts[i] -= q.former[i]
		}
	}
	q.former = append(q.former[:0], h.Counts...)
	return quantile(h.Buckets, counts, delayQuantile)
}

// quantile returns the upper bound of the bucket that holds a quantile of a histogram of seconds; 0 if the histogram is empty.
func quantile(buckets []float64, counts []uint64, share float64) time.Duration {
	all := uint64(0)
	for _, n := range counts {
		all += n
	}
	below := uint64(0)
	for i, n := range counts {
		below += n
		if n > 0 && float64(below) >= share*float64(all) {
			return seconds(buckets, i)
		}
	}
	return 0
}

// seconds returns the upper bound of a bucket, or its lower one if it has no upper.
func seconds(buckets []float64, i int) time.Duration {
	at := buckets[i+1]
	if math.IsInf(at, 1) {
		at = buckets[i]
	}
	return time.Duration(at * float64(time.Second))
}
