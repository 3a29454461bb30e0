package pipeline_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"junctioncross/engine"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/pipeline"
	"junctioncross/pool"
	"junctioncross/route"
	"junctioncross/standin"
	"junctioncross/timer"
)

const (
	modelName = "m"
	layers    = 8
)

var model = standin.NewModel(modelName, "v", layers)

// server is a simulated engine on loopback that can fail in several ways.
type server struct {
	engine *standin.Engine
	http   *fasthttp.Server
	addr   string
	// dropReplyAt is the number of the call whose answer is dropped, corruptAt that of the call whose results name another request,
	// and failFrom that of the first call whose connection is closed without running it; 0 means none.
	dropReplyAt atomic.Int32
	corruptAt   atomic.Int32
	failFrom    atomic.Int32
	calls       atomic.Int32
	// closing, if not nil, is the number of calls whose connections are still to be closed without running them. Servers may share
	// it.
	closing atomic.Pointer[atomic.Int32]
	// refuses is true while the server starts no frame, like a server that loads other layers.
	refuses atomic.Bool
}

func startServer(t testing.TB, r models.Layers) *server {
	s := &server{engine: standin.NewEngine(standin.EngineSettings{Name: r.String(), LayerMicros: 5, MaxBatch: 8, Fetch: func(int) {}})}
	s.engine.Order(engine.Order{Fence: 1, Model: modelName, Version: "v", Layers: r, Total: layers})
	require.Eventually(t, func() bool { return s.engine.Report(time.Now()).State == engine.StateReady }, 5*time.Second, time.Millisecond)
	inner := standin.EngineHandler(s.engine)
	s.http = &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { s.serve(ctx, inner) }}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s.addr = listener.Addr().String()
	go func() { _ = s.http.Serve(listener) }()
	t.Cleanup(func() { _ = s.http.Shutdown() })
	// Shutdown has no effect on a server that does not serve yet: it would start to serve afterwards.
	_, err = engine.NewClient().Report(s.addr, 5*time.Second)
	require.NoError(t, err)
	return s
}

// serve answers a call, drops or corrupts its answer, refuses its frames or closes the connection, as the fields of the server
// say.
func (s *server) serve(ctx *fasthttp.RequestCtx, inner fasthttp.RequestHandler) {
	if string(ctx.Path()) != engine.PathStep {
		inner(ctx)
		return
	}
	n := s.calls.Add(1)
	if from := s.failFrom.Load(); from > 0 && n >= from {
		closeConnection(ctx)
		return
	}
	if left := s.closing.Load(); left != nil && left.Add(-1) >= 0 {
		closeConnection(ctx)
		return
	}
	if s.refuses.Load() {
		refuse(ctx)
		return
	}
	inner(ctx)
	if s.dropReplyAt.Load() == n {
		closeConnection(ctx)
	}
	if s.corruptAt.Load() == n {
		reply, _ := engine.Decode[engine.StepReply](ctx.Response.Body())
		for i := range reply.Results {
			reply.Results[i].Request = "another"
		}
		body, _ := engine.Encode(reply)
		ctx.SetBody(body)
	}
}

// refuse answers that no frame of a call was started.
func refuse(ctx *fasthttp.RequestCtx) {
	call, _ := engine.Decode[engine.StepCall](ctx.PostBody())
	var reply engine.StepReply
	for _, f := range call.Frames {
		reply.Results = append(reply.Results, engine.Result{
			Request: f.Request, Attempt: f.Attempt, Position: f.Position, Layers: f.Layers, Code: engine.CodeNotStarted,
		})
	}
	body, _ := engine.Encode(reply)
	ctx.SetBody(body)
}

// closeConnection closes the connection without an answer.
func closeConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// testbed is a Runner with the servers of one model.
type testbed struct {
	servers []*server
	graph   *route.Graph
	runner  *pipeline.Runner
	stats   *metrics.Registry
}

// newTestbed starts two servers for each half of the model.
func newTestbed(t testing.TB) *testbed {
	b := &testbed{stats: metrics.New()}
	clock := timer.NewReal()
	p := pool.New(engine.NewClient(), clock, b.stats)
	var nodes []route.Node
	for i, r := range []models.Layers{{First: 0, End: 4}, {First: 4, End: 8}, {First: 0, End: 4}, {First: 4, End: 8}} {
		s := startServer(t, r)
		b.servers = append(b.servers, s)
		nodes = append(nodes, route.Node{Server: p.Ensure(pool.Spec{Name: string(rune('a' + i)), Addr: s.addr}), Layers: r, Weight: 1})
	}
	b.graph = route.NewGraph(layers, nodes)
	log := logrus.New()
	log.SetOutput(io.Discard)
	b.runner = pipeline.New(p, clock, b.stats, log)
	return b
}

// run returns the text of the answer.
func (b *testbed) run(id, prompt string, limit int) (string, error) {
	var text strings.Builder
	q := &pipeline.Request{ID: id, Model: modelName, Prompt: prompt, MaxTokens: limit, Graph: func() *route.Graph { return b.graph }}
	err := b.runner.Run(context.Background(), q, func(t pipeline.Token) error {
		text.WriteString(t.Piece)
		return nil
	})
	return text.String(), err
}

// wantText returns the answer that the model gives when nothing fails.
func wantText(prompt string, limit int) string {
	text, _, _ := model.Answer(prompt, limit)
	return text
}

// TestAnswersAreCompleteDespiteSingleFailures drops and corrupts the answers to single calls at random positions.
func TestAnswersAreCompleteDespiteSingleFailures(t *testing.T) {
	b := newTestbed(t)
	rapid.Check(t, func(rt *rapid.T) {
		for _, s := range b.servers {
			s.calls.Store(0)
			s.dropReplyAt.Store(int32(rapid.IntRange(0, 20).Draw(rt, "lose")))
			s.corruptAt.Store(int32(rapid.IntRange(0, 20).Draw(rt, "cross")))
		}
		got, err := b.run("r", "one two three", 12)
		require.NoError(rt, err)
		require.Equal(rt, wantText("one two three", 12), got)
	})
}

func TestAFailedServerIsReplaced(t *testing.T) {
	for failing := range 4 {
		b := newTestbed(t)
		b.servers[failing].failFrom.Store(3)
		for i := 0; i < 200 && b.stats.Counter("recoveries_total").Count() == 0; i++ {
			got, err := b.run(fmt.Sprint(i), "hello there", 10)
			require.NoError(t, err)
			require.Equal(t, wantText("hello there", 10), got)
		}
		require.Positive(t, b.stats.Counter("recoveries_total").Count())
	}
}

// TestAnAnswerThatHasBegunIsResumedAfterTemporaryRefusals guards against cutting an answer off while its layers are loaded again.
// All servers of one half of the model start no frame for four seconds in the middle of the answer, as when layers are moved
// after a server has terminated. They refuse at once, and these refusals must not use up the attempts.
func TestAnAnswerThatHasBegunIsResumedAfterTemporaryRefusals(t *testing.T) {
	b := newTestbed(t)
	refuse := func(refuses bool) {
		b.servers[1].refuses.Store(refuses)
		b.servers[3].refuses.Store(refuses)
	}
	var text strings.Builder
	q := &pipeline.Request{ID: "r", Model: modelName, Prompt: "hello there", MaxTokens: 10, Graph: func() *route.Graph { return b.graph }}
	err := b.runner.Run(t.Context(), q, func(token pipeline.Token) error {
		if text.Len() == 0 {
			refuse(true)
			time.AfterFunc(4*time.Second, func() { refuse(false) })
		}
		text.WriteString(token.Piece)
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, wantText("hello there", 10), text.String())
}

// TestAnAnswerThatHasBegunIsResumedAfterLostConnections guards against cutting an answer off while no server of a stage can be
// reached: behind a proxy, the connection to a server that has terminated is accepted and closed. The servers of one half of the
// model close more connections in the middle of the answer than a request has attempts, as when one has terminated and the other
// is loading its layers.
func TestAnAnswerThatHasBegunIsResumedAfterLostConnections(t *testing.T) {
	const moreThanAttempts = 14
	b := newTestbed(t)
	var closing atomic.Int32
	closing.Store(moreThanAttempts)
	var text strings.Builder
	q := &pipeline.Request{ID: "r", Model: modelName, Prompt: "hello there", MaxTokens: 10, Graph: func() *route.Graph { return b.graph }}
	err := b.runner.Run(t.Context(), q, func(token pipeline.Token) error {
		if text.Len() == 0 {
			b.servers[1].closing.Store(&closing)
			b.servers[3].closing.Store(&closing)
		}
		text.WriteString(token.Piece)
		return nil
	})
	require.NoError(t, err)
	require.Negative(t, closing.Load(), "all connections were closed")
	require.Equal(t, wantText("hello there", 10), text.String())
}

// TestAnAnswerThatKeepsLosingItsServersIsCutOff guards against losing servers without end to a request under which they terminate:
// each token is followed by a lost connection.
func TestAnAnswerThatKeepsLosingItsServersIsCutOff(t *testing.T) {
	b := newTestbed(t)
	var closing atomic.Int32
	b.servers[1].closing.Store(&closing)
	b.servers[3].closing.Store(&closing)
	q := &pipeline.Request{ID: "r", Model: modelName, Prompt: "hello there", MaxTokens: 30, Graph: func() *route.Graph { return b.graph }}
	tokens := 0
	err := b.runner.Run(t.Context(), q, func(pipeline.Token) error {
		tokens++
		closing.Store(1)
		return nil
	})
	require.Equal(t, models.FateUnknown, fateOf(t, err))
	require.Less(t, tokens, 14)
}

// TestARequestThatNoServerStartsIsRefusedAsNotRun checks that a request that all servers refuse from the beginning fails with
// FateNotRun, so that its caller can send it to another instance.
func TestARequestThatNoServerStartsIsRefusedAsNotRun(t *testing.T) {
	b := newTestbed(t)
	for _, s := range b.servers {
		s.refuses.Store(true)
	}
	_, err := b.run("r", "x", 3)
	require.Equal(t, models.FateNotRun, fateOf(t, err))
}

func TestFailuresReportWhetherTheRequestMayHaveRun(t *testing.T) {
	t.Run("nothing was sent", func(t *testing.T) {
		b := newTestbed(t)
		for _, s := range b.servers {
			require.NoError(t, s.http.Shutdown())
		}
		_, err := b.run("r", "x", 3)
		require.Equal(t, models.FateNotRun, fateOf(t, err))
	})
	t.Run("the first half ran", func(t *testing.T) {
		b := newTestbed(t)
		require.NoError(t, b.servers[1].http.Shutdown())
		require.NoError(t, b.servers[3].http.Shutdown())
		_, err := b.run("r", "x", 3)
		require.Equal(t, models.FateUnknown, fateOf(t, err))
	})
	t.Run("no path", func(t *testing.T) {
		b := newTestbed(t)
		b.graph = route.NewGraph(layers, nil)
		_, err := b.run("r", "x", 3)
		require.Equal(t, models.FateNotRun, fateOf(t, err))
	})
}

func fateOf(t *testing.T, err error) models.Fate {
	var f *pipeline.Failure
	require.True(t, errors.As(err, &f), "%v", err)
	return f.Fate()
}

func TestADisconnectedCallerEndsTheRunAndFreesTheServers(t *testing.T) {
	b := newTestbed(t)
	q := &pipeline.Request{ID: "r", Model: modelName, Prompt: "x", MaxTokens: 50, Graph: func() *route.Graph { return b.graph }}
	err := b.runner.Run(t.Context(), q, func(pipeline.Token) error { return errors.New("gone") })
	var f *pipeline.Failure
	require.True(t, errors.As(err, &f))
	require.Equal(t, models.ReasonCallerGone, f.Reason())
	require.Eventually(t, func() bool {
		held := 0
		for _, s := range b.servers {
			held += s.engine.Tally().Held
		}
		return held == 0
	}, 10*time.Second, time.Millisecond)
}
