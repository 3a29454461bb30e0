package forward

import (
	"context"

	"github.com/valyala/fasthttp"

	"junctioncross/call"
	"junctioncross/chain"
	"junctioncross/decision"
)

// attempt sends the request along a path, or to a server of a plain service, and passes its events on until the answer ends.
func (h *Handler) attempt(ctx context.Context, f *inflight, path chain.Path, attempt int) (out outcome) {
	r := f.r
	f.assign(r.group, path.Hops)
	defer f.release()
	f.first = r.group.Servers()[path.Hops[0].Server]
	f.firstEventDue.Store(int64(path.Read + path.Step))
	f.events.beginRun()
	f.beginAttempt(h, path, attempt)
	f.closedFor.Store(nil)
	f.first.AddFirstStage(1)
	defer f.first.AddFirstStage(-1)
	f.first.Chosen()
	defer releaseTrialUnless(&out, f.first)
	s, err := h.sendAlong(ctx, f, path, attempt)
	if s == nil {
		return h.unsentStream(ctx, f, err)
	}
	h.countPath(f)
	f.conn = s.conn
	f.touch(h)
	f.beginWait(h)
	defer f.endWait()
	h.watch.add(f)
	defer h.watch.remove(f)
	if err == nil {
		err = h.receive(r, s)
	}
	if err != nil {
		h.finish(s, false)
		return h.brokenStream(ctx, f, err)
	}
	h.observeLoad(f, s)
	if s.info.Status != fasthttp.StatusOK {
		return h.refusedStream(f, s)
	}
	if !s.info.Sealed {
		h.finish(s, false)
		return h.brokenStream(ctx, f, errMalformed)
	}
	if s.bodiless {
		return h.passHeadOn(f, s)
	}
	f.refusals = 0
	f.answeredAt = h.clock.Now()
	f.noteAccepted()
	err = h.passAnswer(ctx, f, s)
	// A connection that is kept may carry another request at once, and a hand-over of this stream must not close it then.
	h.watch.remove(f)
	h.finish(s, err == nil)
	if err != nil {
		return h.brokenStream(ctx, f, err)
	}
	h.noteDelivered(f)
	return delivered{}
}

// sendAlong logs an attempt and sends the request to the first server of its path.
func (h *Handler) sendAlong(ctx context.Context, f *inflight, path chain.Path, attempt int) (*sentRequest, error) {
	r := f.r
	h.record.Routine(r.meta.ID, "sent", h.fields(r, decision.Fields{
		"server": f.first.ID(), "attempt": attempt, "path": f.path().describe(), "predicted_step_us": path.Step.Microseconds(),
		"predicted_read_us": path.Read.Microseconds(), "tokens": f.need.Tokens, "lane_load": f.laneLoad, "returned": f.returned,
		"resume_after": f.events.resumeAfter(),
	}))
	params := &call.SendParams{
		Path: f.pathToSend(), ResumeAfter: f.events.resumeAfter(), Urgency: h.rankPosition(r, f.first.Service()).level(f.returned),
	}
	to := destination{
		server: f.first, fresh: attempt > 1 || !r.route.MayRetry(), open: func() bool { return h.mayStillSend(f) },
	}
	return h.send(ctx, r, to, params)
}

// noteDelivered records that the first server of the path has delivered the answer.
func (h *Handler) noteDelivered(f *inflight) {
	r := f.r
	f.noteAnswered()
	h.clearEnds(r)
	if f.progressed.Load() {
		h.proveParts(r)
	}
	h.observeLifetime(f)
	if f.plain {
		h.plainTimes.add(r, h.clock.Since(r.x.Arrived()))
	}
	h.queueOf(f.first.Service()).ended(h.clock.Since(r.x.Arrived()))
}

// noteAnswered records that the first server of the path has run the request and answered it.
func (f *inflight) noteAnswered() {
	f.r.ranOn(f.first)
	f.first.Observe(true)
	f.first.Succeeded()
}

// passHeadOn passes the head of a stream on to a caller who asked for nothing else.
func (h *Handler) passHeadOn(f *inflight, s *sentRequest) outcome {
	h.watch.remove(f)
	h.finish(s, true)
	f.noteAnswered()
	h.hold(s, nil).passOn(f.r.x)
	return delivered{}
}
