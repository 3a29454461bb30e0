package standin

import (
	"sort"
	"strings"
	"sync"
	"time"

	"junctioncross/kv"
)

// leasedRecord is a record and the end of its lease, zero if it has none.
type leasedRecord struct {
	record  kv.Record
	expires time.Time
}

// KV is the in-memory store of the fake key-value service: records with revisions, leases and watches.
type KV struct {
	mu       sync.Mutex
	revision kv.Revision
	records  map[string]*leasedRecord
	changed  chan struct{}
	now      func() time.Time
}

// NewKV returns an empty store that reads the time from now.
func NewKV(now func() time.Time) *KV {
	return &KV{records: map[string]*leasedRecord{}, changed: make(chan struct{}), now: now}
}

// Get returns the record under key, or false if there is none.
func (k *KV) Get(key string) (kv.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.live(key)
	if s == nil {
		return kv.Record{}, false
	}
	return s.record, true
}

// List returns the records whose keys begin with prefix, sorted by key.
func (k *KV) List(prefix string) []kv.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := []kv.Record{}
	for key := range k.records {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if s := k.live(key); s != nil {
			out = append(out, s.record)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Write stores a value if the record has the expected revision (zero: there is no record), and reports whether it did.
func (k *KV) Write(put kv.Put) (kv.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.live(put.Key)
	var have kv.Revision
	if s != nil {
		have = s.record.Revision
	}
	if have != put.Expect {
		return kv.Record{}, false
	}
	k.revision++
	next := &leasedRecord{record: kv.Record{Key: put.Key, Value: put.Value, Revision: k.revision, Created: k.revision}}
	if s != nil {
		next.record.Created = s.record.Created
	}
	if put.TTL > 0 {
		next.expires = k.now().Add(put.TTL)
	}
	k.records[put.Key] = next
	k.wake()
	return next.record, true
}

// Delete removes a record if it has the expected revision, and reports whether it did.
func (k *KV) Delete(key string, expect kv.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.live(key)
	if s == nil || s.record.Revision != expect {
		return false
	}
	delete(k.records, key)
	k.revision++
	k.wake()
	return true
}

// Wait blocks until the record has a higher revision than after and returns it, or returns false when limit fires.
func (k *KV) Wait(key string, after kv.Revision, limit <-chan time.Time) (kv.Record, bool) {
	for {
		k.mu.Lock()
		s := k.live(key)
		changed := k.changed
		k.mu.Unlock()
		if s != nil && s.record.Revision > after {
			return s.record, true
		}
		select {
		case <-changed:
		case <-limit:
			return kv.Record{}, false
		}
	}
}

// live returns the record under key, or nil if there is none or its lease has expired; k.mu must be held.
func (k *KV) live(key string) *leasedRecord {
	s := k.records[key]
	if s == nil {
		return nil
	}
	if !s.expires.IsZero() && k.now().After(s.expires) {
		delete(k.records, key)
		return nil
	}
	return s
}

func (k *KV) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}
