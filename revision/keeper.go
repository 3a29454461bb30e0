package revision

import (
	"sync"

	"junctioncross/intent"
)

// InForce is a configuration that this process applies, with the bodies of its segments by hash.
type InForce struct {
	head     Head
	document *intent.Document
	bodies   map[string][]byte
}

// Head returns the head of the configuration.
func (f *InForce) Head() Head { return f.head }

// Document returns the configuration's document, which callers must not modify.
func (f *InForce) Document() *intent.Document { return f.document }

// Keeper holds the configuration in force and never replaces it by one with a lower revision.
type Keeper struct {
	mu      sync.Mutex
	current *InForce
}

// NewKeeper returns a Keeper without a configuration.
func NewKeeper() *Keeper { return &Keeper{} }

// InForce returns the configuration in force, or nil if there is none yet.
func (k *Keeper) InForce() *InForce {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// Revision returns the number of the configuration in force, or zero if there is none yet.
func (k *Keeper) Revision() Number {
	if f := k.InForce(); f != nil {
		return f.head.Revision
	}
	return 0
}

// Body returns the content of a segment of the configuration in force.
func (k *Keeper) Body(hash string) ([]byte, bool) {
	f := k.InForce()
	if f == nil {
		return nil, false
	}
	body, ok := f.bodies[hash]
	return body, ok
}

// Offer puts the configuration of a head in force if it is newer than the present one, and reports whether it did. It
// fetches only segments that the present configuration does not have.
func (k *Keeper) Offer(head Head, fetch func(hash string) ([]byte, error)) (bool, error) {
	if head.Revision <= k.Revision() {
		return false, nil
	}
	byName, err := collectBodies(head, k.Body, fetch)
	if err != nil {
		return false, err
	}
	document, err := Join(byName)
	if err != nil {
		return false, err
	}
	byHash := make(map[string][]byte, len(byName))
	for name, hash := range head.Segments {
		byHash[hash] = byName[name]
	}
	return k.putIfNewer(&InForce{head: head, document: document, bodies: byHash}), nil
}

// putIfNewer compares the revisions again under the lock, because two calls of Offer may run at the same time.
func (k *Keeper) putIfNewer(next *InForce) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != nil && k.current.head.Revision >= next.head.Revision {
		return false
	}
	k.current = next
	return true
}
