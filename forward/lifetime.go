package forward

import (
	"math"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
)

const (
	// ratioUnit stands for the ratio one in a sample of ratios.
	ratioUnit = time.Second
	// percent makes whole numbers of ratios.
	percent = 100.0
	// safeQuantile is the part of the answers that last no longer than what is counted on where a cut would be the price.
	safeQuantile = 0.95
	// usualQuantile is the same where a stream that lasts longer is cut at the end of a server, and one that does not is moved in vain.
	usualQuantile = 0.8
	// overdueFraction is the part of its expected time that an answer is taken to last which has lasted for longer than expected.
	overdueFraction = 0.25
)

// recordLifetime takes into account how long an answer took for which a time was predicted.
func (q *queue) recordLifetime(seen, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ratios.add(time.Duration(float64(seen) / float64(predicted) * float64(ratioUnit)))
}

// lifetimeQuantile returns the time that a part of the answers with such a prediction last at most, by what was seen of others: predictions count
// steps and the caller's estimate of its answer, not how many steps servers run at once.
func (q *queue) lifetimeQuantile(predicted time.Duration, part float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(float64(predicted) * float64(q.ratios.quantile(part)) / float64(ratioUnit))
}

// predictedLifetime returns how long an answer takes on a path by the cost model.
func predictedLifetime(need chain.Need, path chain.Path) time.Duration {
	return path.Read + time.Duration(need.Tokens-need.Prompt)*path.Step
}

// begin notes that an attempt starts, and how long its answer is expected to take: what is left of it, when it goes on elsewhere.
func (f *inflight) begin(h *Handler, path chain.Path, attempt int) {
	left := f.left(h)
	predicted := predictedLifetime(f.need, path)
	usual := h.queueOf(f.first.Service()).lifetimeQuantile(predicted, usualQuantile)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.earlierServers = append([]*backend.Server(nil), f.r.ran...)
	f.attemptStart, f.predictedLifetime, f.life = h.clock.Now(), predicted, usual
	f.minLeft = time.Duration(overdueFraction * float64(usual))
	f.verified = false
	f.moved.Store(false)
	if attempt > 1 && f.r.x.Begun() {
		f.life, f.predictedLifetime = left, 0
	}
}

// left returns how much longer the stream is expected to last.
func (f *inflight) left(h *Handler) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.life-h.clock.Since(f.attemptStart), f.minLeft)
}

// observeLifetime compares how long a whole answer took with what was predicted; answers that went on elsewhere tell nothing.
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

// observeRatio keeps how long something took as a part of what was predicted for it.
func (h *Handler) observeRatio(what string, seen, predicted time.Duration) {
	if predicted > 0 {
		h.stats.Histogram(what + "_of_predicted_percent").Update(int64(math.Round(percent * float64(seen) / float64(predicted))))
	}
}
