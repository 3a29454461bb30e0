package app

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"junctioncross/forward"
	"junctioncross/loadview"
)

// findingSource returns the findings of other instances that are in force.
type findingSource func(now time.Time) []loadview.Finding

// findingsOf returns the source of the findings that are in force at a handler.
func findingsOf(h *forward.Handler) findingSource {
	return func(now time.Time) []loadview.Finding {
		out := []loadview.Finding{}
		for _, f := range h.Findings(now) {
			out = append(out, loadview.Finding{
				Service: f.Server.Service(), Kind: f.Kind.String(), Server: f.Server.ID(), Source: f.Source, AgeMS: f.Age.Milliseconds(),
			})
		}
		return out
	}
}

// loadPage serves what the instance knows of the load on its chained services.
type loadPage struct {
	handler  *forward.Handler
	findings findingSource
	log      *logrus.Logger
}

// serve answers a request for the page.
func (p *loadPage) serve(ctx *fasthttp.RequestCtx, now time.Time) {
	page := p.handler.LoadPage(now)
	found := p.findings(now)
	page.Findings = append(page.Findings, found[:min(len(found), loadview.MaxFindings)]...)
	body, err := json.Marshal(&page)
	if err != nil {
		p.log.WithError(err).Warn("load not written")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
