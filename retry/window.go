package retry

import "time"

// windowSlots is the number of parts of a window; the oldest part is dropped as a whole.
const windowSlots = 10

// Window allows repeats as a share of the requests of the last while, plus a fixed number, so that the sum over many
// instances that do not talk stays within a shared limit when each has its part of it.
type Window struct {
	share float64
	first *Tally
	again *Tally
}

// NewWindow returns a Window over length that allows share repeats for each request.
func NewWindow(length time.Duration, share float64, now time.Time) *Window {
	w := &Window{share: share, first: NewTally(windowSlots+1, length/windowSlots), again: NewTally(windowSlots+1, length/windowSlots)}
	// Both count in the same parts of the time.
	w.first.advance(now)
	w.again.advance(now)
	return w
}

// Limit takes over another length and share. What was counted counts on, as if it had all happened now, so that a change never allows
// more than the new limits do.
func (w *Window) Limit(length time.Duration, share float64) {
	w.share = share
	w.first.divide(length / windowSlots)
	w.again.divide(length / windowSlots)
}

// Request counts one request.
func (w *Window) Request(now time.Time) {
	w.first.Add(now)
	// Parts that end at the same moments keep a change of their length from forgetting repeats sooner than requests.
	w.again.advance(now)
}

// Take counts one repeat and reports whether it is allowed; slack repeats are allowed besides those for requests.
func (w *Window) Take(now time.Time, slack float64) bool {
	first, again := w.first.Sum(now), w.again.Sum(now)
	if float64(again+1) > w.share*float64(first)+slack {
		return false
	}
	w.again.Add(now)
	return true
}

// Left returns how many repeats would be allowed now.
func (w *Window) Left(now time.Time, slack float64) int {
	return max(int(w.share*float64(w.first.Sum(now))+slack)-w.again.Sum(now), 0)
}

// Counts returns how many requests and repeats count now.
func (w *Window) Counts(now time.Time) (requests, repeats int) {
	return w.first.Sum(now), w.again.Sum(now)
}
