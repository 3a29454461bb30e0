package overload

import (
	"math"
	"runtime/metrics"
	"time"
)

// delayQuantile is the quantile of the waits for the processor that counts as the delay of the process.
const delayQuantile = 0.99

// The metrics of the runtime that are read, by their place among the samples.
const (
	waitsSample = iota
	mappedSample
	releasedSample
	samples
)

// runtimeMetrics reads how long runnable goroutines wait for the processor, which a ticker does not show, since the runtime lets the
// goroutines of timers go first; and how much memory the process holds.
type runtimeMetrics struct {
	samples [samples]metrics.Sample
	// former and counts are the latest histogram of waits, and by how much it has grown; they are reused.
	former, counts []uint64
}

func newRuntimeMetrics() *runtimeMetrics {
	m := &runtimeMetrics{}
	m.samples[waitsSample].Name = "/sched/latencies:seconds"
	m.samples[mappedSample].Name = "/memory/classes/total:bytes"
	m.samples[releasedSample].Name = "/memory/classes/heap/released:bytes"
	return m
}

// read returns how long goroutines have waited since the former call, and the memory in bytes.
func (m *runtimeMetrics) read() (wait time.Duration, memory uint64) {
	metrics.Read(m.samples[:])
	h := m.samples[waitsSample].Value.Float64Histogram()
	m.counts = append(m.counts[:0], h.Counts...)
	for i, n := range m.former {
		m.counts[i] -= n
	}
	m.former = append(m.former[:0], h.Counts...)
	held := m.samples[mappedSample].Value.Uint64() - m.samples[releasedSample].Value.Uint64()
	return quantile(h.Buckets, m.counts, delayQuantile), held
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
