package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/decision"
	"junctioncross/httphead"
)

const (
	// maxStrayAnswers is how many answers to other requests are read and discarded before a connection is given up.
	maxStrayAnswers = 2
	// maxTrailers is how many trailers an answer in chunks may have.
	maxTrailers = 32
)

// Errors of one exchange with a server.
var (
	errStray     = errors.New("forward: answer belongs to another request")
	errMalformed = errors.New("forward: answer is incomplete or not HTTP")
	// errBackedOff means that nothing was sent, since the server has asked this instance to send no requests for some time.
	errBackedOff = errors.New("forward: server has backed off")
	// errOverLimit means that nothing was sent, since the rate limit of the server allows this instance no request yet.
	errOverLimit = errors.New("forward: rate limit of the server is reached")
)

// sentRequest is a request to a server, with the head of its answer.
type sentRequest struct {
	server *backend.Server
	conn   *backend.Conn
	// at is when the request was sent.
	at   time.Time
	head fasthttp.ResponseHeader
	info call.Answer
	// reused is true if the connection carried an answer before.
	reused bool
	// bodiless is true if the answer has no body, whatever length its head names.
	bodiless bool
	// stopWatching stops the callbacks that close the connection when the caller disconnects or the server has restarted. It
	// returns false if one of them has been called.
	stopWatching func() bool
}

// destination is where a request is sent.
type destination struct {
	server *backend.Server
	// fresh asks for a new connection.
	fresh bool
	// open reports just before the request is sent whether it may be; nil means that it may.
	open func() bool
}

// connect returns a connection for a request, or the reason why nothing may be sent to the server.
func (h *Handler) connect(ctx context.Context, r *request, to destination) (*backend.Conn, error) {
	server := to.server
	if server.BackedOff(h.clock.Now()) {
		return nil, errBackedOff
	}
	conn, err := server.Connect(ctx, h.dialer, backend.Endpoint{Request: r.meta.ID, NewWork: true}, h.clock.Now(), to.fresh)
	if err != nil {
		return nil, err
	}
	server.NoteAlive()
	r.direct.Store(conn.Direct())
	if via := conn.Via(); via != "" {
		h.stats.Counter("sent_through_others_total").Inc(1)
		h.record.Routine(r.meta.ID, "sent through another instance", decision.Fields{"server": server.ID(), "via": via})
	}
	if !conn.Used() {
		h.stats.Counter("connections_opened_total").Inc(1)
	}
	// The server was chosen before the connection was opened, and all requests to servers pass through here: a request that
	// chose the server before it backed off must not reach it afterwards.
	if server.BackedOff(h.clock.Now()) {
		conn.Keep(h.clock.Now(), 0)
		return nil, errBackedOff
	}
	if to.open != nil && !to.open() {
		conn.Keep(h.clock.Now(), 0)
		return nil, errPathClosed
	}
	if !server.TakePermit(h.instances.Instances(), h.clock.Now()) {
		conn.Keep(h.clock.Now(), 0)
		return nil, errOverLimit
	}
	return conn, nil
}

// send opens a connection and writes the request; the error is backend.ErrDial, errBackedOff, errPathClosed or errOverLimit when
// nothing was sent.
func (h *Handler) send(ctx context.Context, r *request, to destination, s *call.SendParams) (*sentRequest, error) {
	conn, err := h.connect(ctx, r, to)
	if err != nil {
		return nil, err
	}
	server := to.server
	out := &sentRequest{server: server, conn: conn, at: h.clock.Now(), reused: conn.Received() > 0}
	// Closing the connection tells a server to stop; it also ends the read that waits for the answer.
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	// A restarted server knows no request that was sent before: such a request fails at once, not after a timeout.
	stopRestart := context.AfterFunc(server.Context(), func() { _ = conn.Close() })
	out.stopWatching = func() bool {
		// Both must be stopped, whatever the first call returns.
		notRestarted, notCancelled := stopRestart(), stopCancel()
		return notRestarted && notCancelled
	}
	s.Target, s.Account, s.BodyBytes = server.ID(), r.account, -1
	s.Remaining = r.deadline.Sub(h.clock.Now())
	body := r.x.Body()
	if r.x.HasBody() {
		s.BodyBytes = len(body)
	}
	p := h.codec.AppendRequest(make([]byte, 0, 1<<10+len(body)), r.x.Header(), s)
	p = append(p, body...)
	r.sends++
	r.retryGranted = false
	if _, err := conn.Write(p); err != nil {
		return out, errors.Wrap(err, "forward: write request")
	}
	return out, nil
}

// receive reads the head of the answer; it discards answers that belong to other requests.
func (h *Handler) receive(r *request, s *sentRequest) error {
	for range maxStrayAnswers + 1 {
		if err := h.readHead(s); err != nil {
			return err
		}
		if s.info = h.codec.ReadAnswer(&s.head); s.info.Ambiguous {
			return errMalformed
		}
		s.bodiless = r.x.Header().IsHead() || s.info.Status == fasthttp.StatusNoContent || s.info.Status == fasthttp.StatusNotModified
		h.applyNotice(r.meta.ID, s.server, s.info.Notice)
		if s.isNobodys() {
			h.stats.Counter("stray_answers_total").Inc(1)
			return errStray
		}
		if s.info.RequestID == "" || s.info.RequestID == r.meta.ID {
			if s.info.Status != fasthttp.StatusMisdirectedRequest {
				h.noteLimit(r.meta.ID, s.server, s.info.Limit, s.at)
			}
			return nil
		}
		h.stats.Counter("stray_answers_total").Inc(1)
		if _, err := h.readWhole(r, s); err != nil {
			return errStray
		}
	}
	return errStray
}

// isNameless reports whether the answer names no request although it has to: only refusals need not.
func (s *sentRequest) isNameless() bool { return s.info.RequestID == "" && !s.info.NotRun }

// isNobodys reports whether a nameless answer comes on a connection that carried an answer before: it may be more that the server sends after
// that one.
func (s *sentRequest) isNobodys() bool { return s.isNameless() && s.reused }

// answerBody is the body of an answer, whose end is marked by its length, by chunks or by the end of the connection.
type answerBody struct {
	io.Reader
	// end checks, once all has been read, that the body is complete, and reads what follows it.
	end func() error
}

// body returns the body of the answer.
func (s *sentRequest) body() answerBody {
	switch length := s.head.ContentLength(); {
	case s.bodiless:
		return answerBody{Reader: http.NoBody, end: func() error { return nil }}
	case length >= 0:
		limited := &io.LimitedReader{R: s.conn.Reader, N: int64(length)}
		return answerBody{Reader: limited, end: func() error {
			if limited.N > 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}}
	case length == httphead.ChunkedLength:
		return answerBody{Reader: httputil.NewChunkedReader(s.conn.Reader), end: func() error { return endChunks(s.conn.Reader) }}
	default:
		return answerBody{Reader: s.conn.Reader, end: func() error { return nil }}
	}
}

// endChunks reads the trailers after the last chunk, which are not passed on, and the empty line that ends them.
func endChunks(reader *bufio.Reader) error {
	for range maxTrailers + 1 {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return errMalformed
}

// framed reports whether the end of the body is marked, so that the connection can be reused.
func (s *sentRequest) framed() bool {
	return s.bodiless || s.head.ContentLength() >= httphead.ChunkedLength
}

// finish keeps the connection of an answer that was read completely, or else closes it. One whose answers name no requests carries one request
// only.
func (h *Handler) finish(s *sentRequest, whole bool) {
	untouched := s.stopWatching()
	if !whole || !untouched || !s.framed() || s.info.Closing || s.isNameless() {
		_ = s.conn.Close()
		return
	}
	s.conn.Keep(h.clock.Now(), s.info.KeepAlive)
}

// remaining returns how long the caller will still wait.
func (h *Handler) remaining(r *request) time.Duration { return r.deadline.Sub(h.clock.Now()) }
