package follow

import (
	"time"

	"junctioncross/backend"
)

// sharingWindow is how long after the last word of another instance the words of all count as shared: they come every half second.
const sharingWindow = 2 * time.Second

// OwnWords returns what this instance was told by servers, or not told, after a moment.
func (b *Board) OwnWords(after, now time.Time) []backend.Word { return b.reports(after, now, true) }

// Words returns what this instance was told by servers and by other instances after a moment.
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

// Hear takes over what other instances pass on, and reports whether a server turned bad by it.
func (b *Board) Hear(reports []backend.Word, now time.Time) bool {
	if len(reports) == 0 {
		return false
	}
	b.lastShared.Store(&now)
	worse := false
	for _, w := range reports {
		// A word on another start of the server says nothing of this one.
		if s := b.Current().server(w.ID); s != nil && s.Incarnation().Born == w.Born {
			worse = s.Hear(w, now) || worse
		}
	}
	return worse
}

// Shared reports whether instances pass on to each other what servers tell them.
func (b *Board) Shared(now time.Time) bool { return now.Sub(*b.lastShared.Load()) < sharingWindow }
