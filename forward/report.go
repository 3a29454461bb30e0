package forward

import (
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/decision"
)

const (
	// fullMemoryShare is the used share of a server's memory above which the server is logged as full.
	fullMemoryShare = 0.93
	// slowPace is how many times slower than usual a server must be to be logged as slow.
	slowPace = 1.5
)

// stateQuery is a query of a server's state.
type stateQuery struct {
	server *backend.Server
	// sentAt is when it was sent, and timeout how soon a sound server answers it.
	sentAt  time.Time
	timeout time.Duration
	why     string
}

// answerMissed reports whether an answer may have failed to reach this instance in time because the instance itself was late. That nothing
// listens at the server is known at once in any case.
func (h *Handler) answerMissed(q stateQuery, err error) bool {
	if !errors.Is(err, backend.ErrNoAnswer) || errors.Is(err, backend.ErrNotListening) || !h.clock.DelayedSince(q.sentAt, q.timeout) {
		return false
	}
	h.stats.Counter("silences_not_believed_total").Inc(1)
	return true
}

// applyAnswer applies the report that answers a query, or the error of that query, and reports whether the query has shown anything.
func (h *Handler) applyAnswer(q stateQuery, report backend.Report, err error) bool {
	if h.answerMissed(q, err) {
		return false
	}
	h.applyResult(q, report, err)
	return true
}

// applyResult applies a report, or the error of a query that does not come from this instance's own delay.
func (h *Handler) applyResult(q stateQuery, report backend.Report, err error) {
	server, sentAt, why, now := q.server, q.sentAt, q.why, h.clock.Now()
	fields := decision.Fields{"server": server.ID(), "address": server.Addr(), "why": why}
	if errors.Is(err, backend.ErrGarbled) {
		h.noteAnswer(server, sentAt, now)
		fields["error"] = err.Error()
		h.record.Failure("", "report not readable", fields)
		return
	}
	if report.RetryAfter > 0 {
		// It answers, but refuses to be queried.
		h.noteAnswer(server, sentAt, now)
		h.applyNotice("", server, report.Notice)
		return
	}
	if err != nil {
		fields["error"] = err.Error()
		h.applyNoAnswer(server, sentAt, err, fields, now)
		return
	}
	if report.Born != server.Incarnation().Born {
		h.applyOtherIncarnation(server, report, now)
		return
	}
	server.NoteReportedLayers(report.Layers)
	h.noteAnswer(server, sentAt, now)
	h.applyNotice("", server, report.Notice)
	h.applyLoad(server, report, fields, now)
	h.recordReport(server, report, fields, why, now)
}

// applyOtherIncarnation handles a report of another incarnation of the server: a later one means that this one has ended once it has
// answered twice, and that it gets no new work until then; an earlier one means nothing.
func (h *Handler) applyOtherIncarnation(server *backend.Server, report backend.Report, now time.Time) {
	later := backend.Incarnation{ID: server.ID(), Born: report.Born}
	if !later.After(server.Incarnation()) {
		return
	}
	server.Suspect(now.Add(suspectTime))
	server.NoteSilent(backend.Connected, now)
	h.silent.add(server)
	if !server.NoteLaterStart(report.Born) {
		return
	}
	server.MarkReplaced()
	h.record.Failure("", "another start of the server answers", decision.Fields{
		"server": server.ID(), "address": server.Addr(), "born": server.Incarnation().Born, "answers": report.Born,
	})
}

// applyNoAnswer applies that a server did not answer a query. It changes nothing if the server has answered one that was sent later. The
// queries to a server that is silent already are not logged again.
func (h *Handler) applyNoAnswer(server *backend.Server, sentAt time.Time, err error, fields decision.Fields, now time.Time) {
	if server.AnsweredSince(sentAt) {
		return
	}
	known := server.IsSilent()
	server.Suspect(now.Add(suspectTime))
	server.NoteSilent(reachabilityOf(err), now)
	h.silent.add(server)
	kind := backend.FindingSilent
	if errors.Is(err, backend.ErrNotListening) {
		kind = backend.FindingNotListening
		server.MarkEnded()
	}
	h.fleetView.NoteFinding(server, kind, now)
	if !known || fields["why"] != reasonSilent {
		h.record.Failure("", "server does not answer", fields)
	}
}

// reachabilityOf returns what the error of an unanswered query says of connections to the server.
func reachabilityOf(err error) backend.Reachability {
	switch {
	case errors.Is(err, backend.ErrUnreachable):
		return backend.NotConnected
	case errors.Is(err, errBothUnanswered):
		return backend.ReachableUnknown
	default:
		return backend.Connected
	}
}

// applyLoad applies what a report says of the load of its server, and adds it to the fields of a log line.
func (h *Handler) applyLoad(server *backend.Server, report backend.Report, fields decision.Fields, now time.Time) {
	if report.Limit.Named {
		// A report without a limit says nothing about the limit that answers to requests name.
		h.noteLimit("", server, report.Limit, now)
	}
	server.SetPace(report.Pace, now)
	server.SetMemory(report.Used, report.Total, report.Waiting, now)
	fields["pace"], fields["running"], fields["waiting"] = report.Pace, report.Running, report.Waiting
	fields["memory_used"], fields["memory"], fields["layers"] = report.Used, report.Total, report.Layers.String()
}

// recordReport logs what a report says of its server, and notes layers that are newer than the server's entry.
func (h *Handler) recordReport(server *backend.Server, report backend.Report, fields decision.Fields, why string, now time.Time) {
	switch {
	case report.Layers != server.Layers() && h.reportsNewerLayers(server):
		// A server that got more layers than its entry names still holds those of every path that was chosen by the entry.
		if !report.Layers.Holds(server.Layers()) {
			server.NoteStaleLayers(now)
		}
		h.record.Failure("", "server holds other layers", fields)
	case report.Total > 0 && report.Used > fullMemoryShare*report.Total:
		h.record.Failure("", "server is full", fields)
	case report.Pace >= slowPace:
		h.record.Failure("", "server is slow", fields)
	case why == reasonMemory:
		// Too frequent for a log line each; the log line of a stream says what its choice was based on.
	default:
		h.record.Routine("", "server is well", fields)
	}
}
