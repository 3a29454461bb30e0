package retry

import "time"

// Tally counts events of the last while in equal parts of the time, of which the oldest is forgotten as a whole.
type Tally struct {
	slot   time.Duration
	counts []int
	at     int
	// since is when the present part began; zero before the first use.
	since time.Time
}

// NewTally returns a Tally over so many parts of length slot, the present one included.
func NewTally(slots int, slot time.Duration) *Tally {
	return &Tally{slot: slot, counts: make([]int, slots)}
}

// Add counts one event.
func (t *Tally) Add(now time.Time) {
	t.advance(now)
	t.counts[t.at]++
}

// Sum returns how many events there were.
func (t *Tally) Sum(now time.Time) int {
	t.advance(now)
	return t.total()
}

// divide takes over another length of the parts; what was counted counts as if it had all happened now.
func (t *Tally) divide(slot time.Duration) {
	if slot == t.slot {
		return
	}
	all := t.total()
	clear(t.counts)
	t.counts[t.at], t.slot = all, slot
}

func (t *Tally) total() int {
	all := 0
	for _, c := range t.counts {
		all += c
	}
	return all
}

func (t *Tally) advance(now time.Time) {
	if t.since.IsZero() {
		t.since = now
	}
	steps := int(now.Sub(t.since) / t.slot)
	if steps <= 0 {
		return
	}
	t.since = t.since.Add(time.Duration(steps) * t.slot)
	for range min(steps, len(t.counts)) {
		t.at = (t.at + 1) % len(t.counts)
		t.counts[t.at] = 0
	}
}
