package relay_test

import (
	"sync"
	"testing"
	"time"

	"junctioncross/backend"
	"junctioncross/relay"
)

// notes are the words that an instance holds.
type notes struct {
	mu    sync.Mutex
	own   []backend.Word
	heard map[string]backend.Word
}

// OwnWords implements relay.Words.
func (n *notes) OwnWords(_, _ time.Time) []backend.Word {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := n.own
	n.own = nil
	return own
}

// Words implements relay.Words.
func (n *notes) Words(_, _ time.Time) []backend.Word {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []backend.Word
	for _, w := range n.heard {
		out = append(out, w)
	}
	return out
}

// Hear implements relay.Words.
func (n *notes) Hear(words []backend.Word, _ time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	worse := false
	for _, w := range words {
		worse = worse || w.Silent && !n.heard[w.ID].Silent
		n.heard[w.ID] = w
	}
	return worse
}

func (n *notes) tell(w backend.Word) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own = append(n.own, w)
}

func (n *notes) knows(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.heard[id]
	return ok
}

// TestWhatOneInstanceIsToldItsDomainKnows lets one instance of a domain learn of two servers, of which one is silent.
func TestWhatOneInstanceIsToldItsDomainKnows(t *testing.T) {
	s := newStore()
	words := map[string]*notes{}
	all := runWith(t, 4, func(int) string { return "east" },
		func(caller string) relay.Store { return view{store: s, caller: caller} },
		func(caller string) relay.Words {
			words[caller] = &notes{heard: map[string]backend.Word{}}
			return words[caller]
		}, func(string) relay.Ends { return noEnds{} })
	soon(t, func() bool { return all[0].Direct() && all[3].age() < time.Second })
	words["i-3"].tell(backend.Word{ID: "well", Total: 1})
	words["i-3"].tell(backend.Word{ID: "silent", Silent: true})
	for _, name := range []string{"i-0", "i-1", "i-2"} {
		soon(t, func() bool { return words[name].knows("well") && words[name].knows("silent") })
	}
}
