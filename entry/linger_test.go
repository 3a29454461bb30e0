package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"junctioncross/entry"
)

// TestCallerStillWritingReceivesBodyTooLargeAnswer guards against a reset that discards the answer before the caller has read
// it: callers go on writing their bodies after the server has refused the request.
func TestCallerStillWritingReceivesBodyTooLargeAnswer(t *testing.T) {
	h, _ := newHandler(t, stubClaims{})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: h.Routes(), ErrorHandler: h.HandleReadError, MaxRequestBodySize: 4096, ReadTimeout: time.Second}
	go func() { _ = server.Serve(entry.Lingering(listener)) }()
	t.Cleanup(func() { _ = listener.Close() })
	for n := range 20 {
		c, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<20)
		require.NoError(t, err)
		chunk := make([]byte, 1<<14)
		for range 8 {
			_, err = c.Write(chunk)
			require.NoError(t, err, "caller %d", n)
			time.Sleep(time.Millisecond)
		}
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "caller %d", n)
		require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
		require.NoError(t, c.Close())
	}
}
