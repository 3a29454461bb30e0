package revision

import (
	"sync"

	"github.com/pkg/errors"
)

// maxConcurrentFetches bounds the segments that are fetched at the same time.
const maxConcurrentFetches = 8

// collectBodies returns the bodies of a head's segments by name. Segments that cached does not have are fetched and checked
// against their hash. If fetches fail, it returns the error of one of them.
func collectBodies(head Head, cached func(hash string) ([]byte, bool), fetch func(hash string) ([]byte, error)) (map[string][]byte, error) {
	bodies := make(map[string][]byte, len(head.Segments))
	missing := map[string]string{}
	for name, hash := range head.Segments {
		if body, ok := cached(hash); ok {
			bodies[name] = body
			continue
		}
		missing[name] = hash
	}
	var mu sync.Mutex
	var fetchErr error
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFetches)
	for name, hash := range missing {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			body, err := fetch(hash)
			if err == nil && HashOf(body) != hash {
				err = errors.Errorf("revision: segment %s does not match its hash", name)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fetchErr = err
				return
			}
			bodies[name] = body
		})
	}
	wg.Wait()
	return bodies, fetchErr
}
