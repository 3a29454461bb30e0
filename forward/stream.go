package forward

import (
	"context"
	"io"
	"math"
	"net/http/httputil"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/chain"
	"junctioncross/decision"
	"junctioncross/models"
)

const (
	// roomWait is the part of the objective that a request may wait for room; a refusal within a quarter of the objective
	// leaves its caller time to be served elsewhere.
	roomWait = 0.2
	// roomPoll is how often a waiting request looks for room.
	roomPoll = 15 * time.Millisecond
	// streamBuffer holds some events.
	streamBuffer = 4 << 10
)

// flight is one stream on its way through a path.
type flight struct {
	r      *request
	events events
	// begun is true once the head was passed on.
	begun bool

	first *backend.Server
	conn  *backend.Conn
	// lastAt is when the last event came, or the request was sent, in nanoseconds since the handler's start.
	lastAt atomic.Int64
	// expected is how long after the sending the first event is due.
	expected time.Duration
	began    atomic.Bool

	mu sync.Mutex
	// hops and servers are the path, which a repair may change; they are nil when no attempt is under way.
	hops    []chain.Hop
	servers []*backend.Server
	need    chain.Need
	repairs int
}

// stream answers a request of a chained engine.
func (h *Handler) stream(ctx context.Context, r *request) {
	f := &flight{r: r, events: events{last: resumeFrom(r.meta.ResumeAfter)}}
	f.need = h.needOf(r)
	var last outcome
	for attempt := 1; ; attempt++ {
		path, ok := h.awaitPath(ctx, f)
		if !ok {
			if last == nil {
				last = notRun{reason: models.ReasonNoRoom}
			}
			break
		}
		if attempt > 1 && !h.mayRepeat(r) {
			last = h.outOfBudget(r, last)
			break
		}
		last = h.fly(ctx, f, path, attempt)
		if !h.again(r, last, attempt) {
			break
		}
	}
	h.concludeStream(ctx, f, last)
}

func resumeFrom(id string) int64 {
	if id == "" {
		return -1
	}
	last, err := parseID(id)
	if err != nil {
		return -1
	}
	return last
}

// needOf returns what the request asks of a path.
func (h *Handler) needOf(r *request) chain.Need {
	engine := r.group.Graph().Engine()
	prompt := r.meta.PromptTokens
	if prompt == 0 {
		prompt = engine.UsualPrompt
	}
	answer := expectedAnswer(r.meta.HintTokens, engine.UsualAnswer)
	if r.meta.AnswerTokens > 0 {
		answer = min(answer, r.meta.AnswerTokens)
	}
	return chain.Need{Prompt: prompt, Tokens: prompt + answer, Domain: h.terms.Load().Domain}
}

// hintTrust is the weight of a caller's estimate against the usual answer, on a scale of orders of magnitude: estimates are
// right in the middle, but often off by half, while answers differ by as much as their length.
const hintTrust = 0.7

// expectedAnswer returns the tokens that an answer is expected to have.
func expectedAnswer(hint, usual int) int {
	if hint < 1 || usual < 1 {
		return max(hint, usual)
	}
	return int(math.Pow(float64(hint), hintTrust) * math.Pow(float64(usual), 1-hintTrust))
}

// awaitPath returns the path for the next attempt and waits for a little while there is none.
func (h *Handler) awaitPath(ctx context.Context, f *flight) (chain.Path, bool) {
	r := f.r
	until := r.x.Arrived().Add(time.Duration(roomWait * float64(r.route.Objective)))
	for {
		path, ok := h.choosePath(f)
		if ok || !h.clock.Now().Before(until) && !f.begun {
			return path, ok
		}
		select {
		case <-h.clock.After(roomPoll):
		case <-ctx.Done():
			return path, false
		}
		if group := h.board.Current().Group(r.group.Service().Name); group != nil {
			r.group = group
		}
	}
}

// choosePath returns a path for a whole stream: a lane with room, or when there is none because servers are missing, any
// path whose servers are thought to have room.
func (h *Handler) choosePath(f *flight) (chain.Path, bool) {
	group, now := f.r.group, h.clock.Now()
	lanes := h.lanesOf(group, now)
	if len(lanes) > 0 {
		choice := newLaneChoice(group, lanes, h.terms.Load().Domain, now)
		i := choice.pick()
		if i < 0 {
			return chain.Path{}, false
		}
		return lanes[i].Path, true
	}
	state := &chainState{servers: group.Servers(), engine: group.Graph().Engine(), now: now, factor: h.peersFactor()}
	return chain.Choose(group.Graph(), state, f.need)
}

func (h *Handler) laneBook(service string) *laneBook {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.lanes[service]
	if b == nil {
		b = &laneBook{}
		h.lanes[service] = b
	}
	return b
}

func (h *Handler) peersFactor() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peers.factor
}

// assign reserves the path for the flight and gives back what it had before.
func (f *flight) assign(group *backend.Group, hops []chain.Hop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releaseLocked()
	f.hops = hops
	f.servers = make([]*backend.Server, len(hops))
	for i, hop := range hops {
		f.servers[i] = group.Servers()[hop.Server]
		f.servers[i].Reserve(f.need.Tokens * hop.Layers.Count())
	}
}

func (f *flight) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releaseLocked()
}

func (f *flight) releaseLocked() {
	for i, s := range f.servers {
		s.Release(f.need.Tokens * f.hops[i].Layers.Count())
	}
	f.hops, f.servers = nil, nil
}

// parts returns the path as it is sent.
func (f *flight) parts() []call.Part {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]call.Part, len(f.hops))
	for i, hop := range f.hops {
		out[i] = call.Part{Addr: f.servers[i].Addr(), Layers: hop.Layers}
	}
	return out
}

// fly sends the request along a path and passes its events on until the answer ends.
func (h *Handler) fly(ctx context.Context, f *flight, path chain.Path, attempt int) outcome {
	r := f.r
	f.assign(r.group, path.Hops)
	defer f.release()
	f.first = r.group.Servers()[path.Hops[0].Server]
	f.expected = path.Read + path.Step
	f.events.restart()
	f.first.Start(1)
	defer f.first.Start(-1)
	f.first.Chosen()
	h.record.Routine(r.meta.ID, "sent", h.fields(r, decision.Fields{
		"server": f.first.ID(), "attempt": attempt, "path": f.describe(), "predicted_step_us": path.Step.Microseconds(),
		"predicted_read_us": path.Read.Microseconds(), "tokens": f.need.Tokens, "resume_after": f.events.resumeAfter(),
	}))
	s, err := h.send(ctx, r, f.first, &call.Send{Path: f.parts(), ResumeAfter: f.events.resumeAfter()}, !r.route.MayRepeat())
	if s == nil {
		f.first.Failed(h.clock.Now())
		return notRun{reason: models.RetryUnreachable}
	}
	f.conn = s.conn
	f.touch(h)
	h.watch.add(f)
	defer h.watch.remove(f)
	if err == nil {
		err = h.receive(r, s)
	}
	if err != nil {
		h.finish(s, false)
		return h.brokenFlight(ctx, f, err)
	}
	h.observeLoad(f, s)
	if s.info.Status != fasthttp.StatusOK {
		return h.refusedFlight(f, s)
	}
	if !s.info.Sealed {
		h.finish(s, false)
		return h.brokenFlight(ctx, f, errMalformed)
	}
	r.runs++
	f.tookWork()
	err = h.passEvents(f, s)
	h.finish(s, err == nil)
	if err != nil {
		r.runs--
		return h.brokenFlight(ctx, f, err)
	}
	f.first.Observe(true)
	f.first.Succeeded()
	return delivered{}
}

// tookWork notes that every part of the path has taken the request.
func (f *flight) tookWork() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.TookWork()
	}
}

// touch notes that the stream moved.
func (f *flight) touch(h *Handler) { f.lastAt.Store(int64(h.clock.Since(h.watch.start))) }

func (h *Handler) observeLoad(f *flight, s *sent) {
	f.first.SetLoad(s.info.Load, h.clock.Now())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers.observe(s.info.Load, f.first.Running())
}

// refusedFlight judges an answer that is not a stream.
func (h *Handler) refusedFlight(f *flight, s *sent) outcome {
	body, err := readWhole(s)
	h.finish(s, err == nil)
	if s.info.NotRun {
		h.blame(f, s)
		return notRun{reason: models.RetryRefused}
	}
	f.first.Observe(false)
	f.first.Settled()
	f.r.runs++
	if err != nil || f.begun {
		return failed{reason: models.ReasonServiceFailed}
	}
	return failed{reason: models.ReasonServiceFailed, answer: h.failureAnswer(s, body)}
}

// blame keeps new work away from the server that was the reason for a refusal.
func (h *Handler) blame(f *flight, s *sent) {
	server := f.first
	if s.info.Fault != "" {
		if at := f.r.group.ByAddr(s.info.Fault); at != nil {
			server = at
		}
	}
	h.turnedAway(f.r, server, s)
	h.inquire(server, "refusal")
	waited := h.clock.Since(h.watch.start) - time.Duration(f.lastAt.Load())
	if waited >= h.terms.Load().StallTime/2 {
		server.SetAside(h.clock.Now().Add(h.terms.Load().StallTime))
	}
}

// brokenFlight judges an attempt whose connection or stream broke.
func (h *Handler) brokenFlight(ctx context.Context, f *flight, err error) outcome {
	f.r.runs++
	if ctx.Err() != nil || f.r.x.Failed() {
		f.first.Settled()
		return callerGone{}
	}
	f.first.Observe(false)
	f.first.Failed(h.clock.Now())
	h.record.Failure(f.r.meta.ID, "attempt broken", h.fields(f.r, decision.Fields{
		"server": f.first.ID(), "address": f.first.Addr(), "path": f.describe(), "error": err.Error(), "last_event": f.events.last,
	}))
	return failed{reason: models.RetryBroken}
}

// passEvents passes whole events on as they come; nil means that the stream ended as it should.
func (h *Handler) passEvents(f *flight, s *sent) error {
	if s.head.ContentLength() != -1 {
		return errMalformed
	}
	reader := httputil.NewChunkedReader(s.conn.Reader)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := reader.Read(buffer)
		out, bad := f.events.feed(buffer[:n])
		if n > 0 {
			h.observePause(f)
			f.touch(h)
		}
		if len(out) > 0 {
			h.pass(f, s, out)
		}
		switch {
		case bad != nil:
			return bad
		case f.r.x.Failed():
			return errCallerGone
		case err == io.EOF:
			return h.endStream(f, s)
		case err != nil:
			return err
		}
	}
}

var errCallerGone = errors.New("forward: caller cannot be reached")

// observePause keeps the distributions of first events and pauses.
func (h *Handler) observePause(f *flight) {
	waited := h.clock.Since(h.watch.start) - time.Duration(f.lastAt.Load())
	if f.began.Swap(true) {
		h.stats.Histogram("pause_ms").Update(waited.Milliseconds())
		return
	}
	h.stats.Histogram("first_event_ms").Update(h.clock.Since(f.r.x.Arrived()).Milliseconds())
	h.stats.Histogram("first_event_predicted_ms").Update(f.expected.Milliseconds())
}

func (h *Handler) pass(f *flight, s *sent, out []byte) {
	if f.begun {
		f.r.x.Stream(out)
		return
	}
	f.begun = true
	f.r.x.BeginStream(h.codec.AppendAnswer(nil, &s.head), out)
}

// endStream ends the answer after the last chunk of the server; a part of an event that is left means that it broke off.
func (h *Handler) endStream(f *flight, s *sent) error {
	if len(f.events.pending) > 0 {
		return errMalformed
	}
	if err := endChunks(s.conn.Reader); err != nil {
		return err
	}
	if !f.begun {
		return errMalformed
	}
	f.r.x.EndStream(nil)
	if f.r.x.Failed() {
		return errCallerGone
	}
	return nil
}

// concludeStream tells the caller how the stream ended; one that has begun and cannot go on is broken off.
func (h *Handler) concludeStream(ctx context.Context, f *flight, last outcome) {
	r := f.r
	if _, whole := last.(delivered); whole || !f.begun {
		h.conclude(ctx, r, last)
		return
	}
	if ctx.Err() != nil && h.remaining(r) > 0 || r.x.Failed() {
		h.stats.Counter("callers_gone_total").Inc(1)
		h.record.Routine(r.meta.ID, "finished", h.fields(r, decision.Fields{"outcome": "caller left"}))
		return
	}
	h.stats.Refused(models.ReasonBroken, models.FateUnknown)
	h.record.Failure(r.meta.ID, "broken off", h.fields(r, decision.Fields{
		"reason": models.ReasonBroken, "last_event": f.events.last, "runs": r.runs,
	}))
}

// describe returns the path for a log line.
func (f *flight) describe() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	for i, hop := range f.hops {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(f.servers[i].ID())
		b.WriteString(hop.Layers.String())
	}
	return b.String()
}
