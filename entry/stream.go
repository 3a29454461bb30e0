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

// streamBuffer is the number of tokens that may wait for a slow caller.
const streamBuffer = 256

var errCallerGone = errors.New("entry: caller gone")

// stream carries the tokens of one answer from its pipeline to its caller.
type stream struct {
	call   *call
	prompt prompt
	tokens chan pipeline.Token
	gone   chan struct{}
	once   sync.Once
	done   chan struct{}
	failed error

	// The fields below belong to the reader.
	head  *pipeline.Token
	count int
	input int
	ended bool
}

func newStream(c *call, p prompt) *stream {
	return &stream{
		call: c, prompt: p, tokens: make(chan pipeline.Token, streamBuffer),
		gone: make(chan struct{}), done: make(chan struct{}),
	}
}

// put hands a token over; it fails when the caller has gone.
func (s *stream) put(t pipeline.Token) error {
	select {
	case <-s.gone:
		return errCallerGone
	default:
	}
	select {
	case s.tokens <- t:
		return nil
	case <-s.gone:
		return errCallerGone
	}
}

// finish ends the stream with the pipeline's outcome.
func (s *stream) finish(err error) {
	s.failed = err
	close(s.done)
	close(s.tokens)
}

// abandon tells the pipeline that the caller has gone.
func (s *stream) abandon() { s.once.Do(func() { close(s.gone) }) }

// first waits for the first token; it returns the error of an answer that failed before it.
func (s *stream) first() error {
	t, ok := <-s.tokens
	if !ok {
		<-s.done
		return s.failed
	}
	s.head = &t
	return nil
}

// next returns the next token, false behind the last.
func (s *stream) next() (pipeline.Token, bool) {
	if s.head != nil {
		t := *s.head
		s.head = nil
		return s.counted(t), true
	}
	t, ok := <-s.tokens
	if !ok {
		return t, false
	}
	return s.counted(t), true
}

func (s *stream) counted(t pipeline.Token) pipeline.Token {
	s.input = t.Prompt
	s.ended = t.End
	if !t.End {
		s.count++
	}
	return t
}

// err returns the outcome, once next has returned false.
func (s *stream) err() error {
	<-s.done
	return s.failed
}

func (s *stream) summary() summary {
	return summary{
		id: s.call.id, model: s.prompt.model, created: s.call.start.Unix(),
		prompt: s.input, completion: s.count, ended: s.ended,
	}
}

// writeStream sends the answer as server-sent events.
func (h *Handler) writeStream(ctx *fasthttp.RequestCtx, c *call, s *stream, f format) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.Header.Set(models.HeaderRequestID, c.id)
	c.streams = true
	h.active.Add(1)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer h.active.Done()
		defer s.abandon()
		if err := h.writeEvents(w, s, f); err != nil {
			h.stats.Refused(models.ReasonCallerGone, models.FateUnknown)
			h.record.Last(c.id, "stream cut by the caller", h.fields(c, decision.Fields{"tokens": s.count, "error": err.Error()}))
		}
	})
}

func (h *Handler) writeEvents(w *bufio.Writer, s *stream, f format) error {
	if err := writeEvent(w, f.open(s.summary())); err != nil {
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
		if err := writeEvent(w, f.piece(s.summary(), t.Piece)); err != nil {
			return err
		}
	}
	if err := s.err(); err != nil {
		r := h.failed(err)
		h.stats.Refused(r.reason, r.fate)
		h.record.Last(s.call.id, "broken off", h.fields(s.call, decision.Fields{
			"reason": r.reason, "fate": r.fate, "tokens": s.count, "error": err.Error(),
		}))
		return writeEvent(w, r.body(s.call.id))
	}
	if err := writeEnd(w, s, f); err != nil {
		return err
	}
	h.record.Routine(s.call.id, "finished", h.fields(s.call, decision.Fields{
		"outcome": "whole", "status": fasthttp.StatusOK, "tokens": s.count,
	}))
	return nil
}

func writeEnd(w *bufio.Writer, s *stream, f format) error {
	if err := writeEvent(w, f.close(s.summary())); err != nil {
		return err
	}
	if s.prompt.usage {
		if err := writeEvent(w, f.usage(s.summary())); err != nil {
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
