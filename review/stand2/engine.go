package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	layers     = 80
	kvTotal    = 400000 * layers
	engineSlot = 192
)

// layerSpan is the range of layers that a model replica holds.
type layerSpan struct {
	From int `json:"from"`
	To   int `json:"target_version"`
}

// engineServer is a sound model replica whose memory holds the whole model. It starts empty, takes orders, and runs requests as the only part
// of their path, or as the first one.
type engineServer struct {
	site     *site
	id       string
	listener net.Listener
	// events is how many events a whole stream has, and pause the time between two of them.
	events int
	pause  time.Duration

	mu     sync.Mutex
	holds  layerSpan
	orders int
	runs   map[string]int
}

func writer() map[string]any {
	return map[string]any{
		"name": writerName, "health_path": "/health", "max_conns": 898, "protocol": "h1", "tls": false,
		"engine_kind": map[string]any{
			"slot_count": engineSlot, "kv_cap_tokens": 100000, "kv_token_bytes": 590000, "link_mbps": 480000.0, "stride": 2,
			"models":  []any{map[string]any{"name": "daka510000", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}},
			"step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512, "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512,
			"report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 6, "delays": []any{}, "usual": map[string]any{"prompt": 772, "answer": 172},
			"layers": layers, "layer_mb": 1750.0, "act_bytes": 29500, "pipe_mbps": 9000.0,
			"kinds": []any{map[string]any{"name": "h100", "mb": 376000.0, "pace": 1.4, "read_x": 1.0}},
		},
	}
}

func newEngine(s *site, id string, events int, pause time.Duration) *engineServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	e := &engineServer{site: s, id: id, listener: listener, events: events, pause: pause, runs: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", e.report)
	mux.HandleFunc("POST /api/order", e.order)
	mux.HandleFunc("/", e.stream)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			e.announce()
		}
	}()
	e.announce()
	return e
}

func (e *engineServer) announce() {
	e.mu.Lock()
	entry := map[string]any{
		"service": writerName, "address": e.listener.Addr().String(), "zone": zone, "version": "v1", "slot_count": engineSlot, "state": "ready",
		"cold_left_ms": 0, "call_seq": e.orders, "born": bornAt, "stage": "dual", "kind": "h100", "models": modelsOf(e.holds), "layers": e.holds,
	}
	e.mu.Unlock()
	e.site.store.write("servers/"+e.id, entry)
}

func modelsOf(l layerSpan) []any {
	if l.To == 0 {
		return []any{}
	}
	return []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}}
}

func (e *engineServer) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"stage": "dual", "models": modelsOf(e.holds), "active": false, "call_seq": e.orders, "queued": 0, "running": 0, "kv_used": 0,
		"kv_total": kvTotal, "handles": 0, "pace": 1.0, "layers": e.holds, "born": bornAt, "kind": "h100", "stalled": []any{},
	})
}

func (e *engineServer) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op     string `json:"op"`
		From   int    `json:"from"`
		To     int    `json:"target_version"`
		Expect *int   `json:"expect_rev"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.Op != "place" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.mu.Lock()
	if o.Expect != nil && *o.Expect != e.orders {
		e.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders++
	e.holds = layerSpan{From: o.From, To: o.To}
	e.mu.Unlock()
	e.site.record.line("replica %s is ordered to hold layers %d to %d", e.id, o.From, o.To)
	e.announce()
	w.WriteHeader(http.StatusAccepted)
}

// stream answers with events whose ids rise from 0, or from the one after Last-Event-Id.
func (e *engineServer) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	holds := e.holds
	e.mu.Unlock()
	want := fmt.Sprintf("%s=%d-%d", e.listener.Addr(), holds.From, holds.To)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id || holds.To != layers || r.Header.Get("Path") != want {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	streamEvents(e.site, w, r, e.id, e.events, e.pause)
}

// streamEvents writes the events of a stream, as every sound replica does on a streaming route.
func streamEvents(s *site, w http.ResponseWriter, r *http.Request, replica string, events int, pause time.Duration) {
	id, from := r.Header.Get("X-Request-Id"), 0
	if last := strings.TrimSpace(r.Header.Get("Last-Event-Id")); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		from = n + 1
	}
	s.record.line("replica %s begins stream %s, Last-Event-Id %q", replica, id, r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Server-Seal", "seal-of-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Versions", "1")
	flusher := w.(http.Flusher)
	for n := from; n < events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
	}
}
