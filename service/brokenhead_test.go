package service_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"junctioncross/httphead/headcase"
	"junctioncross/httphead/headtest"
	"junctioncross/intent"
	"junctioncross/metrics"
	"junctioncross/service"
)

// TestAnAnswerWithABrokenHeadReachesNoCallerOfAService guards against answers that are mended on their way, and against a call that is sent again
// although it may have run.
func TestAnAnswerWithABrokenHeadReachesNoCallerOfAService(t *testing.T) {
	for _, c := range headcase.Broken() {
		for name, mayRetry := range map[string]bool{"may be retried": true, "must not be retried": false} {
			t.Run(name+", "+c.String(), func(t *testing.T) {
				server := headtest.NewServer(t, c.Answer("", "data"))
				req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				defer fasthttp.ReleaseRequest(req)
				defer fasthttp.ReleaseResponse(resp)
				req.SetRequestURI("http://service/a")
				req.Header.SetMethod(http.MethodPost)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				s := &intent.Service{Name: "s", Addrs: []string{server.Addr()}}
				err := service.New(metrics.New()).Forward(ctx, s, req, resp, mayRetry)
				require.ErrorIs(t, err, service.ErrOutcomeUnknown)
				require.Equal(t, mayRetry, server.Requests() > 1)
			})
		}
	}
}
