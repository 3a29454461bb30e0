package quarantine

import "slices"

// Unpublished returns ends that have to be written to the store, and cleared ones that have to be removed from it, up to a
// total number.
func (b *Book) Unpublished(limit int) (ends, cleared []End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cleared = slices.Clone(b.cleared[:min(limit, len(b.cleared))])
	for request, r := range b.requests {
		for server, record := range r.ends {
			if len(ends)+len(cleared) >= limit {
				return ends, cleared
			}
			if record.state == confirmed {
				ends = append(ends, End{
					Request: request, Server: server, Attempt: record.attempts[0], Suspects: record.suspects,
				})
			}
		}
	}
	return ends, cleared
}

// MarkPublished records that what Unpublished returned was written.
func (b *Book) MarkPublished(ends, cleared []End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range ends {
		if record := b.endLocked(e.Request, e.Server); record != nil {
			record.state, record.publishedHere = max(record.state, published), true
		}
	}
	b.cleared = b.cleared[len(cleared):]
}

// Republish has the ends that this instance wrote written once more, since the store may have lost them. Ends that other
// instances wrote are left to them, and count here as before.
func (b *Book) Republish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.requests {
		for _, record := range r.ends {
			if record.publishedHere {
				record.state = confirmed
			}
		}
	}
	select {
	case b.republish <- struct{}{}:
	default:
	}
}
