package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// deskServer is a sound replica of the plain service.
type deskServer struct {
	site     *site
	id       string
	listener net.Listener
	work     func(r *http.Request) time.Duration

	mu      sync.Mutex
	runs    map[string]int
	running int
}

const deskSlots = 192

func newDesk(s *site, id string, work func(r *http.Request) time.Duration) *deskServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	d := &deskServer{site: s, id: id, listener: listener, work: work, runs: map[string]int{}}
	server := &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go s.beat(id, deskName, listener.Addr().String(), deskSlots)
	return d
}

var bornAt = time.Now().UnixMilli()

// beat writes the entry of a replica about every heartbeat_ms.
func (s *site) beat(id, service, addr string, slots int) {
	for {
		s.store.write("servers/"+id, map[string]any{
			"service": service, "address": addr, "zone": zone, "version": "v1", "slot_count": slots, "state": "ready", "cold_left_ms": 0,
			"call_seq": 4, "born": bornAt,
		})
		time.Sleep(1200 * time.Millisecond)
	}
}

// ServeHTTP runs a request as the pages say.
func (d *deskServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", d.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != d.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if d.work == nil {
		streamEvents(d.site, w, r, d.id, wholeStream, streamEvent)
		return
	}
	d.mu.Lock()
	d.runs[id]++
	d.running++
	load := fmt.Sprintf("%d,0,%d", d.running, deskSlots)
	d.mu.Unlock()
	d.site.record.line("replica %s begins %s, body of %d bytes, tenant %s", d.id, id, len(body), r.Header.Get("X-Tenant-Name"))
	select {
	case <-time.After(d.work(r)):
	case <-r.Context().Done():
		d.site.record.line("replica %s: connection of %s has ended before its answer", d.id, id)
	}
	d.mu.Lock()
	d.running--
	d.mu.Unlock()
	w.Header().Set("X-Server-Seal", "seal-of-"+id)
	w.Header().Set("X-Instance-Load", load)
	answer := "answer to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

func (d *deskServer) ran(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}
