package quarantine

import (
	"strconv"
	"time"
)

// minSharedEnds is the least number of ends of a part for a proof that it is harmless to be published: fewer blame no part.
const minSharedEnds = 2

// Proof reports that a server has run a request with a part without terminating. Instances that have not served the part lately
// learn of it this way before they blame the part.
type Proof struct {
	Part Part
	// Mark distinguishes the proofs of one part, so that one which is read again does not count as a new one.
	Mark string
}

// knownProof is the latest proof of a part that was published.
type knownProof struct {
	mark string
	at   time.Time
}

// proofs holds the proofs that have yet to be published and those that were.
type proofs struct {
	pending map[Part]Proof
	known   map[Part]knownProof
	// suspectedElsewhere counts the ends in which other instances suspect a part that this one knows to be harmless.
	suspectedElsewhere map[Part]int
}

func newProofs() proofs {
	return proofs{pending: map[Part]Proof{}, known: map[Part]knownProof{}, suspectedElsewhere: map[Part]int{}}
}

// add makes a proof pending unless another one was published recently.
func (s *proofs) add(p Part, now time.Time) {
	if known, ok := s.known[p]; ok && now.Sub(known.at) < soundTime/2 {
		return
	}
	if _, ok := s.pending[p]; !ok && len(s.pending) < maxSoundParts {
		s.pending[p] = Proof{Part: p, Mark: strconv.FormatInt(now.UnixNano(), 36)}
	}
}

// noteSuspected notes that another instance suspects a part that this one knows to be harmless.
func (s *proofs) noteSuspected(p Part, now time.Time) {
	s.suspectedElsewhere[p]++
	if s.suspectedElsewhere[p] >= minSharedEnds {
		delete(s.suspectedElsewhere, p)
		s.add(p, now)
	}
}

// hear notes a proof that was published, and reports whether it is new.
func (s *proofs) hear(p Proof, now time.Time) bool {
	if s.known[p.Part].mark == p.Mark {
		return false
	}
	s.known[p.Part] = knownProof{mark: p.Mark, at: now}
	delete(s.pending, p.Part)
	delete(s.suspectedElsewhere, p.Part)
	return true
}

func (s *proofs) expire(now time.Time, keep time.Duration) {
	for p, known := range s.known {
		if now.Sub(known.at) > keep {
			delete(s.known, p)
		}
	}
	if len(s.suspectedElsewhere) > maxSoundParts {
		clear(s.suspectedElsewhere)
	}
}

// PendingProofs returns proofs that have yet to be published, up to a number.
func (b *Book) PendingProofs(limit int) []Proof {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Proof
	for _, p := range b.parts.proofs.pending {
		if len(out) == limit {
			break
		}
		out = append(out, p)
	}
	return out
}

// AddProofs applies proofs that were published, by this instance or another one.
func (b *Book) AddProofs(published []Proof, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range published {
		if b.parts.proofs.hear(p, now) {
			b.parts.prove(p.Part, now)
		}
	}
}
