package relay_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"junctioncross/backend"
	"junctioncross/relay"
)

// fakeFindings is a relay.SharedReports that keeps findings only. The time at which each came is kept too.
type fakeFindings struct {
	mu     sync.Mutex
	own    []backend.Finding
	came   map[string]time.Time
	known  []backend.Finding
	at     []time.Time
	urgent chan struct{}
}

func newFakeFindings() *fakeFindings {
	return &fakeFindings{came: map[string]time.Time{}, urgent: make(chan struct{}, 1)}
}

// UrgentFindings says when make was called.
func (r *fakeFindings) UrgentFindings() <-chan struct{} { return r.urgent }

// OwnReports implements relay.SharedReports.
func (r *fakeFindings) OwnReports(_, _ time.Time) []backend.SharedReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []backend.SharedReport{{Findings: r.own}}
}

// Reports implements relay.SharedReports.
func (r *fakeFindings) Reports(after, _ time.Time) []backend.SharedReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []backend.Finding
	for i, f := range r.known {
		if r.at[i].After(after) {
			out = append(out, f)
		}
	}
	return []backend.SharedReport{{Findings: out}}
}

// ApplySharedReports implements relay.SharedReports.
func (r *fakeFindings) ApplySharedReports(reports []backend.SharedReport, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	worse := false
	for _, one := range reports {
		for _, f := range one.Findings {
			if _, known := r.came[f.Server]; !known {
				r.came[f.Server], worse = now, true
				r.known, r.at = append(r.known, f), append(r.at, now)
			}
		}
	}
	return worse
}

func (r *fakeFindings) make(f backend.Finding, now time.Time) {
	r.mu.Lock()
	r.own, r.known, r.at, r.came[f.Server] = append(r.own, f), append(r.known, f), append(r.at, now), now
	r.mu.Unlock()
	r.urgent <- struct{}{}
}

func (r *fakeFindings) cameAt(server string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.came[server]
}

// TestAFindingReachesAllDomains has an instance, and then a relay, of one domain make a finding. No reports or updates wake the
// polls of the others.
func TestAFindingReachesAllDomains(t *testing.T) {
	s := newStore()
	findings := map[string]*fakeFindings{}
	domains := [...]string{"east", "east", "east", "west", "west", "west"}
	all := runWith(t, len(domains), func(i int) string { return domains[i] },
		func(caller string) relay.Store { return view{store: s, caller: caller} },
		func(caller string) relay.SharedReports {
			findings[caller] = newFakeFindings()
			return findings[caller]
		}, func(string) relay.Ends { return noEnds{} })
	soon(t, func() bool {
		return all[0].Direct() && all[3].Direct() && all[2].age() < time.Second && all[5].age() < time.Second
	})
	for _, source := range []string{"i-2", "i-0"} {
		server, made := "found by "+source, time.Now()
		findings[source].make(backend.Finding{Server: server, Kind: backend.FindingSilent, Source: source, Domain: "east"}, made)
		for i := range domains {
			name := fmt.Sprint("i-", i)
			soon(t, func() bool { return !findings[name].cameAt(server).IsZero() })
			t.Log(server, "known to", name, "in", domains[i], "after", findings[name].cameAt(server).Sub(made).Round(time.Millisecond))
		}
	}
}
