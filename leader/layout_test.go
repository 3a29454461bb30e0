package leader

import (
	"strings"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/models"
)

// layoutLines returns how many layouts were logged.
func layoutLines(hook *logtest.Hook) int {
	n := 0
	for _, e := range hook.AllEntries() {
		if e.Message == "layout planned" {
			n++
		}
	}
	return n
}

// TestLayoutsAreLoggedWhenTheyChange places a domain of one server for several rounds, then adds a server.
func TestLayoutsAreLoggedWhenTheyChange(t *testing.T) {
	term, clock := newTestTerm(t, newFakeServers())
	hook := logtest.NewLocal(term.leader.log)
	servers := []*backend.Server{server(1, "fast", models.Layers{First: 0, End: 8})}
	for range 3 {
		term.place(t.Context(), engine(), servers)
		clock.Advance(roundPeriod)
	}
	require.Equal(t, 1, layoutLines(hook))
	servers = append(servers, server(2, "slow", models.Layers{First: 0, End: 8}))
	term.place(t.Context(), engine(), servers)
	require.Equal(t, 2, layoutLines(hook))
	last := hook.LastEntry()
	for _, e := range hook.AllEntries() {
		if e.Message == "layout planned" {
			last = e
		}
	}
	require.Equal(t, 96, last.Data["sequences"])
	require.Equal(t, true, last.Data["default"], "the costs of sequences are not known")
	require.InDelta(t, 2.0, last.Data["copies"], 1)
	var out strings.Builder
	require.NoError(t, term.leader.stats.Write(&out))
	require.Contains(t, out.String(), `jx_layout_sequences{model="",of_domain="a"} 96`)
}
