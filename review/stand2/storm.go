package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// accounts makes the configuration nearly as large as the store takes (value_bytes, 1,048,576).
	accounts = 14700
	// changeGap is gap_s of config_storm on the site, and changes how many there are: storms of 4 s, one after the other.
	changeGap = 330 * time.Millisecond
	changes   = 290
	// stormClients is how many clients send short requests to each machine.
	stormClients = 8
	// enoughCuts is how many cut requests are still taken for chance.
	enoughCuts = 3
)

// calm is how long the clients send before the first change.
const calm = 5 * time.Second

// stormCase has the operator change a large configuration again and again, while clients send short requests to two machines. LOST is broken if
// requests that a machine has passed on to a replica end without a complete answer next to the changes, over three times as often as before.
func stormCase(s *site, trouble bool) bool {
	work := func(*http.Request) time.Duration { return shortWork }
	desks := []*deskServer{newDesk(s, "i-7f3a91c2", work), newDesk(s, "i-02d9e6b4", work), newDesk(s, "i-55c0de11", work)}
	var tenants []any
	for n := range accounts {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("hule%06d", n), "api_keys": []string{fmt.Sprintf("%020x", 1<<60+n)}, "priority": 1,
		})
	}
	services := []any{desk()}
	routes := []any{route("r-unsafe", "/puxa403/", "non_idempotent", deskName, 8*time.Second)}
	s.configure(routes, services, tenants)
	s.record.line("the configuration has %d bytes", s.store.size("op/config"))
	first, second := s.addMachine("edge-ub-hall-a-1"), s.addMachine("edge-ub-hall-a-2")
	first.awaitReady(15 * time.Second)
	second.awaitReady(15 * time.Second)
	watches := []*memoryWatch{newMemoryWatch(s, first), newMemoryWatch(s, second)}
	clients := newKeptClients(s, desks, stormClients, first, second)
	time.Sleep(calm)
	before := clients.cut.Load()
	due := time.NewTicker(changeGap)
	defer due.Stop()
	for n := 0; n < changes && clients.cut.Load() <= before+enoughCuts; n++ {
		<-due.C
		if trouble {
			routes[0].(map[string]any)["timeout_ms"] = 8000 + n%2*500
			s.configure(routes, services, tenants)
		}
		if n%12 == 0 {
			s.record.line("after %d changes: %.1f and %.1f MB resident", n, first.residentMB(), second.residentMB())
		}
	}
	time.Sleep(2 * time.Second)
	clients.end()
	cut := clients.cut.Load() - before
	s.record.line("%d requests served; peaks %.1f and %.1f MB of %d; killed %d and %d times; cut after they were passed on: %d before, %d next to changes",
		clients.served.Load(), watches[0].peakMB(), watches[1].peakMB(), memoryMB, watches[0].times.Load(), watches[1].times.Load(), before, cut)
	if clients.served.Load() < 1000 {
		fail("too few requests were served")
	}
	return cut > enoughCuts && before == 0
}
