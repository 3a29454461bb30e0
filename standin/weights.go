package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// Weights is a fake weight store. It delivers layers one after another, and all readers share its limited rate.
type Weights struct {
	perLayer time.Duration

	mu sync.Mutex
	// freeAt is when all reserved fetches will be complete.
	freeAt time.Time
}

// NewWeights returns a store that takes perLayer to deliver a layer, whoever reads it.
func NewWeights(perLayer time.Duration) *Weights { return &Weights{perLayer: perLayer} }

// reserve queues a fetch of the given number of layers and returns when it will be complete.
func (w *Weights) reserve(layers int, now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(layers) * w.perLayer)
	return w.freeAt
}

// Handler returns the store's HTTP handler. It responds when the fetch is complete, without a body.
func (w *Weights) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/fetch", func(ctx *fasthttp.RequestCtx) {
		done := w.reserve(ctx.QueryArgs().GetUintOrZero("layers"), time.Now())
		time.Sleep(time.Until(done))
	})
	return r.Handler
}

// FetchFrom returns a function that blocks until the store at addr has delivered the given number of layers; it retries failed
// fetches without end.
func FetchFrom(addr string) func(layers int) {
	client := &fasthttp.Client{ReadTimeout: time.Minute}
	return func(layers int) {
		for {
			code, _, err := client.GetTimeout(nil, fmt.Sprintf("http://%s/fetch?layers=%d", addr, layers), time.Minute)
			if err == nil && code == fasthttp.StatusOK {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
