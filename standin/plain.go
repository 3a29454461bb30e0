package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"junctioncross/models"
)

// Plain is a plain service that records what it ran.
type Plain struct {
	name  string
	delay time.Duration

	mu    sync.Mutex
	runs  map[string]int
	fault PlainFault
}

// PlainFault is a fault of a plain service.
type PlainFault struct {
	// LoseAnswers lets that many calls run and closes their connections without an answer.
	LoseAnswers int `json:"lose_answers"`
	// Fail answers with status 503 before running anything.
	Fail bool `json:"fail"`
}

// NewPlain returns a service whose calls take that long.
func NewPlain(name string, delay time.Duration) *Plain {
	return &Plain{name: name, delay: delay, runs: map[string]int{}}
}

// Handler returns the service's HTTP interface; paths under /test belong to tests.
func (p *Plain) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/test/tally", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, p.Tally()) })
	r.POST("/test/fault", func(ctx *fasthttp.RequestCtx) { handleJSON(ctx, p.setFault) })
	r.ANY("/{path:*}", p.serve)
	return r.Handler
}

// Tally returns how often each request ran, by its idempotency key or else its path.
func (p *Plain) Tally() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.runs))
	for k, v := range p.runs {
		out[k] = v
	}
	return out
}

func (p *Plain) setFault(f PlainFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *Plain) serve(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek(models.HeaderIdempotencyKey))
	if key == "" {
		key = string(ctx.Path())
	}
	count, lose, fail := p.startRun(key)
	if fail {
		ctx.Error("not started", fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(p.delay)
	if lose {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConnection)
		return
	}
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"service":%q,"path":%q,"run":%d,"echo":%q}`, p.name, ctx.Path(), count, ctx.PostBody())
}

func (p *Plain) startRun(key string) (count int, lose, fail bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Fail {
		return 0, false, true
	}
	p.runs[key]++
	lose = p.fault.LoseAnswers > 0
	if lose {
		p.fault.LoseAnswers--
	}
	return p.runs[key], lose, false
}
