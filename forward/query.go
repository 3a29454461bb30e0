package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/decision"
)

// reasonMemory is the reason of the questions that follow no event.
const reasonMemory = "memory"

const (
	// askTime bounds a question to a server; one that takes longer is as good as gone.
	askTime = 300 * time.Millisecond
	// fullMemoryShare is the part of a server's memory beyond which a line in the log says so.
	fullMemoryShare = 0.93
	// slowPace is how many times slower than usual a server has to be for a line in the log.
	slowPace = 1.5
)

// inquire asks a server for its state, in the background and not too often, when it gave reason to doubt. One that wants nothing is left
// alone; whether it still runs what it has begun is a matter for question.
func (h *Handler) inquire(server *backend.Server, why string) {
	if !server.Leaving() && !server.BackedOff(h.clock.Now()) {
		h.question(server, why)
	}
}

// question asks a server for its state in the background, whether it leaves or not.
func (h *Handler) question(server *backend.Server, why string) {
	if server.Ended() || !server.MayAsk(h.clock.Now()) {
		return
	}
	h.stats.Counter("inquiries_total{reason=\"" + why + "\"}").Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTime)
		defer cancel()
		report, err := h.caller.Report(ctx, server.Addr())
		h.believe(server, report, err, why)
	}()
}

// reportSlack is how much longer than a report lags its entry may take to be heard, with the way of the report.
const reportSlack = 200 * time.Millisecond

// reportsNewerLayers reports whether what a server says of its layers is newer than what its entry said: a report is some time old, and the
// entry of a server that has just loaded its layers is heard of before.
func (h *Handler) reportsNewerLayers(server *backend.Server) bool {
	lag := time.Duration(0)
	if c := h.board.Current().Catalog(); c != nil {
		if service := c.Service(server.Service()); service != nil && service.Engine != nil {
			lag = service.Engine.ReportLag
		}
	}
	return server.LayersFor(h.clock.Now()) > lag+reportSlack
}

// applyOtherIncarnation takes over that another start of the server has answered: a later one tells that this one is over, an earlier one nothing.
func (h *Handler) applyOtherIncarnation(server *backend.Server, report backend.Report, now time.Time) {
	later := backend.Incarnation{ID: server.ID(), Born: report.Born}
	if !later.After(server.Incarnation()) {
		return
	}
	server.Suspect(now.Add(suspectTime))
	server.NoteSilent(now)
	server.Finish()
	h.record.Failure("", "another start of the server answers", decision.Fields{
		"server": server.ID(), "address": server.Addr(), "born": server.Incarnation().Born, "answers": report.Born,
	})
}

// believe takes over what a server said of itself, or that it said nothing.
func (h *Handler) believe(server *backend.Server, report backend.Report, err error, why string) {
	now := h.clock.Now()
	fields := decision.Fields{"server": server.ID(), "address": server.Addr(), "why": why}
	if errors.Is(err, backend.ErrGarbled) {
		server.NoteAnswer(now)
		fields["error"] = err.Error()
		h.record.Failure("", "report not readable", fields)
		return
	}
	if report.RetryAfter > 0 {
		// It answers, and says that it does not want to be asked.
		server.NoteAnswer(now)
		h.applyNotice("", server, report.Notice)
		return
	}
	if err != nil {
		server.Suspect(now.Add(suspectTime))
		server.NoteSilent(now)
		if errors.Is(err, backend.ErrNotThere) {
			server.End()
		}
		fields["error"] = err.Error()
		h.record.Failure("", "server does not answer", fields)
		return
	}
	if report.Born != server.Incarnation().Born {
		h.applyOtherIncarnation(server, report, now)
		return
	}
	server.NoteAnswer(now)
	h.applyNotice("", server, report.Notice)
	if report.Limit.Named {
		// A report without a limit says nothing of what stands on answers to requests.
		h.noteLimit("", server, report.Limit, now)
	}
	server.SetPace(report.Pace, now)
	server.SetMemory(report.Used, report.Total, report.Waiting, now)
	fields["pace"], fields["running"], fields["waiting"] = report.Pace, report.Running, report.Waiting
	fields["memory_used"], fields["memory"], fields["layers"] = report.Used, report.Total, report.Layers.String()
	switch {
	case report.Layers != server.Layers() && h.reportsNewerLayers(server):
		// A server that was given more layers beside those of its entry still holds every path that was chosen by the entry.
		if !report.Layers.Holds(server.Layers()) {
			server.WasStale(now)
		}
		h.record.Failure("", "server holds other layers", fields)
	case report.Total > 0 && report.Used > fullMemoryShare*report.Total:
		h.record.Failure("", "server is full", fields)
	case report.Pace >= slowPace:
		h.record.Failure("", "server is slow", fields)
	case why == reasonMemory:
		// Told too often for a line each; the line of a stream tells what its choice went by.
	default:
		h.record.Routine("", "server is well", fields)
	}
}
