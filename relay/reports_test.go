package relay_test

import (
	"sync"
	"testing"
	"time"

	"junctioncross/backend"
	"junctioncross/relay"
)

// fakeReports holds the shared reports of one instance in memory.
type fakeReports struct {
	mu       sync.Mutex
	unsent   []backend.SharedReport
	received map[string]backend.SharedReport
}

// OwnReports implements relay.SharedReports.
func (r *fakeReports) OwnReports(_, _ time.Time) []backend.SharedReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.unsent
	r.unsent = nil
	return own
}

// Reports implements relay.SharedReports.
func (r *fakeReports) Reports(_, _ time.Time) []backend.SharedReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []backend.SharedReport
	for _, w := range r.received {
		out = append(out, w)
	}
	return out
}

// ApplySharedReports implements relay.SharedReports.
func (r *fakeReports) ApplySharedReports(reports []backend.SharedReport, _ time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	worse := false
	for _, w := range reports {
		worse = worse || w.Silent && !r.received[w.ID].Silent
		r.received[w.ID] = w
	}
	return worse
}

func (r *fakeReports) add(w backend.SharedReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent = append(r.unsent, w)
}

func (r *fakeReports) knows(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.received[id]
	return ok
}

// TestReportsOfOneInstanceReachItsDomain gives one instance of a domain reports on two servers, of which one is silent.
func TestReportsOfOneInstanceReachItsDomain(t *testing.T) {
	s := newStore()
	reports := map[string]*fakeReports{}
	all := runWith(t, 4, func(int) string { return "east" },
		func(caller string) relay.Store { return view{store: s, caller: caller} },
		func(caller string) relay.SharedReports {
			reports[caller] = &fakeReports{received: map[string]backend.SharedReport{}}
			return reports[caller]
		}, func(string) relay.Ends { return noEnds{} })
	soon(t, func() bool { return all[0].Direct() && all[3].age() < time.Second })
	reports["i-3"].add(backend.SharedReport{ID: "well", Total: 1})
	reports["i-3"].add(backend.SharedReport{ID: "silent", Silent: true})
	for _, name := range []string{"i-0", "i-1", "i-2"} {
		soon(t, func() bool { return reports[name].knows("well") && reports[name].knows("silent") })
	}
}
