package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or its removal in the history.
type item struct {
	Key      string `json:"private_key"`
	Value    []byte `json:"payload,omitempty"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

// store is the platform's store, as the pages describe it.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{}
	// compacted is the revision up to which the history is gone.
	compacted int64
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// pageItems is the most items of one page of a range.
const pageItems = 500

func newStore(addr string) *store {
	listener, err := net.Listen("tcp4", addr)
	must(err)
	s := &store{listener: listener, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.span)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.commit)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{lease}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{lease}", s.end)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go s.expireAll()
	return s
}

func (s *store) addr() string { return s.listener.Addr().String() }

func (s *store) expireAll() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.endLocked(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLocked ends a lease and removes its keys.
func (s *store) endLocked(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.removeLocked(k)
		}
	}
}

// write writes a key as the platform does, and returns when the store has taken it.
func (s *store) write(key string, value any) time.Time {
	body, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, body, 0)
	return time.Now()
}

// size returns the number of bytes of a value.
func (s *store) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}

func (s *store) putLocked(key string, value []byte, lease int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Made: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Made = old.Made
	}
	s.items[key] = i
	s.noteLocked(i)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.noteLocked(item{Key: key, Revision: s.revision, Gone: true})
}

// maxHistory keeps the history of some 20 s (history_s) from growing without end.
const maxHistory = 2000

func (s *store) noteLocked(i item) {
	s.history = append(s.history, i)
	if len(s.history) > maxHistory {
		s.compacted = s.history[len(s.history)-maxHistory/2-1].Revision
		s.history = append([]item(nil), s.history[len(s.history)-maxHistory/2:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("private_key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) span(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	found := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("path_prefix")) && k > q.Get("after_rev") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	reply(w, http.StatusOK, map[string]any{"entries": found[:min(len(found), pageItems)], "more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, at, changed, gone := s.since(q.Get("path_prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-over:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after int64) (events []item, at int64, changed <-chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed, after < s.compacted
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string `json:"private_key"`
			Revision int64  `json:"revision"`
		} `json:"expect_rev"`
		Put    []item   `json:"put"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, present := false, []item{}
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if ok {
			present = append(present, i)
		}
		failed = failed || i.Revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"entries": present})
		return
	}
	for _, p := range t.Put {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Put {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.removeLocked(k)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var g struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&g)
	ttl := time.Duration(max(g.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLocked(id)
	reply(w, http.StatusOK, map[string]any{})
}
