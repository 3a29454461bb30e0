package forward

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"junctioncross/backend"
	"junctioncross/decision"
	"junctioncross/follow"
)

// nearlyFullShare is the used share of a server's memory from which a refusal counts as one for lack of memory.
const nearlyFullShare = 0.8

// Findings returns the findings of other instances that keep new work away from servers.
func (h *Handler) Findings(now time.Time) []follow.FindingInForce { return h.fleetView.Findings(now) }

// shareRefusal passes on to other instances that a server of a chained engine caused a refusal; filled is the share of its memory
// that was in use by what was known before. A back-off holds for this instance only, and is not passed on.
func (h *Handler) shareRefusal(r *request, server *backend.Server, s *sentRequest, filled float64, known bool, now time.Time) {
	if r.group.Graph() == nil {
		return
	}
	kind := backend.FindingFull
	switch {
	case s.info.Status == fasthttp.StatusMisdirectedRequest:
		kind = backend.FindingStaleLayers
	case s.info.RetryAfter > 0 || server.BackedOff(now):
		return
	case s.info.Leaving || known && filled < nearlyFullShare:
		kind = backend.FindingRefusing
	}
	h.fleetView.NoteFinding(server, kind, now)
}

// observeFinding counts what becomes of a finding, and logs the changes that it makes to the servers in use.
func (w *watcher) observeFinding(e follow.FindingEvent) {
	stats, kind := w.handler.stats, "{kind=\""+e.Finding.Kind.String()+"\"}"
	if e.Received {
		stats.Counter("findings_received_total" + kind).Inc(1)
	}
	switch {
	case e.Outcome == follow.FindingSent:
		stats.Counter("findings_sent_total" + kind).Inc(1)
	case e.Outcome == follow.FindingApplied:
		stats.Counter("findings_applied_total" + kind).Inc(1)
		w.logFinding("server out of use by a finding", e.Finding)
	case e.Outcome == follow.FindingTakenBack:
		stats.Counter("findings_taken_back_total" + kind).Inc(1)
		w.logFinding("finding taken back", e.Finding)
	case e.Outcome.Dropped():
		stats.Counter("findings_dropped_total{reason=\"" + string(e.Outcome) + "\"}").Inc(1)
	default:
		stats.Counter("findings_ignored_total{reason=\"" + string(e.Outcome) + "\"}").Inc(1)
	}
}

// observeReportFault counts and logs a report of another instance that is not used.
func (w *watcher) observeReportFault(server string, fault backend.FieldFault) {
	h := w.handler
	h.stats.Counter("shared_reports_dropped_total{field=\"" + fault.Name + "\"}").Inc(1)
	if w.findingLog.Allow("report not used "+server, h.clock.Now()) {
		h.record.Failure("", "report of another instance not used", decision.Fields{"server": server, "field": fault.Name, "value": fmt.Sprint(fault.Value)})
	}
}

// logFinding logs a finding, at most one line a second about each server and kind of line.
func (w *watcher) logFinding(message string, f backend.Finding) {
	h := w.handler
	if w.findingLog.Allow(message+" "+f.Server, h.clock.Now()) {
		h.record.Failure("", message, decision.Fields{
			"server": f.Server, "kind": f.Kind.String(), "source": f.Source, "age_ms": f.Age.Milliseconds(),
		})
	}
}

// refuteFindings takes back findings that a server cannot be reached, if a stream has made progress through it since.
func (w *watcher) refuteFindings(now time.Time) {
	inForce := w.handler.fleetView.Findings(now)
	if len(inForce) == 0 {
		return
	}
	lastProgress := w.lastProgress()
	for _, f := range inForce {
		if at, ok := lastProgress[f.Server]; ok {
			f.Server.TakeBackFinding(w.start.Add(at))
		}
	}
}

// measureFindings exports the number of findings in force.
func (h *Handler) measureFindings(now time.Time) {
	h.stats.Gauge("findings_in_force").Update(int64(len(h.fleetView.Findings(now))))
}
