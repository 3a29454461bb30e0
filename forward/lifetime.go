package forward

import (
	"math"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
)

const (
	// ratioUnit is the duration that stands for the ratio 1 in a sample of ratios, since samples hold durations.
	ratioUnit = time.Second
	// percent scales ratios to the whole numbers that histograms take.
	percent = 100.0
	// safeQuantile is the quantile of the lifetimes that is used where a stream that lasts longer would be cut.
	safeQuantile = 0.95
	// usualQuantile is the quantile that is used where errors on both sides have a cost: a stream that lasts longer is cut when
	// its server ends, and one that ends earlier was moved needlessly.
	usualQuantile = 0.8
	// overdueFraction is the fraction of its expected lifetime that a stream is assumed to need still once it has exceeded
	// that lifetime.
	overdueFraction = 0.25
	// maxRatio bounds the ratios that count, and maxPredicted the predicted times: both are far beyond what can be true of a stream, and what
	// is computed from them stays within the range of time.Duration.
	maxRatio     = 1e6
	maxPredicted = 24 * time.Hour
)

// recordLifetime records the ratio of an answer's lifetime to the predicted one, unless the prediction can't be meant.
func (q *queue) recordLifetime(seen, predicted time.Duration) {
	if predicted <= 0 || float64(seen) > maxRatio*float64(predicted) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ratios.add(time.Duration(float64(seen) / float64(predicted) * float64(ratioUnit)))
}

// lifetimeQuantile returns the time within which the given quantile of the answers with such a prediction end, by the ratios
// of earlier answers: predictions count steps and the caller's estimate of its answer, but not how many steps servers run at
// once.
func (q *queue) lifetimeQuantile(predicted time.Duration, quantile float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(min(float64(predicted)*float64(q.ratios.quantile(quantile))/float64(ratioUnit), float64(maxPredicted)))
}

// predictedLifetime returns how long an answer takes on a path by the cost model.
func predictedLifetime(need chain.Need, path chain.Path) time.Duration {
	steps := float64(need.Tokens-need.Prompt) * float64(path.Step)
	return time.Duration(min(max(float64(path.Read)+steps, 0), float64(maxPredicted)))
}

// beginAttempt records that an attempt starts and how long its answer is expected to take; an attempt that resumes a stream takes
// what is left of it.
func (f *inflight) beginAttempt(h *Handler, path chain.Path, attempt int) {
	left := f.expectedLeft(h)
	predicted := predictedLifetime(f.need, path)
	usual := h.usualLifetime(f, predicted)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.earlierServers = append([]*backend.Server(nil), f.r.ran...)
	f.attemptStart, f.predictedLifetime, f.expectedLifetime = h.clock.Now(), predicted, usual
	f.minLeft = time.Duration(overdueFraction * float64(usual))
	f.verified, f.unknownSince = false, time.Time{}
	f.harmless, f.answeredAt = false, time.Time{}
	f.progressed.Store(false)
	if attempt > 1 && f.r.x.Begun() {
		f.expectedLifetime, f.predictedLifetime = left, 0
	}
}

// usualLifetime returns the time within which most answers like that of a stream end; predicted is what the cost model says.
func (h *Handler) usualLifetime(f *inflight, predicted time.Duration) time.Duration {
	if f.plain {
		return h.plainTimes.quantile(f.r, usualQuantile)
	}
	return h.queueOf(f.first.Service()).lifetimeQuantile(predicted, usualQuantile)
}

// expectedLeft returns how much longer the stream is expected to last.
func (f *inflight) expectedLeft(h *Handler) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.expectedLifetime-h.clock.Since(f.attemptStart), f.minLeft)
}

// observeLifetime compares how long a whole answer took with the prediction; streams that were resumed have none and are left
// out.
func (h *Handler) observeLifetime(f *inflight) {
	f.mu.Lock()
	seen, predicted := h.clock.Since(f.attemptStart), f.predictedLifetime
	f.mu.Unlock()
	if predicted <= 0 {
		return
	}
	h.queueOf(f.first.Service()).recordLifetime(seen, predicted)
	h.observeRatio("life", seen, predicted)
}

// observeRatio exports how long something took, in percent of what was predicted for it.
func (h *Handler) observeRatio(what string, seen, predicted time.Duration) {
	if predicted > 0 {
		h.stats.Histogram(what + "_of_predicted_percent").Update(int64(math.Round(percent * float64(seen) / float64(predicted))))
	}
}
