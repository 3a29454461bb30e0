package link

import (
	"context"
	"strconv"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"junctioncross/keys"
	"junctioncross/metrics"
	"junctioncross/supervise"
)

const (
	// partName is the name of this part in lines on panics.
	partName = "links"
	// failed is the code with which a stream is reset after a panic.
	failed quic.StreamErrorCode = 1
)

// handler serves one kind of call; body is the encoded request.
type handler func(ctx context.Context, from keys.Identity, body []byte) (any, error)

// Mux maps kinds of calls to their handlers. All handlers must be added before the server starts.
type Mux struct {
	handlers map[Kind]handler
	streams  StreamHandler
}

// NewMux returns an empty Mux.
func NewMux() *Mux { return &Mux{handlers: map[Kind]handler{}} }

// Handle adds the handler of a kind of call; from is the authenticated caller.
func Handle[Req, Resp any](m *Mux, kind Kind, fn func(ctx context.Context, from keys.Identity, req Req) (Resp, error)) {
	m.handlers[kind] = func(ctx context.Context, from keys.Identity, body []byte) (any, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, errors.Wrap(err, "decode call")
		}
		return fn(ctx, from, req)
	}
}

// Server answers calls from other instances.
type Server struct {
	listener *quic.Listener
	mux      *Mux
	stats    *metrics.Registry
	log      *logrus.Logger
	guard    *supervise.Supervisor

	mu sync.Mutex
	// conns holds the open connections; nil once the server is closed.
	conns map[*quic.Conn]struct{}
}

// Listen starts a Server on addr, an IP number and UDP port.
func Listen(addr string, trust Trust, mux *Mux, stats *metrics.Registry, log *logrus.Logger, guard *supervise.Supervisor) (*Server, error) {
	listener, err := quic.ListenAddr(addr, trust.Server(protocol, streamProtocol), listenConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "link: listen on %s", addr)
	}
	s := &Server{listener: listener, mux: mux, stats: stats, log: log, guard: guard, conns: map[*quic.Conn]struct{}{}}
	go func() {
		guard.Keep(context.Background(), partName, supervise.NoWork, func(context.Context) { s.accept() })
	}()
	return s, nil
}

// Close stops the server and closes its connections.
func (s *Server) Close() error {
	for conn := range s.takeAll() {
		_ = conn.CloseWithError(0, "closing")
	}
	return s.listener.Close()
}

// takeAll returns the open connections; from now on no other one is kept.
func (s *Server) takeAll() map[*quic.Conn]struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := s.conns
	s.conns = nil
	return conns
}

// add keeps a connection until it ends; it reports false if the server is closed.
func (s *Server) add(conn *quic.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn *quic.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept(context.Background())
		if err != nil {
			return
		}
		go func() {
			if !s.guard.Call(partName, supervise.NoWork, func() { s.serveConnection(conn) }) {
				_ = conn.CloseWithError(1, "failed")
			}
		}()
	}
}

func (s *Server) serveConnection(conn *quic.Conn) {
	if !s.add(conn) {
		_ = conn.CloseWithError(0, "closing")
		return
	}
	defer s.remove(conn)
	from, err := identify(conn)
	if err != nil {
		s.stats.Counter("link_refused_total").Inc(1)
		s.log.WithError(err).Warn("link peer refused")
		_ = conn.CloseWithError(1, "unknown holder")
		return
	}
	serve := s.serveCall
	if conn.ConnectionState().TLS.NegotiatedProtocol == streamProtocol {
		serve = s.mux.streams
	}
	if serve == nil {
		_ = conn.CloseWithError(1, "no streams")
		return
	}
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		go func() {
			if !s.guard.Call(partName, supervise.NoWork, func() { serve(conn.Context(), from, stream) }) {
				stream.CancelRead(failed)
				stream.CancelWrite(failed)
			}
		}()
	}
}

// identify returns the identity in the certificate of the peer, which must be an instance.
func identify(conn *quic.Conn) (keys.Identity, error) {
	chain := conn.ConnectionState().TLS.PeerCertificates
	if len(chain) == 0 {
		return keys.Identity{}, errors.New("link: no certificate")
	}
	id, err := keys.IdentityOf(chain[0])
	if err == nil && id.Role() != keys.RoleInstance {
		return id, errors.Errorf("link: role %s is no instance", id.Role())
	}
	return id, err
}

// serveCall answers one call.
func (s *Server) serveCall(ctx context.Context, from keys.Identity, stream *quic.Stream) {
	defer stream.Close()
	req, err := readMessage[request](stream)
	if err != nil {
		return
	}
	s.stats.Counter("link_calls_served_total").Inc(1)
	s.stats.Counter("link_bytes_received_total").Inc(int64(len(req.Body)))
	resp := s.run(ctx, from, req)
	s.stats.Counter("link_bytes_sent_total").Inc(int64(len(resp.Body)))
	_ = writeMessage(stream, resp)
}

// run calls the handler of a call. A call that panics there is refused: it fails for its caller alone.
func (s *Server) run(ctx context.Context, from keys.Identity, req request) response {
	answer := response{Refused: "call failed"}
	work := func() supervise.Work { return supervise.Work{Record: "call " + strconv.Itoa(int(req.Kind))} }
	s.guard.Call(partName, work, func() { answer = s.answer(ctx, from, req) })
	return answer
}

func (s *Server) answer(ctx context.Context, from keys.Identity, req request) response {
	h := s.mux.handlers[req.Kind]
	if h == nil {
		return response{Refused: "unknown call"}
	}
	value, err := h(ctx, from, req.Body)
	if err != nil {
		return response{Refused: err.Error()}
	}
	body, err := cbor.Marshal(value)
	if err != nil {
		return response{Refused: err.Error()}
	}
	return response{Body: body}
}
