package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
)

// TestFirstTriesAreNotPutBehindOthers has callers of one route whose first tries wait for 17 to 20 s, and one who has used up 6 s
// elsewhere, for a service with one rank and for one with two.
func TestFirstTriesAreNotPutBehindOthers(t *testing.T) {
	for _, priorities := range [][]int{{1}, {0, 2}} {
		content := rankedContent(priorities...)
		a := newAdmitter(t, content, AdmissionSettings{Ranks: true}, shortLoads())
		group := backend.NewGroup(&catalog.Service{Name: "s"}, nil)
		tried := func(wait time.Duration) *inflight {
			f := &inflight{r: &request{route: &content.Routes[0], group: group, meta: call.Meta{Wait: wait}}}
			a.h.noteEarlierTry(f)
			return f
		}
		require.False(t, tried(20*time.Second).returned)
		ranksDiffer := len(priorities) > 1
		for _, wait := range []time.Duration{17 * time.Second, 18 * time.Second, 19 * time.Second} {
			f := tried(wait)
			require.Equal(t, !ranksDiffer, f.returned, "wait %s, different ranks %t", wait, ranksDiffer)
			require.False(t, f.certainlyReturned)
		}
		f := tried(14 * time.Second)
		require.True(t, f.returned)
		require.True(t, f.certainlyReturned)
	}
}
