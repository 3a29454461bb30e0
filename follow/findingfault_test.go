package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestBadFindingsChangeNothing applies findings that are unusable for each of the reasons.
func TestBadFindingsChangeNothing(t *testing.T) {
	v, servers, now := findingFleet([]string{"a"}, 100)
	outcomes := map[FindingOutcome]int{}
	v.ObserveFindings(func(e FindingEvent) { outcomes[e.Outcome]++ })
	change := func(c func(*backend.Finding)) {
		f := about(servers[0], backend.FindingSilent, "x", "a")
		c(&f)
		require.False(t, apply(v, now, f))
	}
	change(func(f *backend.Finding) { f.Kind = 77 })
	change(func(f *backend.Finding) { f.Source = "" })
	change(func(f *backend.Finding) { f.Domain = string(make([]byte, 1000)) })
	change(func(f *backend.Finding) { f.Server = "nobody" })
	change(func(f *backend.Finding) { f.Born = 8 })
	change(func(f *backend.Finding) { f.Age = -time.Second })
	change(func(f *backend.Finding) { f.Age = 1 << 62 })
	many := make([]backend.Finding, maxFindings)
	for i := range many {
		many[i] = about(servers[0], 77, "x", "a")
	}
	require.False(t, apply(v, now, append(many, about(servers[1], backend.FindingSilent, "x", "a"))...))
	require.Zero(t, unusable(servers, now))
	require.Equal(t, map[FindingOutcome]int{
		droppedGarbled: 3 + maxFindings, droppedUnknown: 1, droppedIncarnation: 1, droppedFuture: 1, droppedOld: 1, droppedTooMany: 1,
	}, outcomes)
	require.Empty(t, v.Reports(now.Add(-time.Second), now), "they are not passed on")
}

// oldReport is a shared report as builds without findings know it.
type oldReport struct {
	ID     string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
	Silent bool          `cbor:"3,keyasint,omitempty"`
}

// TestBuildsWithAndWithoutFindingsReadEachOther passes messages between them.
func TestBuildsWithAndWithoutFindingsReadEachOther(t *testing.T) {
	v, servers, now := findingFleet([]string{"a"}, 8)
	fromNew, err := cbor.Marshal([]backend.SharedReport{{Findings: []backend.Finding{about(servers[0], 1, "x", "a")}}})
	require.NoError(t, err)
	var old []oldReport
	require.NoError(t, cbor.Unmarshal(fromNew, &old))
	require.Equal(t, []oldReport{{}}, old, "a report about no server")
	fromOld, err := cbor.Marshal([]oldReport{{ID: servers[0].ID(), Silent: true}})
	require.NoError(t, err)
	var reports []backend.SharedReport
	require.NoError(t, cbor.Unmarshal(fromOld, &reports))
	require.Empty(t, reports[0].Findings)
	require.False(t, v.ApplySharedReports(reports, now), "another incarnation")
}

// TestGarbledMessagesTakeNoMoreServersThanTheLimit decodes messages in which random bytes were changed.
func TestGarbledMessagesTakeNoMoreServersThanTheLimit(t *testing.T) {
	const rounds = 20000
	random := rand.New(rand.NewPCG(5, 5))
	v, servers, now := findingFleet([]string{"a"}, 40)
	for range rounds {
		found := make([]backend.Finding, 1+random.IntN(4))
		for i := range found {
			found[i] = about(servers[random.IntN(len(servers))], backend.FindingKind(1+random.IntN(5)), "x", "a")
		}
		message, err := cbor.Marshal([]backend.SharedReport{{Findings: found}})
		require.NoError(t, err)
		for range 1 + random.IntN(4) {
			message[random.IntN(len(message))] = byte(random.Uint32())
		}
		now = now.Add(time.Millisecond)
		var reports []backend.SharedReport
		if cbor.Unmarshal(message, &reports) != nil {
			continue
		}
		for i := range reports {
			// Only what findings do is tested; whole reports have had no such limits before.
			reports[i].ID = ""
		}
		v.ApplySharedReports(reports, now)
		require.LessOrEqual(t, len(v.findings.book.kept), maxFindingsHeld)
	}
	require.Zero(t, unusable(servers, now.Add(time.Second)))
}

// TestAFloodOfFindingsWakesRarely passes a thousand different findings of many sources within a second.
func TestAFloodOfFindingsWakesRarely(t *testing.T) {
	v, servers, now := findingFleet([]string{"a"}, 100)
	wakes := 0
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		if apply(v, now, about(servers[i%100], backend.FindingRefusing, fmt.Sprint("i", i/10), "a")) {
			wakes++
		}
	}
	require.LessOrEqual(t, wakes, int(time.Second/findingWakePeriod)+1)
	require.Positive(t, wakes)
}

// TestASourceThatFloodsLeavesRoomForOthers has one instance repeat findings of all kinds about all servers.
func TestASourceThatFloodsLeavesRoomForOthers(t *testing.T) {
	v, servers, now := findingFleet([]string{"a"}, 100)
	for range 20 {
		now = now.Add(ownFindingPeriod)
		for _, s := range servers {
			for kind := backend.FindingSilent; kind <= backend.FindingFull; kind++ {
				apply(v, now, about(s, kind, "flood", "a"))
			}
		}
	}
	require.LessOrEqual(t, len(v.findings.book.kept), maxFindingsOfOne)
	last := servers[len(servers)-1]
	require.True(t, last.Usable(now))
	apply(v, now, about(last, backend.FindingRefusing, "other", "a"))
	require.False(t, last.Usable(now))
}
