package forward

import (
	"context"
	"time"

	"junctioncross/backend"
)

// reasonMemory is the reason of the regular queries, which follow no event.
const reasonMemory = "memory"

// queryTimeout limits a state query; a server that takes longer counts as silent.
const queryTimeout = 300 * time.Millisecond

// queryIfActive queries the state of a server in the background when there is a reason to doubt it, unless the server is leaving
// or has backed off. To learn whether such a server still runs what it has begun, use queryState.
func (h *Handler) queryIfActive(server *backend.Server, why string) {
	if !server.Leaving() && !server.BackedOff(h.clock.Now()) {
		h.queryState(server, why)
	}
}

// queryState queries the state of a server in the background, even if it is leaving or has backed off. The rate of queries to
// a server is limited.
func (h *Handler) queryState(server *backend.Server, why string) {
	if server.Ended() || !server.TryQuery(h.clock.Now()) {
		return
	}
	h.stats.Counter("inquiries_total{reason=\"" + why + "\"}").Inc(1)
	go func() { h.guarded(server, func() { h.queryNow(server, why) }) }()
}

// lookAfter finds out in the background what has become of a server of a stream: one of an engine is queried for its state, one of a plain
// service, which has no state query, is checked to listen. The rate of both is limited.
func (h *Handler) lookAfter(f *inflight, server *backend.Server, why string) {
	if !f.plain {
		h.queryState(server, why)
		return
	}
	if !server.Ended() && server.TryQuery(h.clock.Now()) {
		go func() { h.guarded(server, func() { h.checkListening(server) }) }()
	}
}

// queryNow queries the state of a server and applies the answer.
func (h *Handler) queryNow(server *backend.Server, why string) {
	ctx, cancel := context.WithTimeout(context.Background(), h.clock.Patience(queryTimeout))
	defer cancel()
	q := stateQuery{server: server, sentAt: h.clock.Now(), timeout: queryTimeout, why: why}
	report, err := h.engines.Report(ctx, server.Addr())
	h.applyAnswer(q, report, err)
}

// reportSlack is how much longer than the lag of reports an entry must be known before a report counts as newer: the time
// for the entry to be received and for the transfer of the report.
const reportSlack = 200 * time.Millisecond

// reportsNewerLayers reports whether what a server reports about its layers is newer than its entry. A report is some time old,
// so the entry of a server that has just loaded layers is received before a report shows them.
func (h *Handler) reportsNewerLayers(server *backend.Server) bool {
	return server.LayersFor(h.clock.Now()) > h.reportLag(server)+reportSlack
}

// reportLag returns the maximum age of the state that a report of the server describes.
func (h *Handler) reportLag(server *backend.Server) time.Duration {
	if c := h.fleetView.Current().Catalog(); c != nil {
		if service := c.Service(server.Service()); service != nil && service.Engine != nil {
			return service.Engine.ReportLag
		}
	}
	return 0
}

// countSaved counts a state query that a diagnosis did not need.
func (h *Handler) countSaved(reason querySaving) {
	h.stats.Counter("inquiries_saved_total{reason=\"" + string(reason) + "\"}").Inc(1)
}
