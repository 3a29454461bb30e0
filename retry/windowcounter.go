package retry

import "time"

// WindowCounter counts the events in a sliding window. The window is divided into slots of equal length, of which the oldest is
// dropped as a whole.
type WindowCounter struct {
	// slot is the length of a slot.
	slot time.Duration
	// counts holds the events of each slot, and current is the index of the latest slot.
	counts  []int
	current int
	// slotStart is when the current slot began; zero before the first use.
	slotStart time.Time
}

// NewWindowCounter returns a WindowCounter over a number of slots of length slot, including the current one.
func NewWindowCounter(slots int, slot time.Duration) *WindowCounter {
	return &WindowCounter{slot: slot, counts: make([]int, slots)}
}

// Add counts one event.
func (w *WindowCounter) Add(now time.Time) {
	w.advance(now)
	w.counts[w.current]++
}

// Sum returns the number of events in the window.
func (w *WindowCounter) Sum(now time.Time) int {
	w.advance(now)
	return w.total()
}

// setSlot changes the length of the slots. All events counted so far are counted as if they had happened in the current slot.
func (w *WindowCounter) setSlot(slot time.Duration) {
	if slot == w.slot {
		return
	}
	sum := w.total()
	clear(w.counts)
	w.counts[w.current], w.slot = sum, slot
}

func (w *WindowCounter) total() int {
	sum := 0
	for _, c := range w.counts {
		sum += c
	}
	return sum
}

func (w *WindowCounter) advance(now time.Time) {
	if w.slotStart.IsZero() {
		w.slotStart = now
	}
	steps := int(now.Sub(w.slotStart) / w.slot)
	if steps <= 0 {
		return
	}
	w.slotStart = w.slotStart.Add(time.Duration(steps) * w.slot)
	for range min(steps, len(w.counts)) {
		w.current = (w.current + 1) % len(w.counts)
		w.counts[w.current] = 0
	}
}
