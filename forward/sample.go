package forward

import (
	"math"
	"slices"
	"time"
)

const (
	// maxSamples is the number of durations that a sample keeps: about ten seconds of the streams of a busy instance.
	maxSamples = 256
	// initialSamples is the number of assumed durations that a sample starts with.
	initialSamples = 16
)

// sample is the empirical distribution of the latest durations of one kind.
type sample struct {
	// latest is a ring buffer of the durations in order of arrival, with the oldest at next; sorted holds the same by length.
	latest []time.Duration
	next   int
	sorted []time.Duration
	sum    time.Duration
}

// newSample returns a sample that starts with exponentially distributed durations of the given mean.
func newSample(mean time.Duration) sample {
	var s sample
	for i := range initialSamples {
		s.add(time.Duration(-math.Log(1-(float64(i)+0.5)/initialSamples) * float64(mean)))
	}
	return s
}

// add adds a duration and drops the oldest one when the sample is full.
func (s *sample) add(d time.Duration) {
	if len(s.latest) < maxSamples {
		s.latest = append(s.latest, d)
	} else {
		oldest := s.latest[s.next]
		s.latest[s.next], s.next = d, (s.next+1)%maxSamples
		i, _ := slices.BinarySearch(s.sorted, oldest)
		s.sorted = slices.Delete(s.sorted, i, i+1)
		s.sum -= oldest
	}
	i, _ := slices.BinarySearch(s.sorted, d)
	s.sorted = slices.Insert(s.sorted, i, d)
	s.sum += d
}

func (s *sample) mean() time.Duration { return max(s.sum/time.Duration(len(s.latest)), 1) }

// quantile returns the duration below which the given part of the sample lies.
func (s *sample) quantile(part float64) time.Duration {
	return s.sorted[min(int(part*float64(len(s.sorted))), len(s.sorted)-1)]
}

// endLikelihood returns the likelihood that something that has lasted for age ends within more. What has lasted longer than
// everything in the sample is expected to last about as long again; that assumption has the weight of one duration.
func (s *sample) endLikelihood(age, more time.Duration) float64 {
	past, _ := slices.BinarySearch(s.sorted, age+1)
	ended, _ := slices.BinarySearch(s.sorted, age+more+1)
	tail := 1 - math.Exp(-float64(more)/float64(max(s.mean(), age)))
	return (float64(ended-past) + tail) / float64(len(s.sorted)-past+1)
}

// timeToEnd returns the time within which something that has lasted for age ends with the given likelihood, at most limit.
func (s *sample) timeToEnd(age time.Duration, likelihood float64, limit time.Duration) time.Duration {
	return minTime(limit, func(more time.Duration) bool { return s.endLikelihood(age, more) >= likelihood })
}

// timePrecision is the precision to which minTime works out a time: a few polls for room.
const timePrecision = 4 * roomPoll

// minTime returns the shortest time for which holds is true, at most limit. Holds must stay true for all longer times.
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
