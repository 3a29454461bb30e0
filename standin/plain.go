package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"junctioncross/models"
)

// Plain is a fake plain service that counts how often it ran each request.
type Plain struct {
	name  string
	delay time.Duration

	mu    sync.Mutex
	runs  map[string]int
	fault PlainFault
}

// PlainFault holds the faults that a test injects into a plain service.
type PlainFault struct {
	// LoseAnswers is the number of requests that run but whose connections are closed without a response.
	LoseAnswers int `json:"lose_answers"`
	// Fail makes the service respond with status 503 without running the request.
	Fail bool `json:"fail"`
}

// NewPlain returns a service that takes the given delay to run a request.
func NewPlain(name string, delay time.Duration) *Plain {
	return &Plain{name: name, delay: delay, runs: map[string]int{}}
}

// Handler returns the service's HTTP handler. Paths under /test are for tests: they inject faults and return counts.
func (p *Plain) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/test/tally", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, p.Tally()) })
	r.POST("/test/fault", func(ctx *fasthttp.RequestCtx) { handleJSON(ctx, p.setFault) })
	r.ANY("/{path:*}", p.serve)
	return r.Handler
}

// Tally returns how often each request ran, by its idempotency key or, if it has none, by its path.
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

// startRun counts a run of the request with that key and applies the faults: with lose its response must be lost, with fail it
// must not run and has not been counted.
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
