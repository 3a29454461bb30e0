package forward

import (
	"github.com/valyala/fasthttp"

	"junctioncross/front"
	"junctioncross/models"
)

// outcome is how one attempt ended.
type outcome interface{ outcome() }

// delivered means that the whole answer was passed on.
type delivered struct{}

// callerGone means that the caller disconnected.
type callerGone struct{}

// notRun means that the server certainly did not run the request.
type notRun struct{ reason models.Reason }

// failed means that the server may have run the request.
type failed struct {
	reason models.Reason
	// answer is the server's own error answer, or nil when there is none that can be passed on.
	answer *heldAnswer
	// onPath is true if the path to the server failed and not the server.
	onPath bool
}

// handedOver means that the instance left the server on purpose and resumes the stream on another path.
type handedOver struct{}

// incomplete means that the caller has got events between which one is missing, so that the answer can only be broken off.
type incomplete struct{}

// expired means that the deadline passed.
type expired struct{}

func (delivered) outcome()  {}
func (callerGone) outcome() {}
func (notRun) outcome()     {}
func (failed) outcome()     {}
func (handedOver) outcome() {}
func (incomplete) outcome() {}
func (expired) outcome()    {}

// heldAnswer is a whole answer that has not been passed on yet.
type heldAnswer struct {
	head, body []byte
	// bodiless is true for an answer without a body, whose head names a length, or -1 if it names none.
	bodiless bool
	length   int
}

// hold returns an answer with its body.
func (h *Handler) hold(s *sentRequest, body []byte) *heldAnswer {
	a := &heldAnswer{head: h.codec.AppendAnswer(nil, &s.head), body: body, bodiless: s.bodiless, length: s.head.ContentLength()}
	if s.info.Status == fasthttp.StatusNoContent {
		a.length = noLength
	}
	return a
}

// passOn sends the answer to the caller.
func (a *heldAnswer) passOn(x *front.Exchange) {
	if a.bodiless {
		x.AnswerBodiless(a.head, a.length)
		return
	}
	x.Answer(a.head, a.body)
}

// noLength is the length of an answer that names none.
const noLength = -1

// withoutPath returns the outcome of a stream that has not begun and finds no path after an attempt that ended like this.
func (f *inflight) withoutPath(last outcome) outcome {
	switch {
	case last != nil:
		return last
	case f.plain:
		return notRun{reason: models.ReasonNoServer}
	default:
		return notRun{reason: models.ReasonNoRoom}
	}
}

// reasonOf returns the reason why an attempt did not deliver the answer, or an empty reason.
func reasonOf(last outcome) models.Reason {
	switch o := last.(type) {
	case notRun:
		return o.reason
	case failed:
		return o.reason
	case incomplete:
		return models.RetryOutOfOrder
	case quarantined:
		return o.reason()
	default:
		return ""
	}
}

// instead returns how the last attempt ended, with another reason that there is no further one.
func instead(last outcome, reason models.Reason) outcome {
	if _, ok := last.(notRun); ok || last == nil {
		return notRun{reason: reason}
	}
	return last
}
