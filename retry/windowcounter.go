package retry

import "time"

// Tally counts events of the last while in equal parts of the time, of which the oldest is forgotten as a whole.
type Tally struct {
	slot    time.Duration
	counts  []int
	current int
	// slotStart is when the present part began; zero before the first use.
	slotStart time.Time
}

// NewTally returns a Tally over so many parts of length slot, the present one included.
func NewTally(slots int, slot time.Duration) *Tally {
	return &Tally{slot: slot, counts: make([]int, slots)}
}

// Add counts one event.
func (t *Tally) Add(now time.Time) {
	t.advance(now)
	t.counts[t.current]++
}

// Sum returns how many events there were.
func (t *Tally) Sum(now time.Time) int {
	t.advance(now)
	return t.total()
}

// setSlot takes over another length of the parts; what was counted counts as if it had all happened now.
func (t *Tally) setSlot(slot time.Duration) {
	if slot == t.slot {
		return
	}
	sum := t.total()
	clear(t.counts)
	t.counts[t.current], t.slot = sum, slot
}

func (t *Tally) total() int {
	sum := 0
	for _, c := range t.counts {
		sum += c
	}
	return sum
}

func (t *Tally) advance(now time.Time) {
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
