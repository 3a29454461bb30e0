package relay_test

import (
	"context"
	"sync"
	"time"

	"junctioncross/follow"
	"junctioncross/relay"
)

// store is a fake store that a test writes to; it counts the calls of each caller.
type store struct {
	mu      sync.Mutex
	at      follow.Position
	records []relay.Record
	changed chan struct{}
	calls   map[string]int
	// ends are the records of the quarantine feed.
	ends []relay.Record
	// silent names the callers that get no answer.
	silent map[string]bool
}

func newStore() *store {
	return &store{at: 1, changed: make(chan struct{}), calls: map[string]int{}, silent: map[string]bool{}}
}

// put adds a change to the servers feed.
func (s *store) put(key string, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.records = append(s.records, relay.Record{Key: key, Revision: s.at, Gone: gone})
	close(s.changed)
	s.changed = make(chan struct{})
}

// putEnd adds a change to the quarantine feed.
func (s *store) putEnd(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.ends = append(s.ends, relay.Record{Key: key, Revision: s.at})
	close(s.changed)
	s.changed = make(chan struct{})
}

// feedRecords returns the records of a feed; the caller holds the lock.
func (s *store) feedRecords(feed follow.Feed) []relay.Record {
	switch feed {
	case follow.FeedServers:
		return s.records
	case follow.FeedQuarantine:
		return s.ends
	default:
		return nil
	}
}

func (s *store) count(caller string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[caller]
}

func (s *store) silence(caller string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[caller] = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

// view is the store as seen by one instance; it implements relay.Store.
type view struct {
	*store
	caller string
}

func (v view) recordCall() (silent bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls[v.caller]++
	return v.silent[v.caller]
}

// Ping implements relay.Store.
func (v view) Ping(ctx context.Context) error {
	if v.recordCall() {
		<-ctx.Done()
		return follow.ErrUnavailable
	}
	return nil
}

// ReadFeed implements relay.Store.
func (v view) ReadFeed(ctx context.Context, feed follow.Feed) ([]relay.Record, follow.Position, error) {
	if v.recordCall() {
		<-ctx.Done()
		return nil, 0, follow.ErrUnavailable
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]relay.Record(nil), v.feedRecords(feed)...), v.at, nil
}

// WatchFeed implements relay.Store.
func (v view) WatchFeed(
	ctx context.Context, feed follow.Feed, after follow.Position, wait time.Duration,
) ([]relay.Record, follow.Position, error) {
	v.recordCall()
	end := time.After(wait)
	for {
		v.mu.Lock()
		var records []relay.Record
		for _, r := range v.feedRecords(feed) {
			if r.Revision > after {
				records = append(records, r)
			}
		}
		at, changed, silent := v.at, v.changed, v.silent[v.caller]
		v.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, 0, follow.ErrUnavailable
		}
		if len(records) > 0 {
			return records, at, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, follow.ErrUnavailable
		}
	}
}

// Decode implements relay.Store.
func (view) Decode(records []relay.Record) []follow.Change {
	var out []follow.Change
	for _, r := range records {
		out = append(out, follow.ServerGone{ID: r.Key})
	}
	return out
}
