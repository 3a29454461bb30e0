package control

import "junctioncross/gossip"

// entryKey identifies a gossip entry.
type entryKey struct {
	origin string
	key    string
}

// decoded is the decoded body of one version of an entry; ok is false if it could not be decoded.
type decoded[T any] struct {
	version gossip.Progress
	value   T
	ok      bool
}

// cache keeps the decoded bodies of gossip entries, which are read far more often than they change.
type cache[T any] struct {
	bodies map[entryKey]decoded[T]
}

func newCache[T any]() *cache[T] { return &cache[T]{bodies: map[entryKey]decoded[T]{}} }

// get returns the decoded body of an origin's entry, and false if there is none or it cannot be decoded.
func (c *cache[T]) get(o gossip.Origin, key string) (T, bool) {
	e, ok := o.Entry(key)
	if !ok {
		var zero T
		return zero, false
	}
	at := entryKey{origin: o.Name, key: key}
	version := gossip.Progress{Incarnation: o.Incarnation, Version: e.Version}
	if d, ok := c.bodies[at]; ok && d.version == version {
		return d.value, d.ok
	}
	value, ok := decode[T](e.Body)
	c.bodies[at] = decoded[T]{version: version, value: value, ok: ok}
	return value, ok
}
