package retry

import "time"

// windowSlots is the number of parts of a window; the oldest part is dropped as a whole.
const windowSlots = 10

// Window allows repeats as a share of the requests of the last while, plus a fixed number, so that the sum over many
// instances that do not talk stays within a shared limit when each has its part of it.
type Window struct {
	share float64
	slot  time.Duration
	first [windowSlots + 1]int
	again [windowSlots + 1]int
	at    int
	since time.Time
}

// NewWindow returns a Window over length that allows share repeats for each request.
func NewWindow(length time.Duration, share float64, now time.Time) *Window {
	return &Window{share: share, slot: length / windowSlots, since: now}
}

// Limit takes over another length and share. What was counted counts on, as if it had all happened now, so that a change never allows
// more than the new limits do.
func (w *Window) Limit(length time.Duration, share float64) {
	w.share = share
	if slot := length / windowSlots; slot != w.slot {
		first, again := sum(w.first[:]), sum(w.again[:])
		w.first, w.again = [windowSlots + 1]int{}, [windowSlots + 1]int{}
		w.first[w.at], w.again[w.at] = first, again
		w.slot = slot
	}
}

// Request counts one request.
func (w *Window) Request(now time.Time) {
	w.advance(now)
	w.first[w.at]++
}

// Take counts one repeat and reports whether it is allowed; slack repeats are allowed besides those for requests.
func (w *Window) Take(now time.Time, slack float64) bool {
	w.advance(now)
	if float64(sum(w.again[:])+1) > w.share*float64(sum(w.first[:]))+slack {
		return false
	}
	w.again[w.at]++
	return true
}

// Left returns how many repeats would be allowed now.
func (w *Window) Left(now time.Time, slack float64) int {
	w.advance(now)
	return max(int(w.share*float64(sum(w.first[:]))+slack)-sum(w.again[:]), 0)
}

func (w *Window) advance(now time.Time) {
	steps := int(now.Sub(w.since) / w.slot)
	if steps <= 0 {
		return
	}
	w.since = w.since.Add(time.Duration(steps) * w.slot)
	for range min(steps, len(w.first)) {
		w.at = (w.at + 1) % len(w.first)
		w.first[w.at], w.again[w.at] = 0, 0
	}
}

func sum(counts []int) int {
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}
