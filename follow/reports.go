package follow

import (
	"time"

	"junctioncross/backend"
)

// sharingWindow is how long after the last shared report the instances count as sharing reports; normally some come
// every half second.
const sharingWindow = 2 * time.Second

// OwnWords returns the reports on servers that this instance obtained itself after a moment; a server that did not
// answer counts too.
func (b *Board) OwnWords(after, now time.Time) []backend.Word { return b.reports(after, now, true) }

// Words returns the reports on servers that this instance obtained itself or received from other instances after a
// moment.
func (b *Board) Words(after, now time.Time) []backend.Word { return b.reports(after, now, false) }

func (b *Board) reports(after, now time.Time, ownOnly bool) []backend.Word {
	var out []backend.Word
	for _, group := range b.Current().Groups() {
		for _, s := range group.Servers() {
			if w, ok := s.Word(after, now, ownOnly); ok {
				out = append(out, w)
			}
		}
	}
	return out
}

// Hear applies reports that other instances share, and reports whether they show that a server has become silent or
// slow.
func (b *Board) Hear(reports []backend.Word, now time.Time) bool {
	if len(reports) == 0 {
		return false
	}
	b.lastShared.Store(&now)
	worse := false
	for _, w := range reports {
		// A report on another incarnation of the server does not apply to this one.
		if s := b.Current().server(w.ID); s != nil && s.Incarnation().Born == w.Born {
			worse = s.Hear(w, now) || worse
		}
	}
	return worse
}

// Shared reports whether instances share their reports on servers at present.
func (b *Board) Shared(now time.Time) bool { return now.Sub(*b.lastShared.Load()) < sharingWindow }
