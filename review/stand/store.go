package main

import (
	"encoding/json"
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

// lease is a lease of the store with the time at which it ends.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a sound metadata store of the platform. It listens on a loopback address only.
type store struct {
	addr string
	http *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	changed  chan struct{}
}

func newStore() (*store, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	s := &store{addr: listener.Addr().String(), items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.get)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.commit)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{lease}", s.renew)
	mux.HandleFunc("DELETE /api/kv-lease-end/{lease}", s.end)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.http.Close() }

// put writes a key as the operator and the backend servers do.
func (s *store) put(key string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(item{Key: key, Value: body})
	return nil
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *store) putLocked(i item) {
	s.revision++
	i.Revision, i.Made = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Made = old.Made
	}
	s.items[i.Key] = i
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

// noteLocked adds a change to the history and wakes the watches.
func (s *store) noteLocked(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLocked ends the leases whose time is over.
func (s *store) expireLocked() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLocked(id)
		}
	}
}

// endLocked ends a lease and removes its keys.
func (s *store) endLocked(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.removeLocked(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	i, ok := s.items[r.URL.Query().Get("private_key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	q := r.URL.Query()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after_rev") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	reply(w, http.StatusOK, map[string]any{"entries": found, "more": false, "at": s.revision})
}

// since returns the changes of a prefix after a revision, the present revision and a channel that is closed at the next change.
func (s *store) since(prefix string, after int64) ([]item, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	events := []item{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseInt(q.Get("after_rev"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait_ms"))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	over := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer over.Stop()
	// Leases end while nobody calls.
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for waiting := true; ; {
		events, at, changed := s.since(q.Get("path_prefix"), after)
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-r.Context().Done():
			return
		case <-over.C:
			waiting = false
		}
	}
}

// transaction is a set of writes and removals that are applied together if all expectations hold.
type transaction struct {
	Expect []struct {
		Key      string `json:"private_key"`
		Revision int64  `json:"revision"`
	} `json:"expect_rev"`
	Put []struct {
		Key   string `json:"private_key"`
		Value []byte `json:"payload"`
		Lease int64  `json:"lease"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	held := true
	current := []item{}
	for _, e := range t.Expect {
		held = held && s.items[e.Key].Revision == e.Revision
		if i, ok := s.items[e.Key]; ok {
			current = append(current, i)
		}
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, map[string]any{"entries": current})
		return
	}
	for _, p := range t.Put {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Put {
		s.putLocked(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": body.TTL})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	id, l, ok := s.leaseLocked(r)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _, ok := s.leaseLocked(r)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLocked(id)
	w.WriteHeader(http.StatusOK)
}

// leaseLocked returns the lease that a call names.
func (s *store) leaseLocked(r *http.Request) (int64, lease, bool) {
	id, err := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	if err != nil {
		return 0, lease{}, false
	}
	l, ok := s.leases[id]
	return id, l, ok
}
