package standin

import (
	"encoding/json"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"junctioncross/engine"
)

// EngineHandler returns the HTTP handler of a fake engine. Paths under /test are for tests: they inject faults and return counts.
func EngineHandler(e *Engine) fasthttp.RequestHandler {
	r := router.New()
	r.POST(engine.PathStep, handleRPC(func(call engine.StepCall) (engine.StepReply, bool) {
		return e.Submit(call.Frames), true
	}))
	r.POST(engine.PathCancel, handleRPC(func(c engine.Cancel) (bool, bool) {
		e.Cancel(c)
		return true, true
	}))
	r.POST(engine.PathReport, handleRPC(func(bool) (engine.Report, bool) { return e.Report(time.Now()), true }))
	r.POST(engine.PathOrder, handleRPC(func(o engine.Order) (bool, bool) { return true, e.Order(o) }))
	r.POST(engine.PathExport, handleRPC(e.Export))
	r.POST(engine.PathImport, handleRPC(func(s engine.Snapshot) (bool, bool) { return true, e.Import(s) }))
	r.POST("/test/fault", func(ctx *fasthttp.RequestCtx) { handleJSON(ctx, e.SetFault) })
	r.GET("/test/tally", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, e.Tally()) })
	return r.Handler
}

// handleRPC returns a handler that decodes the request, calls handle and encodes its result. If handle returns false, it responds
// with status 409.
func handleRPC[Q, A any](handle func(Q) (A, bool)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		request, err := engine.Decode[Q](ctx.PostBody())
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		value, ok := handle(request)
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusConflict)
			return
		}
		body, err := engine.Encode(value)
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetBody(body)
	}
}

// handleJSON passes the JSON body of a request to set.
func handleJSON[F any](ctx *fasthttp.RequestCtx, set func(F)) {
	var f F
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	set(f)
}
