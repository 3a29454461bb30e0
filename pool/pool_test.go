package pool_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/engine"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/pool"
	"junctioncross/route"
	"junctioncross/timer"
)

// rounds is the number of times that a path is chosen.
const rounds = 200

// TestAServerThatGaveNoAnswerIsTheLastToBeTriedAgain guards against using up a request's attempts on a server that has
// terminated. Under load the other servers refuse work for a moment, so that all servers have failed the request; if they were
// treated alike, most of its attempts could go to the one that cannot answer.
func TestAServerThatGaveNoAnswerIsTheLastToBeTriedAgain(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := pool.New(engine.NewClient(), timer.New(clock), metrics.New())
	var nodes []route.Node
	for _, name := range []string{"ended", "busy"} {
		nodes = append(nodes, route.Node{Server: p.Ensure(pool.Spec{Name: name, Addr: name}), Layers: models.Layers{End: 4}, Weight: 1})
	}
	g := route.NewGraph(4, nodes)
	avoid := pool.Avoid{Lost: []int{nodes[0].Server}, Busy: []int{nodes[1].Server}}
	for n := range rounds {
		// In the first half both circuits are open; then enough time passes for both to admit a trial.
		if n == rounds/2 {
			clock.Advance(time.Minute)
		}
		for _, node := range nodes {
			if n < rounds/2 {
				p.Server(node.Server).Failed(clock.Now())
			}
		}
		path, ok := p.Choose(g, avoid)
		require.True(t, ok)
		require.Equal(t, nodes[1].Server, path[0].Server, "the server that answers")
		p.Server(path[0].Server).EndAttempt()
	}
	p.Server(nodes[1].Server).SetExcluded(true)
	path, ok := p.Choose(g, avoid)
	require.True(t, ok, "the server without an answer is tried before the request is refused")
	require.Equal(t, nodes[0].Server, path[0].Server)
}
