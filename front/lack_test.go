package front

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"junctioncross/catalog"
	"junctioncross/metrics"
	"junctioncross/platform"
	"junctioncross/timer"
)

// soonEnough bounds waits for what happens at once on a sound machine; it is below writeSlack, after which a write ends anyway.
const soonEnough = 20 * time.Second

type handlerFunc func(ctx context.Context, x *Exchange)

// Handle implements Handler.
func (h handlerFunc) Handle(ctx context.Context, x *Exchange) { h(ctx, x) }

func newServer(h handlerFunc) *Server {
	limits := func() catalog.Limits {
		return catalog.Limits{HeaderBytes: 4096, BodyBytes: 1000, HeaderTime: time.Hour, IdleTime: time.Hour}
	}
	return New(platform.Codec{}, h, limits, func() int { return 8 }, timer.NewReal(), metrics.New())
}

// pair returns both ends of a connection.
func pair(t *testing.T) (theirs, ours *net.TCPConn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	c, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	o, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = o.Close() })
	return c.(*net.TCPConn), o.(*net.TCPConn)
}

// TestALackOfDescriptorsMakesConnectionsThatRestGiveWay lets the listener have none until the connection that rests is closed.
func TestALackOfDescriptorsMakesConnectionsThatRestGiveWay(t *testing.T) {
	theirs, ours := pair(t)
	s := newServer(func(context.Context, *Exchange) {})
	s.start(ours)
	l := &scarce{failing: true, asked: make(chan struct{}), ended: make(chan struct{})}
	go func() { s.accept(l) }()
	t.Cleanup(func() { close(l.ended) })
	<-l.asked
	require.NoError(t, theirs.SetReadDeadline(time.Now().Add(soonEnough)))
	_, err := theirs.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// scarce is a listener that has no descriptor for the first connection, and afterwards waits until the test has ended.
type scarce struct {
	net.Listener
	failing bool
	asked   chan struct{}
	ended   chan struct{}
}

// Accept implements net.Listener.
func (s *scarce) Accept() (net.Conn, error) {
	if s.failing {
		s.failing = false
		close(s.asked)
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: unix.EMFILE}
	}
	<-s.ended
	return nil, net.ErrClosed
}
