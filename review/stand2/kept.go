package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// keptClients send short requests that may not be repeated, each on a connection that they keep, until they are stopped.
type keptClients struct {
	site  *site
	desks []*deskServer
	stop  atomic.Bool
	all   sync.WaitGroup
	// served counts whole answers, cut the requests that a replica has run and whose connection then ended without a complete answer, and lost
	// those of them that came on a connection with earlier answers.
	served, cut, lost atomic.Int64
}

// shortWork is the work of one short request; the longest one on the site takes 220 ms.
const shortWork = 150 * time.Millisecond

func newKeptClients(s *site, desks []*deskServer, perMachine int, machines ...*machine) *keptClients {
	k := &keptClients{site: s, desks: desks}
	for i, m := range machines {
		for n := range perMachine {
			k.all.Add(1)
			go k.run(m, fmt.Sprintf("a%01x%02x", i, n))
		}
	}
	return k
}

func (k *keptClients) run(m *machine, name string) {
	defer k.all.Done()
	for n := 0; !k.stop.Load(); n++ {
		c, err := dial(k.site, m.callers)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for k.ask(c, fmt.Sprintf("%s%012x", name, n)) {
			n++
		}
		_ = c.conn.Close()
	}
}

// ask makes one request and reports whether the client goes on with the connection.
func (k *keptClients) ask(c *client, id string) bool {
	if k.stop.Load() {
		return false
	}
	a := c.do(request{id: id, method: "POST", path: "/puxa403/2f", deadline: 2500 * time.Millisecond, body: "short"})
	k.note(c, id, a)
	return a.err == nil && a.status == http.StatusOK && !a.closes
}

// note counts what came of a request on a kept connection.
func (k *keptClients) note(c *client, id string, a answer) {
	switch {
	case a.err == nil && a.status == http.StatusOK:
		k.served.Add(1)
	case a.err != nil && ranAny(k.desks, id):
		k.cut.Add(1)
		if c.answered > 0 {
			k.lost.Add(1)
		}
		k.site.record.line("LOST: %s was handed on to a sound replica, after %d answers on its connection; its client: %v", id, c.answered, a)
	default:
		k.site.record.line("client of %s: %v", id, a)
	}
}

// end stops the clients.
func (k *keptClients) end() {
	k.stop.Store(true)
	k.all.Wait()
}

func ranAny(desks []*deskServer, id string) bool {
	for _, d := range desks {
		if d.ran(id) > 0 {
			return true
		}
	}
	return false
}
