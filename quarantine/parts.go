package quarantine

import "time"

// parts records which servers terminated under requests that share a part of their prompts, and decides which parts are blamed.
// Its caller holds the lock of the Book.
type parts struct {
	settings Settings
	records  map[Part]*partRecord
	// terminated holds when servers terminated under any request, by service and server.
	terminated map[string]map[string]time.Time
	sound      soundParts
	proofs     proofs
	// released holds, for each part that was blamed before, when its last end expired.
	released map[Part]time.Time
	// blamed holds the parts with sufficient evidence, those for which others account included. It is to be computed anew for the
	// parts in changed.
	blamed  map[Part]*partRecord
	changed map[Part]bool
	// rivals holds what rivalsOf has returned since ends last changed.
	rivals map[Part]map[string][]Part
	// failed holds what failedTrials has returned since ends last changed.
	failed map[Part]int
}

func newParts(settings Settings) *parts {
	return &parts{
		settings: settings, records: map[Part]*partRecord{}, terminated: map[string]map[string]time.Time{}, released: map[Part]time.Time{},
		proofs: newProofs(), blamed: map[Part]*partRecord{}, changed: map[Part]bool{}, rivals: map[Part]map[string][]Part{},
		failed: map[Part]int{},
	}
}

// add records that a server terminated under a request with these suspects, which this instance sent there if it is its own.
func (b *parts) add(request Fingerprint, server string, s Suspects, own bool, at, now time.Time) {
	if s.Service == "" {
		return
	}
	b.noteTerminated(s.Service, server, at)
	for _, p := range s.Parts.at(s.Service) {
		if b.sound.has(p, now) {
			b.proofs.noteSuspected(p, now)
			continue
		}
		b.changed[p] = true
		r := b.record(p)
		e := r.ends[server]
		if e == nil {
			e = &partEnd{at: at, requests: map[Fingerprint]bool{}, own: map[Fingerprint]bool{}}
			r.ends[server] = e
		}
		e.requests[request] = e.requests[request] || s.JustBegun
		if own {
			e.own[request] = true
		}
	}
}

func (b *parts) noteTerminated(service, server string, at time.Time) {
	servers := b.terminated[service]
	if servers == nil {
		servers = map[string]time.Time{}
		b.terminated[service] = servers
	}
	if _, known := servers[server]; !known && len(servers) < b.settings.MaxRequests {
		servers[server] = at
	}
}

// record returns the record of a part, which it adds if needed; if there are too many, one with the fewest ends is evicted.
func (b *parts) record(p Part) *partRecord {
	if r := b.records[p]; r != nil {
		return r
	}
	if len(b.records) >= b.settings.MaxRequests {
		evicted := withFewestEnds(b.records)
		delete(b.records, evicted)
		b.changed[evicted] = true
	}
	r := &partRecord{ends: map[string]*partEnd{}}
	b.records[p] = r
	return r
}

// remove takes back that a server terminated under a request with these suspects.
func (b *parts) remove(request Fingerprint, server string, s Suspects) {
	for _, p := range s.Parts.at(s.Service) {
		r := b.records[p]
		if r == nil || r.ends[server] == nil {
			continue
		}
		b.changed[p] = true
		delete(r.ends[server].requests, request)
		delete(r.ends[server].own, request)
		if len(r.ends[server].requests) == 0 {
			b.removeEnd(p, server)
		}
	}
}

func (b *parts) removeEnd(p Part, server string) {
	r := b.records[p]
	delete(r.ends, server)
	if len(r.ends) == 0 {
		delete(b.records, p)
	}
}

// prove notes that a server has run a request with a part without terminating. It returns the number of ends that no longer
// count.
func (b *parts) prove(p Part, now time.Time) int {
	b.sound.add(p, now)
	delete(b.released, p)
	r := b.records[p]
	if r == nil {
		return 0
	}
	delete(b.records, p)
	b.changed[p] = true
	if len(r.ends) >= minSharedEnds {
		b.proofs.add(p, now)
	}
	return len(r.ends)
}

// expire removes the ends that have expired. A part that was blamed until then is remembered as released.
func (b *parts) expire(now time.Time) {
	for p, r := range b.records {
		_, wasBlamed := b.blamedParts()[p]
		for server, e := range r.ends {
			if now.Sub(e.at) > b.settings.Keep {
				b.removeEnd(p, server)
				b.changed[p] = true
			}
		}
		if wasBlamed && b.records[p] == nil && len(b.released) < b.settings.MaxRequests {
			b.released[p] = now
		}
	}
	for p := range b.blamed {
		// Its share of the servers that have terminated may have fallen.
		b.changed[p] = true
	}
	for p, at := range b.released {
		if now.Sub(at) > releasedFactor*b.settings.Keep {
			delete(b.released, p)
		}
	}
	b.expireTerminated(now)
	b.proofs.expire(now, b.settings.Keep)
}

func (b *parts) expireTerminated(now time.Time) {
	for service, servers := range b.terminated {
		for server, at := range servers {
			if now.Sub(at) > b.settings.Keep {
				delete(servers, server)
			}
		}
		if len(servers) == 0 {
			delete(b.terminated, service)
		}
	}
}
