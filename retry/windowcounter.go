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
func (t *WindowCounter) Add(now time.Time) {
	t.advance(now)
	t.counts[t.current]++
}

// Sum returns the number of events in the window.
func (t *WindowCounter) Sum(now time.Time) int {
	t.advance(now)
	return t.total()
}

// setSlot changes the length of the slots. All events counted so far are counted as if they had happened in the current slot.
func (t *WindowCounter) setSlot(slot time.Duration) {
	if slot == t.slot {
		return
	}
	sum := t.total()
	clear(t.counts)
	t.counts[t.current], t.slot = sum, slot
}

func (t *WindowCounter) total() int {
	sum := 0
	for _, c := range t.counts {
		sum += c
	}
	return sum
}

func (t *WindowCounter) advance(now time.Time) {
	if t.slotStart.IsZero() {
		t.slotStart = now
	}
	steps := int(now.Sub(t.slotStart) / t.slot)
	if steps <= 0 {
		return
	}
	t.slotStart = t.slotStart.Add(time.Duration(steps) * t.slot)
	for range min(steps, len(t.counts)) {
		t.current = (t.current + 1) % len(t.counts)
		t.counts[t.current] = 0
	}
}
