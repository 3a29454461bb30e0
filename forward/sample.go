package forward

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleMost is the number of durations that a sample keeps: some ten seconds of a busy instance's streams.
	sampleMost = 256
	// initialSamples is the number of durations that stand for what is assumed before any was seen.
	initialSamples = 16
)

// sample is the distribution of the latest durations of one kind.
type sample struct {
	// latest holds them in the order in which they came, from next on, and sorted by length.
	latest []time.Duration
	next   int
	sorted []time.Duration
	sum    time.Duration
}

// newSample returns a sample of durations that end at a constant rate, until others are seen.
func newSample(mean time.Duration) sample {
	var s sample
	for i := range initialSamples {
		s.add(time.Duration(-math.Log(1-(float64(i)+0.5)/initialSamples) * float64(mean)))
	}
	return s
}

// add takes a duration in and forgets the oldest one when there are enough.
func (s *sample) add(d time.Duration) {
	if len(s.latest) < sampleMost {
		s.latest = append(s.latest, d)
	} else {
		oldest := s.latest[s.next]
		s.latest[s.next], s.next = d, (s.next+1)%sampleMost
		i, _ := slices.BinarySearch(s.sorted, oldest)
		s.sorted = slices.Delete(s.sorted, i, i+1)
		s.sum -= oldest
	}
	i, _ := slices.BinarySearch(s.sorted, d)
	s.sorted = slices.Insert(s.sorted, i, d)
	s.sum += d
}

// mean returns the mean duration.
func (s *sample) mean() time.Duration { return max(s.sum/time.Duration(len(s.latest)), 1) }

// quantile returns the duration below which a part of them lie.
func (s *sample) quantile(part float64) time.Duration {
	return s.sorted[min(int(part*float64(len(s.sorted))), len(s.sorted)-1)]
}

// endLikelihood returns the likelihood that what has lasted for a time ends within some more. What has lasted longer than anything seen
// is taken to last as long again in the mean, with the weight of one duration.
func (s *sample) endLikelihood(age, more time.Duration) float64 {
	past, _ := slices.BinarySearch(s.sorted, age+1)
	ended, _ := slices.BinarySearch(s.sorted, age+more+1)
	tail := 1 - math.Exp(-float64(more)/float64(max(s.mean(), age)))
	return (float64(ended-past) + tail) / float64(len(s.sorted)-past+1)
}

// timeToEnd returns after how much more time what has lasted for a time has ended with a likelihood, at most a limit.
func (s *sample) timeToEnd(age time.Duration, likelihood float64, limit time.Duration) time.Duration {
	return minTime(limit, func(more time.Duration) bool { return s.endLikelihood(age, more) >= likelihood })
}

// timePrecision is the precision to which times are worked out; a few looks for room.
const timePrecision = 4 * roomPoll

// minTime returns the least time for which something holds that holds ever after, at most a limit.
func minTime(limit time.Duration, holds func(time.Duration) bool) time.Duration {
	low, high := time.Duration(0), limit
	for high-low > timePrecision {
		middle := (low + high) / 2
		if holds(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}
