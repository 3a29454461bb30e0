package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"junctioncross/backend"
	"junctioncross/call"
)

// sharedFindings returns the findings that an instance passes on after some refusals.
func sharedFindings(t *testing.T, refuse func(h *Handler, r *request, g *backend.Group)) []backend.Finding {
	h, clock := testHandler(t, nil)
	g := twoCopies()
	h.fleetView.Identify("self", "a")
	h.fleetView.ApplySharedReports([]backend.SharedReport{{ID: "other"}}, clock.Now())
	clock.Advance(10 * time.Millisecond)
	refuse(h, &request{group: g}, g)
	var out []backend.Finding
	for _, r := range h.fleetView.OwnReports(clock.Now().Add(-time.Second), clock.Now()) {
		out = append(out, r.Findings...)
	}
	return out
}

// TestRefusalsAndSilenceAreShared has servers refuse requests for each reason, and one that does not listen.
func TestRefusalsAndSilenceAreShared(t *testing.T) {
	found := sharedFindings(t, func(h *Handler, r *request, g *backend.Group) {
		now, s := h.clock.Now(), g.Servers()
		s[1].SetMemory(10, 100, 0, now)
		s[2].SetMemory(95, 100, 0, now)
		h.shareRefusal(r, s[0], &sentRequest{info: call.Answer{Status: fasthttp.StatusMisdirectedRequest}}, 0, false, now)
		for _, server := range s[1:3] {
			filled, known := server.Filled(now, maxReportAge, 1)
			h.shareRefusal(r, server, &sentRequest{info: call.Answer{Status: fasthttp.StatusServiceUnavailable}}, filled, known, now)
		}
		h.applyReport(s[3], backend.Report{}, backend.NotListening(backend.ErrNoAnswer), "slow stream")
	})
	kinds := make([]backend.FindingKind, len(found))
	for i, f := range found {
		kinds[i] = f.Kind
		require.Equal(t, "self", f.Source)
	}
	require.Equal(t, []backend.FindingKind{
		backend.FindingStaleLayers, backend.FindingRefusing, backend.FindingFull, backend.FindingNotListening,
	}, kinds)
}

// TestABackOffIsNotShared has a server ask this instance for a back-off.
func TestABackOffIsNotShared(t *testing.T) {
	require.Empty(t, sharedFindings(t, func(h *Handler, r *request, g *backend.Group) {
		info := call.Answer{Status: fasthttp.StatusServiceUnavailable, Notice: call.Notice{RetryAfter: time.Second}}
		h.shareRefusal(r, g.Servers()[0], &sentRequest{info: info}, 0, false, h.clock.Now())
	}))
}

// TestNothingIsSharedWithoutRelays has a server refuse a request in a fleet whose instances do not share reports.
func TestNothingIsSharedWithoutRelays(t *testing.T) {
	h, clock := testHandler(t, nil)
	g := twoCopies()
	h.fleetView.Identify("self", "a")
	info := call.Answer{Status: fasthttp.StatusServiceUnavailable}
	h.shareRefusal(&request{group: g}, g.Servers()[0], &sentRequest{info: info}, 0, false, clock.Now())
	require.Empty(t, h.fleetView.OwnReports(clock.Now().Add(-time.Second), clock.Now().Add(time.Second)))
}
