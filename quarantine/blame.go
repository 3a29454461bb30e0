package quarantine

import "time"

// Unproven returns those of the parts that no server is known to have lately run without terminating.
func (b *Book) Unproven(of []Part, now time.Time) []Part {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Part
	for _, p := range of {
		if !b.parts.sound.has(p, now) {
			out = append(out, p)
		}
	}
	return out
}

// Prove notes that a server has run a request with these parts without terminating: one that terminates every server that begins it
// never gets so far. It returns the number of ends that no longer count against them.
func (b *Book) Prove(of []Part, now time.Time) int {
	if len(of) == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	ends := 0
	for _, p := range of {
		ends += b.parts.prove(p, now)
	}
	return ends
}

// QuarantinedPart returns the part for which a request with these parts is quarantined, if any, and for how long: until its next trial
// may have proved it harmless, or else until its ends expire.
func (b *Book) QuarantinedPart(of []Part, now time.Time) (part Part, left time.Duration, ok bool) {
	if b.Size() == 0 || len(of) == 0 {
		return Part{}, 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	part, latest, ok := b.parts.quarantined(of)
	if !ok {
		return Part{}, 0, false
	}
	left = max(b.settings.Keep-now.Sub(latest), 0)
	if due, ok := b.parts.trialDue(part, b.parts.records[part]); ok {
		left = min(left, max(due.Sub(now), 0)+trialPeriod)
	}
	return part, left, true
}

// Parts returns the number of parts under which servers have terminated.
func (b *Book) Parts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.parts.records)
}
