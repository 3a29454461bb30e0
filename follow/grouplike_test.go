package follow_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/follow"
	"junctioncross/models"
)

// engineOf returns the cost model of engines that run a model of so many layers.
func engineOf(model string, layers int) *catalog.Engine {
	return &catalog.Engine{
		Model: model, Layers: layers, LayerMB: 100, TokenBytes: 8000, ReadPerSecond: 1e5, Kinds: []catalog.Kind{{Name: "k", MemoryMB: 1000, StepPace: 1, ReadPace: 1}},
	}
}

// TestRequestsUnderWayKnowTheServersOfAServiceThatIsNotConfiguredAnyMore guards against streams that are resumed at servers which have dropped
// their layers, or at none, since their service was removed or runs something else.
func TestRequestsUnderWayKnowTheServersOfAServiceThatIsNotConfiguredAnyMore(t *testing.T) {
	for name, services := range map[string][]catalog.Service{
		"removed":        nil,
		"plain":          {{Name: "s"}},
		"another model":  {{Name: "s", Engine: engineOf("n", 8)}},
		"another length": {{Name: "s", Engine: engineOf("m", 9)}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSource()
			b := start(t, s)
			configure := func(version int64, services ...catalog.Service) {
				c, err := catalog.New(&catalog.Content{Version: version, Services: services})
				require.NoError(t, err)
				s.add(follow.FeedConfig, follow.Configured{Catalog: c})
				eventually(t, func() bool { return b.Current().Catalog() != nil && b.Current().Catalog().Version() == version })
			}
			write := func(id string, revision int64, layers models.Layers) {
				e := serverEntry(id, 0, revision, false)
				e.Entry.Layers, e.Entry.Kind, e.Entry.Addr = layers, "k", id
				s.add(follow.FeedServers, e)
			}
			configure(1, catalog.Service{Name: "s", Engine: engineOf("m", 8)})
			write("stays", 1, models.Layers{End: 8})
			write("leaves", 2, models.Layers{End: 8})
			eventually(t, func() bool { return servers(b) == 2 })
			chosenFrom := b.Current().Group("s")
			require.Same(t, chosenFrom, b.Current().GroupLike(chosenFrom))
			configure(2, services...)
			write("stays", 3, models.Layers{End: 4})
			s.add(follow.FeedServers, follow.ServerGone{ID: "leaves"})
			write("comes", 5, models.Layers{First: 4, End: 8})
			eventually(t, func() bool { return b.ServerAt("comes") != nil && b.ServerAt("leaves") == nil })
			like := b.Current().GroupLike(chosenFrom)
			require.Same(t, chosenFrom.Service(), like.Service())
			require.ElementsMatch(t, []*backend.Server{b.ServerAt("stays"), b.ServerAt("comes")}, like.Servers())
			require.NotNil(t, like.Graph())
			require.Same(t, like, b.Current().GroupLike(chosenFrom), "it is made once")
			require.Same(t, like, b.Current().GroupLike(like))
			configure(3, catalog.Service{Name: "s", Engine: engineOf("m", 8)})
			require.Same(t, b.Current().Group("s"), b.Current().GroupLike(like))
		})
	}
}
