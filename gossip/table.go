package gossip

import (
	"bytes"
	"sort"
	"time"
)

// Entry is one fact that an origin states about itself or about what it sees.
type Entry struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint,omitempty"`
}

// Known is how far the statements of an origin are known.
type Known struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Version     uint64 `cbor:"2,keyasint"`
}

// Digest says for each origin how far its statements are known.
type Digest map[string]Known

// Update carries the statements of one origin that the receiver lacks.
type Update struct {
	Origin  string  `cbor:"1,keyasint"`
	Known   Known   `cbor:"2,keyasint"`
	Entries []Entry `cbor:"3,keyasint,omitempty"`
}

type originState struct {
	progress  Known
	entries   map[string]Entry
	updatedAt time.Time
}

// Table holds what an instance knows of the origins of its domain.
type Table struct {
	self   string
	states map[string]*originState
}

// New returns a Table for the instance of that name; incarnation must grow with every start of it.
func New(self string, incarnation uint64, now time.Time) *Table {
	t := &Table{self: self, states: map[string]*originState{}}
	t.states[self] = &originState{progress: Known{Incarnation: incarnation}, entries: map[string]Entry{}, updatedAt: now}
	return t
}

// Set states a fact about this instance; an unchanged body is not stated again.
func (t *Table) Set(key string, body []byte) {
	own := t.states[t.self]
	if old, ok := own.entries[key]; ok && bytes.Equal(old.Body, body) {
		return
	}
	own.progress.Version++
	own.entries[key] = Entry{Key: key, Version: own.progress.Version, Body: body}
}

// Beat shows the others that this instance lives.
func (t *Table) Beat(now time.Time) {
	own := t.states[t.self]
	own.progress.Version++
	own.updatedAt = now
}

// Digest returns how far every origin is known here.
func (t *Table) Digest() Digest {
	d := make(Digest, len(t.states))
	for name, o := range t.states {
		d[name] = o.progress
	}
	return d
}

// Delta returns what the holder of a digest lacks.
func (t *Table) Delta(theirs Digest) []Update {
	var out []Update
	for name, o := range t.states {
		progress := theirs[name]
		if !newer(o.progress, progress) {
			continue
		}
		u := Update{Origin: name, Known: o.progress}
		for _, e := range o.entries {
			if progress.Incarnation != o.progress.Incarnation || e.Version > progress.Version {
				u.Entries = append(u.Entries, e)
			}
		}
		out = append(out, u)
	}
	return out
}

func newer(a, b Known) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// Merge takes updates in and reports whether any entry changed; updates about this instance itself are ignored.
func (t *Table) Merge(updates []Update, now time.Time) bool {
	changed := false
	for _, u := range updates {
		if u.Origin == t.self {
			continue
		}
		o := t.states[u.Origin]
		if o != nil && !newer(u.Known, o.progress) {
			continue
		}
		if o == nil || o.progress.Incarnation != u.Known.Incarnation {
			o = &originState{entries: map[string]Entry{}}
			t.states[u.Origin] = o
			changed = true
		}
		o.updatedAt = now
		o.progress = u.Known
		for _, e := range u.Entries {
			if e.Version > o.entries[e.Key].Version {
				o.entries[e.Key] = e
				changed = true
			}
		}
	}
	return changed
}

// Forget drops the origins that were silent for longer than limit.
func (t *Table) Forget(now time.Time, limit time.Duration) {
	for name, o := range t.states {
		if name != t.self && now.Sub(o.updatedAt) > limit {
			delete(t.states, name)
		}
	}
}

// Origin is what is known of one instance.
type Origin struct {
	Name        string
	Incarnation uint64
	Silent      time.Duration
	entries     map[string]Entry
}

// Entry returns an entry by its key.
func (o Origin) Entry(key string) (Entry, bool) {
	e, ok := o.entries[key]
	return e, ok
}

// Each calls fn for every entry.
func (o Origin) Each(fn func(e Entry)) {
	for _, e := range o.entries {
		fn(e)
	}
}

// Origins returns what is known of every instance, in order of name.
func (t *Table) Origins(now time.Time) []Origin {
	out := make([]Origin, 0, len(t.states))
	for name, o := range t.states {
		silent := now.Sub(o.updatedAt)
		if name == t.self {
			silent = 0
		}
		out = append(out, Origin{Name: name, Incarnation: o.progress.Incarnation, Silent: silent, entries: o.entries})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
