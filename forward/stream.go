package forward

import (
	"context"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/chain"
	"junctioncross/decision"
	"junctioncross/models"
	"junctioncross/retry"
)

// streamBuffer is the size in bytes of the buffer for one read from a server; it holds some events.
const streamBuffer = 4 << 10

// stream handles a request to a chained engine, whose servers each run some of the layers, or one whose answer is a stream of events.
func (h *Handler) stream(ctx context.Context, r *request) {
	f := &inflight{r: r, plain: r.group.Graph() == nil, events: events{last: parseResumeAfter(r.meta.ResumeAfter)}}
	f.need = h.needOf(r)
	h.noteEarlierTry(f)
	h.countTry(f)
	if refused, ok := h.admit(f); !ok {
		h.concludeStream(ctx, f, refused)
		return
	}
	var last outcome
	for attempt := 1; ; {
		path, instead := h.nextPath(ctx, f, last)
		if instead != nil {
			last = instead
			break
		}
		if k, ok := h.quarantineOf(f.r); ok {
			if f.r.x.Begun() {
				// The next search for a path waits until it may be sent.
				continue
			}
			last = k
			break
		}
		ended := h.attempt(ctx, f, path, attempt)
		if _, again := ended.(rechoose); again {
			continue
		}
		last = ended
		if !h.mayContinue(f, last, attempt) {
			break
		}
		attempt++
	}
	h.returnRetry(f)
	h.concludeStream(ctx, f, last)
}

// nextPath returns the path for the next attempt, or the outcome with which the stream ends if there is none.
func (h *Handler) nextPath(ctx context.Context, f *inflight, last outcome) (chain.Path, outcome) {
	if next := f.takeNext(); next != nil {
		f.r.group, f.laneLoad, f.chosenAt = next.group, next.load, next.at
		f.r.retryGranted, f.r.retryTaken = true, next.retryTaken
		f.left.Store(true)
		return next.path, nil
	}
	if f.mustGoOn() {
		path, obstacle, ok := h.awaitResumePath(ctx, f)
		if !ok {
			return chain.Path{}, failed{reason: obstacle}
		}
		return path, nil
	}
	// A wait for room would be in vain without a retry.
	if verdict := h.checkRetry(f); verdict != retry.Granted {
		return chain.Path{}, h.outOfBudget(f.r, last, verdict)
	}
	path, ok := h.awaitPath(ctx, f)
	if !ok {
		return chain.Path{}, f.withoutPath(last)
	}
	if !h.mayBegin(f.r) {
		return chain.Path{}, instead(last, models.ReasonDraining)
	}
	if verdict := h.maySendStream(f); verdict != retry.Granted {
		return chain.Path{}, h.outOfBudget(f.r, last, verdict)
	}
	return path, nil
}

// mustGoOn reports whether the stream is resumed for as long as its caller waits: its answer has begun, or it has left a server that may
// have gone on with it.
func (f *inflight) mustGoOn() bool { return f.r.x.Begun() || f.left.Load() }

// mayContinue reports whether another attempt follows one with this outcome. A stream that must go on does, unless it must not run
// again; the search for its next path finds out what it has to wait for.
func (h *Handler) mayContinue(f *inflight, last outcome, attempt int) bool {
	if _, ok := last.(handedOver); ok {
		f.left.Store(true)
		return true
	}
	if _, refused := last.(notRun); !f.r.x.Begun() && (!f.left.Load() || !refused) {
		return h.mayRetry(f.r, last, attempt)
	}
	switch o := last.(type) {
	case notRun:
		f.refusals++
		h.stats.Retried(o.reason)
		return true
	case failed:
		if !f.r.route.MayRetry() {
			return false
		}
		h.stats.Retried(o.reason)
		return true
	default:
		return false
	}
}

func (h *Handler) observeLoad(f *inflight, s *sentRequest) {
	f.first.SetLoad(s.info.Load, h.clock.Now())
	if f.plain {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loadRatio.observe(s.info.Load, f.first.Running())
}

// refusedStream returns the outcome of an answer that is not a stream, and notes the failure or refusal at the server.
func (h *Handler) refusedStream(f *inflight, s *sentRequest) outcome {
	body, err := h.readWhole(f.r, s)
	h.watch.remove(f)
	h.finish(s, err == nil)
	if s.info.NotRun {
		h.noteRefusal(f, s)
		return notRun{reason: models.RetryRefused}
	}
	if err == nil && !f.r.x.Begun() && (f.plain || !f.r.route.Stream) {
		return h.judgeAnswer(f.r, f.first, s, body)
	}
	f.first.Observe(false)
	f.first.ReleaseTrial()
	f.r.ranOn(f.first)
	if err != nil || f.r.x.Begun() {
		return failed{reason: models.ReasonServiceFailed}
	}
	return failed{reason: models.ReasonServiceFailed, answer: h.failureAnswer(s, body)}
}

// noteRefusal keeps new work away from the server that caused a refusal: the one that the answer names, or else the first
// one.
func (h *Handler) noteRefusal(f *inflight, s *sentRequest) {
	server := f.first
	if s.info.Fault != "" {
		if at := f.r.group.ByAddr(s.info.Fault); at != nil {
			server = at
		}
	}
	f.noteRejection(server, h.clock.Now())
	h.recordRefusal(f.r, server, s)
	if !f.plain {
		h.queryIfActive(server, "refusal")
	}
	// A server that refuses late itself was silent and has answered; one that others have waited for has not.
	if server != f.first && f.pause(h) >= h.settings.Load().StallTime/2 {
		server.SetAside(h.clock.Now().Add(h.settings.Load().StallTime))
	}
}

// brokenStream returns the outcome of an attempt whose connection or stream broke.
func (h *Handler) brokenStream(ctx context.Context, f *inflight, err error) outcome {
	if ctx.Err() != nil || f.r.x.Failed() {
		f.r.ranOn(f.first)
		f.first.ReleaseTrial()
		return callerGone{}
	}
	missed := errors.Is(err, errMissedEvent)
	if f.next.Load() != nil && !missed {
		return h.handedOverFrom(f, f.path().hops[0].Layers)
	}
	f.r.ranOn(f.first)
	if h.pathFailed(f.first, f.conn, err) {
		f.first.ReleaseTrial()
		h.stats.Counter("streams_on_failed_paths_total").Inc(1)
	} else {
		h.noteBreak(f, f.first)
		f.noteBroken(h)
		h.suspectEnd(f.r, f.first, f.brokenRun(h))
	}
	if !f.plain && !f.r.x.Begun() && f.r.activeRuns() >= f.r.route.MaxAttempts {
		// Another attempt is allowed only if one of the servers that ran the request has terminated.
		h.queryFormer(ctx, activeServers(f.r.ran))
	}
	h.record.Failure(f.r.meta.ID, "attempt broken", h.fields(f.r, decision.Fields{
		"server": f.first.ID(), "address": f.first.Addr(), "path": f.path().describe(), "error": err.Error(), "ended_by": f.runEnded(),
		"last_event": f.events.last, "runs": f.r.runs, "gone": f.first.Gone(),
		"leaving_ms": f.first.LeavingFor(h.clock.Now()).Milliseconds(), "fingerprint": f.r.fingerprint().String(),
	}))
	if missed {
		return incomplete{}
	}
	return failed{reason: models.RetryBroken}
}

// noteBreak counts a broken stream as a failure of its server, except for a server that is leaving, whose streams are
// expected to break. It also finds out whether the server has terminated.
func (h *Handler) noteBreak(f *inflight, server *backend.Server) {
	if server.Leaving() {
		server.ReleaseTrial()
	} else {
		server.Observe(false)
		server.Failed(h.clock.Now())
	}
	h.lookAfter(f, server, "broken stream")
}

// concludeStream logs the outcome of the stream and answers the caller who has no answer yet. A stream that has begun and
// cannot be resumed is broken off.
func (h *Handler) concludeStream(ctx context.Context, f *inflight, last outcome) {
	r := f.r
	h.countRefused(f, last)
	if _, whole := last.(delivered); whole {
		h.record.Routine(r.meta.ID, "finished", h.fields(r, decision.Fields{
			"outcome": "whole", "first_event_ms": f.firstEvent.Milliseconds(), "longest_pause_ms": f.longestPause.Milliseconds(),
			"repairs": f.repairs, "events": f.events.last + 1,
		}))
		return
	}
	if !r.x.Begun() {
		h.conclude(ctx, r, last)
		return
	}
	if ctx.Err() != nil && h.remaining(r) > 0 || r.x.Failed() {
		h.stats.Counter("callers_gone_total").Inc(1)
		h.record.Last(r.meta.ID, "finished", h.fields(r, decision.Fields{"outcome": "caller left"}))
		return
	}
	h.stats.Refused(models.ReasonStreamBroken, models.FateUnknown)
	why := reasonOf(last)
	h.stats.Counter("streams_broken_off_total{reason=\"" + string(why) + "\"}").Inc(1)
	h.record.Last(r.meta.ID, "broken off", h.fields(r, decision.Fields{
		"reason": models.ReasonStreamBroken, "last_attempt": why, "last_event": f.events.last, "runs": r.runs,
		"most_runs": r.route.MaxAttempts, "still_ms": f.pause(h).Milliseconds(), "patience_ms": patienceOf(r.route).Milliseconds(),
	}))
}
