package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// uploads is how many clients send a long request at the same time: most of the 90 clients of the site's region, whose connections the
	// platform hands to one daemon for some seconds.
	uploads = 72
	// shortClients is how many others send short requests on kept connections.
	shortClients = 16
	// sheetBody is the longest body of the sheet, which the clients send without the disruption.
	sheetBody = 3600
	// linkBytes is what the link of the machine carries in a second: 1,000 Mbit/s.
	linkBytes = 125e6
	// longWork is the mean work of a request on the sheet, in the largest class.
	longWork = 60 * time.Millisecond
)

// memoryCase has most clients of a region send a request with a body of max_body_bytes each to one machine, over its one link, while a few
// others send short requests on kept connections. LOST is broken if on more than three occasions a request from a kept connection was handed on
// to a sound replica and its connection then closed with no answer.
func memoryCase(s *site, trouble bool) bool {
	size := sheetBody
	if trouble {
		size = maxBody
	}
	work := func(r *http.Request) time.Duration {
		if r.ContentLength < sheetBody {
			return shortWork
		}
		return longWork
	}
	desks := []*deskServer{newDesk(s, "i-7f3a91c2", work), newDesk(s, "i-02d9e6b4", work), newDesk(s, "i-55c0de11", work)}
	s.configure([]any{route("r-unsafe", "/puxa403/", "non_idempotent", deskName, 8*time.Second)}, []any{desk()}, nil)
	m := s.addMachine("edge-ub-hall-a-1")
	m.awaitReady(15 * time.Second)
	watch := newMemoryWatch(s, m)
	kept := newKeptClients(s, desks, shortClients, m)
	var clients []*client
	for n := range uploads {
		c, err := dial(s, m.callers)
		must(err)
		a := c.do(request{id: fmt.Sprintf("f%015x", n), method: "POST", path: "/puxa403/2f", deadline: 2500 * time.Millisecond, body: "short"})
		if a.status != http.StatusOK {
			fail("a first request got: %v", a)
		}
		clients = append(clients, c)
	}
	s.record.line("%.1f MB resident; %d clients now send %d bytes each", m.residentMB(), uploads, size)
	body := strings.Repeat("x", size)
	var all sync.WaitGroup
	var served atomic.Int64
	for n, c := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			id := fmt.Sprintf("b%015x", n)
			r := request{id: id, method: "POST", path: "/puxa403/2f", deadline: 8 * time.Second, body: body}
			a := c.doPaced(r, linkBytes/uploads)
			if a.err == nil && a.status == http.StatusOK {
				served.Add(1)
			}
			kept.note(c, id, a)
		}()
	}
	all.Wait()
	time.Sleep(time.Second)
	kept.end()
	s.record.line("%d requests served, %d of them long; peak %.1f MB of %d; killed %d times; LOST %d times", kept.served.Load(), served.Load(),
		watch.peakMB(), memoryMB, watch.times.Load(), kept.lost.Load())
	if kept.served.Load() < 50 {
		fail("too few requests were served")
	}
	return kept.lost.Load() > 3
}
