package revision

import (
	"sync"

	"github.com/pkg/errors"
)

// fetchesAtOnce bounds the fetches of segments that run at the same time.
const fetchesAtOnce = 8

// gather returns the bodies of a head's segments by name: those that are held, and the others fetched, several at a time.
func gather(head Head, held func(hash string) ([]byte, bool), fetch func(hash string) ([]byte, error)) (map[string][]byte, error) {
	bodies := make(map[string][]byte, len(head.Segments))
	missing := map[string]string{}
	for name, hash := range head.Segments {
		if body, ok := held(hash); ok {
			bodies[name] = body
			continue
		}
		missing[name] = hash
	}
	var mu sync.Mutex
	var failed error
	var all sync.WaitGroup
	slots := make(chan struct{}, fetchesAtOnce)
	for name, hash := range missing {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			body, err := fetch(hash)
			if err == nil && HashOf(body) != hash {
				err = errors.Errorf("revision: segment %s does not match its hash", name)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			bodies[name] = body
		})
	}
	all.Wait()
	return bodies, failed
}
