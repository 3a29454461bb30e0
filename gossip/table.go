package gossip

import (
	"bytes"
	"sort"
	"time"
)

// Entry is one item that an instance publishes about itself or about what it observes.
type Entry struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint,omitempty"`
}

// Progress is how far the entries of an origin, the instance that published them, are known: up to a version of an incarnation.
// An instance has a new incarnation after each start.
type Progress struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Version     uint64 `cbor:"2,keyasint"`
}

// Digest tells for each origin, by name, how far its entries are known.
type Digest map[string]Progress

// Update carries the entries of one origin that the receiver lacks.
type Update struct {
	Origin   string   `cbor:"1,keyasint"`
	Progress Progress `cbor:"2,keyasint"`
	Entries  []Entry  `cbor:"3,keyasint,omitempty"`
}

// originState is what the table holds of one origin.
type originState struct {
	progress Progress
	entries  map[string]Entry
	// updatedAt is when the last update of the origin, or this instance's last heartbeat, was applied.
	updatedAt time.Time
}

// Table holds the entries that an instance knows of all instances of its domain, itself included.
type Table struct {
	self   string
	states map[string]*originState
}

// New returns a Table for the instance with the given name; incarnation must grow with each start of the instance.
func New(self string, incarnation uint64, now time.Time) *Table {
	t := &Table{self: self, states: map[string]*originState{}}
	t.states[self] = &originState{progress: Progress{Incarnation: incarnation}, entries: map[string]Entry{}, updatedAt: now}
	return t
}

// Set publishes an entry of this instance; an unchanged body is not published again.
func (t *Table) Set(key string, body []byte) {
	own := t.states[t.self]
	if old, ok := own.entries[key]; ok && bytes.Equal(old.Body, body) {
		return
	}
	own.progress.Version++
	own.entries[key] = Entry{Key: key, Version: own.progress.Version, Body: body}
}

// Heartbeat is the heartbeat of this instance: it advances its version, so that the others see that it is alive.
func (t *Table) Heartbeat(now time.Time) {
	own := t.states[t.self]
	own.progress.Version++
	own.updatedAt = now
}

// Digest returns how far the entries of each origin are known here.
func (t *Table) Digest() Digest {
	d := make(Digest, len(t.states))
	for name, o := range t.states {
		d[name] = o.progress
	}
	return d
}

// Delta returns the updates that the instance with the given digest lacks.
func (t *Table) Delta(theirs Digest) []Update {
	var out []Update
	for name, o := range t.states {
		progress := theirs[name]
		if !newer(o.progress, progress) {
			continue
		}
		u := Update{Origin: name, Progress: o.progress}
		for _, e := range o.entries {
			if progress.Incarnation != o.progress.Incarnation || e.Version > progress.Version {
				u.Entries = append(u.Entries, e)
			}
		}
		out = append(out, u)
	}
	return out
}

// newer reports whether a is ahead of b.
func newer(a, b Progress) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// Merge applies updates and reports whether any entry changed. Updates about this instance and outdated ones are ignored.
func (t *Table) Merge(updates []Update, now time.Time) bool {
	changed := false
	for _, u := range updates {
		if u.Origin == t.self {
			continue
		}
		o := t.states[u.Origin]
		if o != nil && !newer(u.Progress, o.progress) {
			continue
		}
		if o == nil || o.progress.Incarnation != u.Progress.Incarnation {
			o = &originState{entries: map[string]Entry{}}
			t.states[u.Origin] = o
			changed = true
		}
		o.updatedAt = now
		o.progress = u.Progress
		for _, e := range u.Entries {
			if e.Version > o.entries[e.Key].Version {
				o.entries[e.Key] = e
				changed = true
			}
		}
	}
	return changed
}

// Forget removes the origins from which no update has arrived for longer than limit.
func (t *Table) Forget(now time.Time, limit time.Duration) {
	for name, o := range t.states {
		if name != t.self && now.Sub(o.updatedAt) > limit {
			delete(t.states, name)
		}
	}
}

// Origin is what is known of one instance and the entries that it publishes.
type Origin struct {
	Name        string
	Incarnation uint64
	// SinceUpdate is the time since the last update; it is 0 for this instance itself.
	SinceUpdate time.Duration
	entries     map[string]Entry
}

// Entry returns the entry with the given key and whether there is one.
func (o Origin) Entry(key string) (Entry, bool) {
	e, ok := o.entries[key]
	return e, ok
}

// Each calls fn for every entry, in no particular order.
func (o Origin) Each(fn func(e Entry)) {
	for _, e := range o.entries {
		fn(e)
	}
}

// Origins returns what is known of each instance, this one included, ordered by name.
func (t *Table) Origins(now time.Time) []Origin {
	out := make([]Origin, 0, len(t.states))
	for name, o := range t.states {
		silent := now.Sub(o.updatedAt)
		if name == t.self {
			silent = 0
		}
		out = append(out, Origin{Name: name, Incarnation: o.progress.Incarnation, SinceUpdate: silent, entries: o.entries})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
