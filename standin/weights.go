package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// Weights is the weight store: it hands out layers one after another at a limited rate.
type Weights struct {
	perLayer time.Duration

	mu     sync.Mutex
	freeAt time.Time
}

// NewWeights returns a store that needs perLayer for each layer, over all its readers.
func NewWeights(perLayer time.Duration) *Weights { return &Weights{perLayer: perLayer} }

// reserve returns the time at which a fetch of that many layers will be complete.
func (w *Weights) reserve(layers int, now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(layers) * w.perLayer)
	return w.freeAt
}

// Handler returns the store's HTTP interface.
func (w *Weights) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/fetch", func(ctx *fasthttp.RequestCtx) {
		done := w.reserve(ctx.QueryArgs().GetUintOrZero("layers"), time.Now())
		time.Sleep(time.Until(done))
	})
	return r.Handler
}

// FetchFrom returns a function that blocks until the store at addr has delivered that many layers.
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
