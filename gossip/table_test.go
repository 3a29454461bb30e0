package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/gossip"
)

// TestTablesConvergeAndNeverRegress lets tables publish entries, restart and exchange updates in any order. What a table knows
// must never go back, and all tables must agree once each has exchanged with the next often enough.
func TestTablesConvergeAndNeverRegress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		const count = 4
		tables := make([]*gossip.Table, count)
		incarnations := make([]uint64, count)
		truth := make([]map[string]string, count)
		start := func(i int) {
			incarnations[i]++
			tables[i] = gossip.New(fmt.Sprint(i), incarnations[i], now)
			truth[i] = map[string]string{}
		}
		for i := range tables {
			start(i)
		}
		exchange := func(a, b int) {
			before := tables[a].Digest()
			tables[a].Merge(tables[b].Delta(tables[a].Digest()), now)
			for name, known := range tables[a].Digest() {
				old := before[name]
				require.False(t, old.Incarnation > known.Incarnation ||
					old.Incarnation == known.Incarnation && old.Version > known.Version, "went back")
			}
		}
		for step := range rapid.IntRange(0, 80).Draw(t, "steps") {
			a := rapid.IntRange(0, count-1).Draw(t, "a")
			b := rapid.IntRange(0, count-1).Draw(t, "b")
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				start(a)
			case 1, 2, 3:
				key := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))
				truth[a][key] = fmt.Sprint(step)
				tables[a].Set(key, []byte(truth[a][key]))
			case 4:
				tables[a].Heartbeat(now)
			default:
				exchange(a, b)
			}
		}
		for range count {
			for i := range count {
				exchange(i, (i+1)%count)
			}
		}
		for i := range tables {
			for _, o := range tables[i].Origins(now) {
				var origin int
				_, err := fmt.Sscan(o.Name, &origin)
				require.NoError(t, err)
				require.Equal(t, incarnations[origin], o.Incarnation)
				got := map[string]string{}
				o.Each(func(e gossip.Entry) { got[e.Key] = string(e.Body) })
				require.Equal(t, truth[origin], got)
			}
		}
	})
}

func TestSilentOriginsAreForgottenAndUnchangedEntriesAreNotPublished(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := gossip.New("a", 1, now), gossip.New("b", 1, now)
	b.Set("k", []byte("x"))
	require.True(t, a.Merge(b.Delta(a.Digest()), now))
	before := b.Digest()
	b.Set("k", []byte("x"))
	require.Equal(t, before, b.Digest())
	require.False(t, a.Merge(b.Delta(nil), now))
	a.Forget(now.Add(time.Hour), time.Minute)
	require.Len(t, a.Origins(now), 1)
}
