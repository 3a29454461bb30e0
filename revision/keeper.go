package revision

import (
	"sync"

	"junctioncross/intent"
)

// InForce is one configuration that this process acts on.
type InForce struct {
	head     Head
	document *intent.Document
	bodies   map[string][]byte
}

// Head returns the head.
func (f *InForce) Head() Head { return f.head }

// Document returns the document, which must not be changed.
func (f *InForce) Document() *intent.Document { return f.document }

// Keeper holds the configuration in force and never goes back to a lower revision.
type Keeper struct {
	mu      sync.Mutex
	current *InForce
}

// NewKeeper returns a Keeper without a configuration.
func NewKeeper() *Keeper { return &Keeper{} }

// InForce returns the configuration in force or nil.
func (k *Keeper) InForce() *InForce {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

// Revision returns the number in force, zero for none.
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

// Offer puts a head in force when it is newer, fetching the segments that are missing; it reports whether it did.
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

// putIfNewer compares again under the lock, because two offers may run at once.
func (k *Keeper) putIfNewer(next *InForce) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != nil && k.current.head.Revision >= next.head.Revision {
		return false
	}
	k.current = next
	return true
}
