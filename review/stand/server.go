package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// deskWork is the time that a request takes at its server.
const deskWork = 120 * time.Millisecond

// serverRun is one run of a request at a server.
type serverRun struct {
	method, target, body string
}

// server is a sound backend server within the process of the stand.
type server struct {
	site *site
	id   string
	work time.Duration
	http *http.Server

	mu   sync.Mutex
	runs map[string][]serverRun
	// silentUntil is the end of the present silence: until then the server sends nothing.
	silentUntil time.Time
}

// startServer starts a backend server and writes its entry.
func (s *site) startServer(id, zone string, work time.Duration) (*server, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	b := &server{site: s, id: id, work: work, runs: map[string][]serverRun{}}
	b.http = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.http.Serve(listener) }()
	s.atEnd = append(s.atEnd, func() { _ = b.http.Close() })
	return b, s.addEntry(id, listener.Addr().String(), zone)
}

// fallSilent makes the server send nothing for some time; it works on.
func (b *server) fallSilent(lasts time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silentUntil = time.Now().Add(lasts)
	b.site.out.line("server %s falls silent for %v", b.id, lasts)
}

// awaitVoice waits until the server may send.
func (b *server) awaitVoice() {
	b.mu.Lock()
	until := b.silentUntil
	b.mu.Unlock()
	time.Sleep(time.Until(until))
}

// ServeHTTP runs a request and answers with a seal.
func (b *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.runs[id] = append(b.runs[id], serverRun{method: r.Method, target: r.RequestURI, body: string(body)})
	b.mu.Unlock()
	b.site.out.line("server %s runs %s: %s %s, %d bytes", b.id, id, r.Method, r.RequestURI, len(body))
	time.Sleep(b.work)
	b.awaitVoice()
	if r.Context().Err() != nil {
		b.site.out.line("server %s: the connection of %s was closed before its answer", b.id, id)
		return
	}
	w.Header().Set("X-Server-Seal", "seal-of-"+b.id)
	_, _ = fmt.Fprintf(w, "answer to %s", id)
	b.site.out.line("server %s has answered %s", b.id, id)
}

// runsOf returns the runs of a request.
func (b *server) runsOf(id string) []serverRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// runsOf returns the runs of a request at all of some servers.
func runsOf(servers []*server, id string) []serverRun {
	var out []serverRun
	for _, b := range servers {
		out = append(out, b.runsOf(id)...)
	}
	return out
}

// startServers starts one server in each zone.
func (s *site) startServers(work time.Duration) ([]*server, error) {
	var out []*server
	for n, zone := range zones {
		b, err := s.startServer(fmt.Sprintf("i-desk-%d", n+1), zone, work)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}
