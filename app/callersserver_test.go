package app

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"junctioncross/config"
)

// writeDeadlines is a listener for one connection, which passes on the write deadlines that are set.
type writeDeadlines struct {
	net.Listener
	set chan time.Time
}

// Accept implements net.Listener.
func (l *writeDeadlines) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &writeDeadlineConn{Conn: c, set: l.set}, nil
}

type writeDeadlineConn struct {
	net.Conn
	set chan time.Time
}

// SetWriteDeadline implements net.Conn.
func (c *writeDeadlineConn) SetWriteDeadline(t time.Time) error {
	c.set <- t
	return c.Conn.SetWriteDeadline(t)
}

// TestAStreamMayBeWrittenForAsLongAsARequestMayTake guards streams that last longer than a fixed time for writing.
func TestAStreamMayBeWrittenForAsLongAsARequestMayTake(t *testing.T) {
	limits := config.Default().Limits
	limits.RequestTime = time.Hour
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	deadlines := &writeDeadlines{Listener: listener, set: make(chan time.Time, 8)}
	server := callersServer(&limits, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { _, _ = w.WriteString("event") })
	}, nil)
	go func() { _ = server.Serve(deadlines) }()
	t.Cleanup(func() { _ = listener.Close() })
	begun := time.Now()
	resp, err := http.Get("http://" + listener.Addr().String() + "/")
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "event", string(body))
	require.True(t, (<-deadlines.set).After(begun.Add(limits.RequestTime)))
}
