package pipeline_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"junctioncross/engine"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/pipeline"
	"junctioncross/pool"
	"junctioncross/route"
	"junctioncross/standin"
	"junctioncross/timer"
)

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
	// silentUntil is when the server answers calls again, in nanoseconds since 1970.
	silentUntil atomic.Int64
}

// fallSilent makes the server answer no call for some time, and then all that it has got.
func (s *server) fallSilent(d time.Duration) { s.silentUntil.Store(time.Now().Add(d).UnixNano()) }

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
	time.Sleep(time.Until(time.Unix(0, s.silentUntil.Load())))
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
