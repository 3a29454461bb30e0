package forward

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
)

// passAnswer sends an answer on to the caller: a stream event by event, any other one once it is whole.
func (h *Handler) passAnswer(ctx context.Context, f *inflight, s *sentRequest) error {
	q := h.queueOf(f.first.Service())
	q.addUnderWay(f, f.r.x.Arrived())
	defer q.removeUnderWay(f)
	if f.r.route.Stream {
		return h.passEvents(ctx, f, s)
	}
	return h.passWhole(ctx, f, s)
}

// passEvents sends whole events on to the caller as they arrive; nil means that the stream ended as it should.
func (h *Handler) passEvents(ctx context.Context, f *inflight, s *sentRequest) error {
	body := s.body()
	buffer := make([]byte, streamBuffer)
	for {
		f.beginWait(h)
		n, err := body.Read(buffer)
		f.endWait()
		out, bad := f.events.feed(buffer[:n])
		if len(out) > 0 {
			h.observePause(f)
			f.touch(h)
			h.pass(f, s, out)
			h.noteHarmless(f)
		}
		switch {
		case bad != nil:
			return bad
		case f.r.x.Failed():
			return errCallerGone
		case errors.Is(err, io.EOF):
			return h.endStream(ctx, f, s, body)
		case err != nil:
			return err
		}
	}
}

var errCallerGone = errors.New("forward: caller cannot be reached")

// ran returns for how long the current server is known to have run the stream: from its first event to its latest one, since a server
// that has been silent since may have terminated; 0 before the first.
func (f *inflight) ran(h *Handler) time.Duration {
	if !f.progressed.Load() {
		return 0
	}
	return h.watch.start.Add(time.Duration(f.lastAt.Load())).Sub(f.ranSince)
}

// brokenRun returns what is known of the present run, which broke.
func (f *inflight) brokenRun(h *Handler) brokenRun {
	run := brokenRun{begun: !f.answeredAt.IsZero(), lasted: f.ran(h)}
	if run.begun {
		run.answered = h.clock.Since(f.answeredAt)
	}
	return run
}

// noteHarmless clears the request once its server has run it for long enough.
func (h *Handler) noteHarmless(f *inflight) {
	if f.harmless || f.ran(h) < harmlessTime {
		return
	}
	f.harmless = true
	h.clear(f.r)
}

// observePause records the time to the first event, or the pause between two events.
func (h *Handler) observePause(f *inflight) {
	waited := f.pause(h)
	if f.progressed.CompareAndSwap(false, true) {
		f.ranSince = h.clock.Now()
	}
	if f.firstEvent > 0 {
		f.longestPause = max(f.longestPause, waited)
		h.stats.Histogram("pause_ms").Update(waited.Milliseconds())
		return
	}
	h.queueOf(f.first.Service()).observeFirstEvent(waited)
	f.firstEvent = h.clock.Since(f.r.x.Arrived())
	h.stats.Histogram("first_event_ms").Update(f.firstEvent.Milliseconds())
	if f.plain {
		return
	}
	predicted := time.Duration(f.firstEventDue.Load())
	h.stats.Histogram("first_event_predicted_ms").Update(predicted.Milliseconds())
	h.observeRatio("first_event", waited, predicted)
}

func (h *Handler) pass(f *inflight, s *sentRequest, out []byte) {
	f.begun.Store(true)
	if f.r.x.Begun() {
		f.r.x.Stream(out)
		return
	}
	f.r.x.BeginStream(h.codec.AppendAnswer(nil, &s.head), out)
}

// endStream ends the answer after the server's last byte. An incomplete event at the end means that the stream broke off.
func (h *Handler) endStream(ctx context.Context, f *inflight, s *sentRequest, body answerBody) error {
	if len(f.events.pending) > 0 {
		return errMalformed
	}
	if err := body.end(); err != nil {
		return err
	}
	if !s.framed() && h.brokeBetweenEvents(ctx, f) {
		return errCutOff
	}
	return h.completeStream(f, s)
}

// errCutOff means that the connection of an answer without a marked end ended, and the answer may be incomplete.
var errCutOff = errors.New("forward: connection ended, answer may be incomplete")

// brokeBetweenEvents reports whether a stream that ended with its connection is to be taken as incomplete: a new answer has no event, or its
// run may have ended otherwise.
func (h *Handler) brokeBetweenEvents(ctx context.Context, f *inflight) bool {
	return !f.progressed.Load() && !f.events.resumed() || h.mayHaveEnded(ctx, f)
}

// mayHaveEnded reports whether an answer that ended with its connection may have done so because its run ended: this instance closed the
// connection, or the server is not known to be alive. Servers that leave end in the middle of answers. One that no longer holds its layers may
// have started again.
func (h *Handler) mayHaveEnded(ctx context.Context, f *inflight) bool {
	// The request is not to be handed over while its end is judged.
	h.watch.remove(f)
	if f.next.Load() != nil {
		return true
	}
	if f.plain {
		return !h.livesAfter(ctx, f.first)
	}
	if h.fateOf(f.first, true, h.clock.Now()) != fateAlive {
		return true
	}
	c := f.path()
	return len(c.hops) == 0 || !f.first.ReportedLayers().Holds(c.hops[0].Layers)
}

// completeStream marks the answer as complete. A server that resumes a stream after its last event sends a whole answer without
// events; otherwise a whole answer has one.
func (h *Handler) completeStream(f *inflight, s *sentRequest) error {
	if !f.r.x.Begun() {
		if !f.events.resumed() {
			return errMalformed
		}
		h.pass(f, s, nil)
	}
	f.r.x.EndStream(nil)
	if f.r.x.Failed() {
		return errCallerGone
	}
	return nil
}

// passWhole sends an answer that is no stream on to the caller once it is whole.
func (h *Handler) passWhole(ctx context.Context, f *inflight, s *sentRequest) error {
	body, err := h.readWhole(f.r, s)
	if err != nil {
		return err
	}
	if !s.framed() && h.mayHaveEnded(ctx, f) {
		return errCutOff
	}
	h.hold(s, body).passOn(f.r.x)
	if f.r.x.Failed() {
		return errCallerGone
	}
	return nil
}
