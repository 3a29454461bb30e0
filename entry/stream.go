package entry

import (
	"bufio"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/decision"
	"junctioncross/models"
	"junctioncross/pipeline"
)

// streamBuffer is the number of tokens that are buffered for a slow caller; beyond it the pipeline waits.
const streamBuffer = 256

var errCallerGone = errors.New("entry: caller has disconnected")

// stream passes the tokens of one answer from the pipeline to the goroutine that writes the answer.
type stream struct {
	call       *call
	params     completionParams
	tokens     chan pipeline.Token
	callerGone chan struct{}
	once       sync.Once
	done       chan struct{}
	failure    error

	// The fields below are used only by the goroutine that reads the tokens; peeked is the first token until next returns it.
	peeked           *pipeline.Token
	completionTokens int
	promptTokens     int
	stopped          bool
}

func newStream(c *call, p completionParams) *stream {
	return &stream{
		call: c, params: p, tokens: make(chan pipeline.Token, streamBuffer),
		callerGone: make(chan struct{}), done: make(chan struct{}),
	}
}

// put passes a token on, and waits while the buffer is full; it returns errCallerGone once the caller has disconnected.
func (s *stream) put(t pipeline.Token) error {
	select {
	case <-s.callerGone:
		return errCallerGone
	default:
	}
	select {
	case s.tokens <- t:
		return nil
	case <-s.callerGone:
		return errCallerGone
	}
}

// finish ends the stream; err is the pipeline's error, nil for a complete answer.
func (s *stream) finish(err error) {
	s.failure = err
	close(s.done)
	close(s.tokens)
}

// abandon makes put fail, which ends the pipeline of an answer whose caller has disconnected.
func (s *stream) abandon() { s.once.Do(func() { close(s.callerGone) }) }

// first waits for the first token; it returns the error of an answer that failed before that token.
func (s *stream) first() error {
	t, ok := <-s.tokens
	if !ok {
		<-s.done
		return s.failure
	}
	s.peeked = &t
	return nil
}

// next waits for the next token and returns it, or false after the last one.
func (s *stream) next() (pipeline.Token, bool) {
	if s.peeked != nil {
		t := *s.peeked
		s.peeked = nil
		return s.counted(t), true
	}
	t, ok := <-s.tokens
	if !ok {
		return t, false
	}
	return s.counted(t), true
}

func (s *stream) counted(t pipeline.Token) pipeline.Token {
	s.promptTokens = t.Prompt
	s.stopped = t.End
	if !t.End {
		s.completionTokens++
	}
	return t
}

// err returns the pipeline's error, nil for a complete answer; it waits until the stream has ended.
func (s *stream) err() error {
	<-s.done
	return s.failure
}

func (s *stream) summary() summary {
	return summary{
		id: s.call.id, model: s.params.model, created: s.call.start.Unix(),
		promptTokens: s.promptTokens, completionTokens: s.completionTokens, stopped: s.stopped,
	}
}

// writeStream sends the answer as server-sent events.
func (h *Handler) writeStream(ctx *fasthttp.RequestCtx, c *call, s *stream, f format) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.Header.Set(models.HeaderRequestID, c.id)
	c.streaming = true
	h.active.Add(1)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer h.active.Done()
		defer s.abandon()
		if err := h.writeEvents(w, s, f); err != nil {
			h.stats.Refused(models.ReasonCallerGone, models.FateUnknown)
			h.record.Last(c.id, "stream cut by the caller", h.fields(c, decision.Fields{"tokens": s.completionTokens, "error": err.Error()}))
		}
	})
}

func (h *Handler) writeEvents(w *bufio.Writer, s *stream, f format) error {
	if err := writeEvent(w, f.firstChunk(s.summary())); err != nil {
		return err
	}
	for {
		t, ok := s.next()
		if !ok {
			break
		}
		if t.End {
			continue
		}
		if err := writeEvent(w, f.textChunk(s.summary(), t.Piece)); err != nil {
			return err
		}
	}
	if err := s.err(); err != nil {
		r := h.pipelineRefusal(err)
		h.stats.Refused(r.reason, r.fate)
		h.record.Last(s.call.id, "broken off", h.fields(s.call, decision.Fields{
			"reason": r.reason, "fate": r.fate, "tokens": s.completionTokens, "error": err.Error(),
		}))
		return writeEvent(w, r.body(s.call.id))
	}
	if err := writeEnd(w, s, f); err != nil {
		return err
	}
	h.record.Routine(s.call.id, "finished", h.fields(s.call, decision.Fields{
		"outcome": "whole", "status": fasthttp.StatusOK, "tokens": s.completionTokens,
	}))
	return nil
}

func writeEnd(w *bufio.Writer, s *stream, f format) error {
	if err := writeEvent(w, f.lastChunk(s.summary())); err != nil {
		return err
	}
	if s.params.includeUsage {
		if err := writeEvent(w, f.usageChunk(s.summary())); err != nil {
			return err
		}
	}
	return writeEvent(w, []byte("[DONE]"))
}

func writeEvent(w *bufio.Writer, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return errors.Wrap(w.Flush(), "entry: write event")
}
