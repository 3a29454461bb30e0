package quarantine

import "time"

const (
	// releasedFactor is how long a released request is remembered, as a multiple of Settings.Keep. A request is released
	// when its ends expire, and is tried again then: the first server that terminates under it quarantines it again, not
	// only the third.
	releasedFactor = 6
	// minKeepShare is the share of Settings.Keep for which the record of an end lasts at least. An end whose record is gone
	// sooner was cleared by another instance.
	minKeepShare = 0.5
)

// Expire removes the ends that have expired, and forgets requests that were released long ago.
func (b *Book) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts.expire(now)
	for request, r := range b.requests {
		for server, record := range r.ends {
			if now.Sub(record.at) > b.settings.Keep {
				b.expireLocked(request, server, now)
			}
		}
	}
	for request, releasedAt := range b.released {
		if now.Sub(releasedAt) > releasedFactor*b.settings.Keep {
			delete(b.released, request)
		}
	}
}

// expireLocked removes an end that no longer counts. If the request was quarantined until then, it is remembered as
// released. The caller holds the lock.
func (b *Book) expireLocked(request Fingerprint, server string, now time.Time) {
	record := b.endLocked(request, server)
	if record == nil {
		return
	}
	expired := now.Sub(record.at) >= time.Duration(minKeepShare*float64(b.settings.Keep))
	_, wasReleased := b.released[request]
	quarantined := wasReleased || len(b.requests[request].ends) >= b.settings.Ends
	if expired && quarantined && len(b.released) < b.settings.MaxRequests {
		b.released[request] = now
	}
	b.forgetLocked(request, server)
}
