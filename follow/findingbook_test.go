package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
)

// findingFleet returns a view of n servers of each domain, these servers, and the time at which the test starts.
func findingFleet(domains []string, n int) (*FleetView, []*backend.Server, time.Time) {
	v := NewFleetView()
	var servers []*backend.Server
	byID := map[string]*backend.Server{}
	for _, domain := range domains {
		for i := range n {
			s := backend.NewServer(backend.Entry{ID: fmt.Sprint(domain, "-", i), Service: "s", Domain: domain, Born: 7})
			servers, byID[s.ID()] = append(servers, s), s
		}
	}
	group := backend.NewGroup(&catalog.Service{Name: "s"}, servers)
	v.current.Store(&Snapshot{groups: map[string]*backend.Group{"s": group}, byID: byID})
	v.Identify("self", "a")
	return v, servers, time.Unix(1000, 0)
}

// about returns a finding about a server that is 100 ms old.
func about(s *backend.Server, kind backend.FindingKind, source, domain string) backend.Finding {
	return backend.Finding{Server: s.ID(), Born: 7, Kind: kind, Age: 100 * time.Millisecond, Source: source, Domain: domain}
}

// apply applies the findings of one message, and reports whether they should be passed on at once.
func apply(v *FleetView, now time.Time, found ...backend.Finding) bool {
	return v.ApplySharedReports([]backend.SharedReport{{Findings: found}}, now)
}

// unusable returns how many servers get no new work.
func unusable(servers []*backend.Server, now time.Time) int {
	n := 0
	for _, s := range servers {
		if !s.Usable(now) {
			n++
		}
	}
	return n
}

// TestAFindingKeepsNewWorkAwayForItsTime applies one finding of each kind.
func TestAFindingKeepsNewWorkAwayForItsTime(t *testing.T) {
	for kind := backend.FindingSilent; kind <= backend.FindingFull; kind++ {
		v, servers, now := findingFleet([]string{"a"}, 8)
		out := func(at time.Time) bool {
			filled, known := servers[0].Filled(at, time.Second, 1)
			return !servers[0].Usable(at) || known && filled >= 1
		}
		require.True(t, apply(v, now, about(servers[0], kind, "other", "a")), kind)
		require.True(t, out(now), kind)
		require.Len(t, v.Findings(now), 1)
		end := now.Add(kind.HoldTime() - 100*time.Millisecond)
		require.True(t, out(end.Add(-time.Millisecond)), kind)
		require.False(t, out(end), kind)
		require.Empty(t, v.Findings(end))
		require.LessOrEqual(t, kind.HoldTime(), time.Second)
	}
}

// TestAnAnswerTakesAFindingBack has a server answer a query, or accept a request, or be reported well, after it was found silent
// or refusing.
func TestAnAnswerTakesAFindingBack(t *testing.T) {
	v, servers, now := findingFleet([]string{"a"}, 32)
	var events []FindingEvent
	v.ObserveFindings(func(e FindingEvent) { events = append(events, e) })
	apply(v, now, about(servers[0], backend.FindingSilent, "x", "a"), about(servers[1], backend.FindingRefusing, "y", "a"),
		about(servers[2], backend.FindingNotListening, "z", "a"), about(servers[3], backend.FindingRefusing, "z", "a"))
	require.Equal(t, 4, unusable(servers, now))
	later := now.Add(150 * time.Millisecond)
	servers[0].NoteAnswer(later, later)
	servers[1].NoteAccepted()
	servers[3].NoteAnswer(later, later)
	v.ApplySharedReports([]backend.SharedReport{{ID: servers[2].ID(), Born: 7, Age: 10 * time.Millisecond, Total: 1, Pace: 1}}, later)
	require.Equal(t, 1, unusable(servers, later), "an answer to a query does not refute a refusal")
	taken := 0
	for _, e := range events {
		if e.Outcome == FindingTakenBack {
			taken++
		}
	}
	require.Equal(t, 3, taken)
	require.False(t, apply(v, later, about(servers[0], backend.FindingSilent, "w", "a")), "the server answered after that moment")
}

// TestOneLyingInstanceCannotTakeTheServers has one instance claim without end that all servers are dead, and a few instances lie
// together without support of each other.
func TestOneLyingInstanceCannotTakeTheServers(t *testing.T) {
	v, servers, start := findingFleet([]string{"a"}, 40)
	random := rand.New(rand.NewPCG(1, 1))
	lost := map[*backend.Server]time.Duration{}
	const step, length = 50 * time.Millisecond, 20 * time.Second
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		kind := backend.FindingKind(1 + random.IntN(4))
		for _, i := range random.Perm(len(servers)) {
			apply(v, now, about(servers[i], kind, "liar", "a"))
		}
		require.LessOrEqual(t, unusable(servers, now), 40/8)
		for _, s := range servers {
			if !s.Usable(now) {
				lost[s] += step
			}
		}
	}
	for s, total := range lost {
		require.LessOrEqual(t, total, length/4, s.ID())
	}
	v, servers, start = findingFleet([]string{"a"}, 40)
	for i, s := range servers {
		apply(v, start, about(s, backend.FindingRefusing, fmt.Sprint("liar-", i), "a"))
	}
	require.LessOrEqual(t, unusable(servers, start), 40/4)
}

// TestTwoSourcesOrOwnEvidenceSupportAFinding has a second instance, or this one, find what a first one repeats.
func TestTwoSourcesOrOwnEvidenceSupportAFinding(t *testing.T) {
	v, servers, now := findingFleet([]string{"a"}, 8)
	require.True(t, apply(v, now, about(servers[0], backend.FindingRefusing, "x", "a")))
	now = now.Add(600 * time.Millisecond)
	apply(v, now, about(servers[0], backend.FindingRefusing, "x", "a"))
	require.True(t, servers[0].Usable(now), "one source does not extend its own finding")
	apply(v, now, about(servers[0], backend.FindingRefusing, "y", "a"))
	require.False(t, servers[0].Usable(now), "a second source does")
	apply(v, now.Add(500*time.Millisecond), about(servers[0], backend.FindingRefusing, "x", "a"))
	require.False(t, servers[0].Usable(now.Add(500*time.Millisecond)))

	v.lastShared.Store(&now)
	v.NoteFinding(servers[1], backend.FindingSilent, now)
	apply(v, now, about(servers[1], backend.FindingSilent, "x", "a"))
	require.False(t, servers[1].Usable(now))
	require.Len(t, v.OwnReports(now.Add(-time.Second), now.Add(time.Millisecond)), 1, "the own finding is passed on")
}

// TestAnInstanceThatIsCutOffTakesNoServersOfOtherDomains has an instance lose all servers of other domains at once, as one whose
// domain is cut off does; a server of its own domain is silent as well.
func TestAnInstanceThatIsCutOffTakesNoServersOfOtherDomains(t *testing.T) {
	v, servers, now := findingFleet([]string{"a", "b", "c"}, 20)
	for _, s := range servers[20:] {
		apply(v, now, about(s, backend.FindingSilent, "cut", "a"))
	}
	require.Zero(t, unusable(servers, now))
	apply(v, now, about(servers[0], backend.FindingSilent, "cut", "a"))
	require.Equal(t, 1, unusable(servers, now))
	apply(v, now, about(servers[30], backend.FindingSilent, "well", "c"))
	require.Equal(t, 2, unusable(servers, now), "another source is believed")
}

// TestACutOffDomainTakesNoServersOfOtherDomains has ten instances of a domain that is cut off agree with each other for 5 s that
// servers of other domains are silent, as seen by an instance of one of those. Each has found two, and another the same.
func TestACutOffDomainTakesNoServersOfOtherDomains(t *testing.T) {
	v, servers, start := findingFleet([]string{"a", "b", "c"}, 20)
	v.Identify("self", "c")
	random := rand.New(rand.NewPCG(2, 2))
	for at := time.Duration(0); at < 5*time.Second; at += 250 * time.Millisecond {
		for _, i := range random.Perm(10) {
			for _, j := range [...]int{0, 5} {
				found := servers[25+(i+j)%10]
				apply(v, start.Add(at), about(found, backend.FindingSilent, fmt.Sprint("a-", i), "a"))
			}
		}
		require.Zero(t, unusable(servers, start.Add(at)), at)
	}
	now := start.Add(5 * time.Second)
	apply(v, now, about(servers[30], backend.FindingSilent, "b-1", "b"))
	require.Equal(t, 1, unusable(servers, now), "an instance of another domain is believed")
}

// TestFindingsAreMadeOnlyWhileReportsAreShared has an instance find a silent server before it has received a report, and long after
// the last one.
func TestFindingsAreMadeOnlyWhileReportsAreShared(t *testing.T) {
	v, servers, now := findingFleet([]string{"a"}, 8)
	v.NoteFinding(servers[0], backend.FindingSilent, now)
	require.Nil(t, v.UrgentFindings())
	require.Empty(t, v.OwnReports(now.Add(-time.Second), now))
	v.ApplySharedReports([]backend.SharedReport{{ID: "other"}}, now)
	now = now.Add(sharingWindow)
	v.NoteFinding(servers[0], backend.FindingSilent, now)
	require.Empty(t, v.UrgentFindings())
	require.Empty(t, v.OwnReports(now.Add(-time.Second), now))
	require.False(t, apply(v, now))
}

// TestInstancesOfOneDomainDoNotSupportEachOtherAcrossALink has ten instances of a domain repeat that one server of another domain
// is silent: they may take it out of use no more often than one of them. An instance of another domain supports them.
func TestInstancesOfOneDomainDoNotSupportEachOtherAcrossALink(t *testing.T) {
	v, servers, start := findingFleet([]string{"a", "b", "c"}, 20)
	v.Identify("self", "c")
	const step = 50 * time.Millisecond
	lost := time.Duration(0)
	for at := time.Duration(0); at < 4*time.Second; at += step {
		now := start.Add(at)
		apply(v, now, about(servers[30], backend.FindingSilent, fmt.Sprint("a-", at/step%10), "a"))
		if unusable(servers, now) > 0 {
			lost += step
		}
	}
	require.LessOrEqual(t, lost, time.Second)
	now := start.Add(4 * time.Second)
	apply(v, now, about(servers[30], backend.FindingSilent, "b-1", "b"))
	require.Equal(t, 1, unusable(servers, now))
}
