package loadview

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTheNewestTotalsWin merges three instances, of which one has no totals.
func TestTheNewestTotalsWin(t *testing.T) {
	unknown := testPage("i-0", 0, false)
	old, recent := testPage("i-1", 900, true), testPage("i-2", 200, true)
	level := &Level{First: 0.3}
	old.Services[0].Domains[0].Classes[0].Level = level
	recent.Services[0].Domains[0].Coverage.Usable = 3
	for _, pages := range [][]Page{{unknown, old, recent}, {recent, old, unknown}, {old, recent, old, unknown}} {
		f := Merge(pages, []Failure{{Address: "x", Error: "refused"}})
		require.Equal(t, len(pages)+1, f.Asked)
		require.Len(t, f.Services, 1)
		s := f.Services[0]
		require.Len(t, s.Domains, 1)
		d := s.Domains[0]
		require.True(t, d.TotalsKnown)
		require.EqualValues(t, 200, d.AgeMS)
		require.Equal(t, 200, d.UnderWay)
		require.Equal(t, level, d.Classes[0].Level, "the instance that decides knows the level")
		require.Equal(t, 3, d.Coverage.Usable)
		require.Len(t, s.Instances, 3, "an instance that is asked twice counts once")
		require.Len(t, s.OutOfUse, 1)
		require.ElementsMatch(t, []string{"i-0", "i-1", "i-2"}, s.OutOfUse[0].SeenBy)
		require.EqualValues(t, 900, s.OutOfUse[0].SinceMS)
		require.Equal(t, []Finding{{Server: "s1", Kind: "silent", Source: "i-9"}}, f.Findings)
	}
}

func TestOnlyOneServiceIsShown(t *testing.T) {
	p := testPage("i-1", 300, true)
	p.Services = append(p.Services, Service{Service: "other"})
	p.Findings = append(p.Findings, Finding{Service: "other", Server: "o"})
	all := Merge([]Page{p}, nil)
	one := all.Only("chat")
	require.Len(t, all.Services, 2)
	require.Len(t, one.Services, 1)
	require.Equal(t, "chat", one.Services[0].Service)
	require.Len(t, one.Findings, 1)
}
