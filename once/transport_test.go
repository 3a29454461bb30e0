package once_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"junctioncross/httphead/headcase"
	"junctioncross/httphead/headtest"
	"junctioncross/once"
)

// TestAnAnswerWithABrokenHeadIsNone guards all callers of the clients against heads that the HTTP library mends.
func TestAnAnswerWithABrokenHeadIsNone(t *testing.T) {
	for _, c := range headcase.Broken() {
		t.Run(c.String(), func(t *testing.T) {
			server := headtest.NewServer(t, c.Answer("", "data"))
			_, body, err := once.NewClient(time.Second).Get(nil, "http://"+server.Addr())
			require.Error(t, err, "%q", body)
			require.False(t, once.NeverSent(err))
			require.Equal(t, 1, server.Requests())
		})
	}
}

// TestASoundAnswerIsReadAsItCame guards against sound answers that are refused, or read otherwise than the HTTP library reads them.
func TestASoundAnswerIsReadAsItCame(t *testing.T) {
	for _, answer := range headcase.Sound() {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
			if method == http.MethodHead {
				head, _, _ := strings.Cut(answer, "\r\n\r\ndata")
				answer = strings.TrimSuffix(head, "\r\n\r\n") + "\r\n\r\n"
			}
			t.Run(method+" "+answer, func(t *testing.T) {
				server := headtest.NewServer(t, answer)
				want, got := do(t, &fasthttp.Client{}, method, server), do(t, once.NewClient(time.Second), method, server)
				require.Equal(t, want, got)
				_, _, chunked := strings.Cut(answer, "\r\n4\r\n")
				if strings.HasSuffix(answer, "data") || chunked && method != http.MethodHead {
					require.Equal(t, "data", got.body)
				}
			})
		}
	}
}

// answered is what a client returns of an answer.
type answered struct {
	status     int
	head, body string
}

func do(t *testing.T, client *fasthttp.Client, method string, server *headtest.Server) answered {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + server.Addr())
	req.Header.SetMethod(method)
	require.NoError(t, client.DoTimeout(req, resp, time.Minute))
	return answered{status: resp.StatusCode(), head: resp.Header.String(), body: string(resp.Body())}
}

// keptServer answers each request on a connection with bytes, and counts its connections.
func keptServer(t *testing.T, answer string) (addr string, connections *atomic.Int64) {
	connections = new(atomic.Int64)
	addr = headtest.Listen(t, func(c net.Conn) {
		connections.Add(1)
		keepAnswering(c, answer)
	})
	return addr, connections
}

func keepAnswering(c net.Conn, answer string) {
	reader := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// TestOnlyAConnectionWhoseAnswerIsWholeAndSoundIsKept guards against bytes that are read as the answer to a later request, and against a new
// connection for each request.
func TestOnlyAConnectionWhoseAnswerIsWholeAndSoundIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   int64
	}{
		"sound":          {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata", 1},
		"chunks":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n", 1},
		"after interim":  {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata", 1},
		"no content":     {"HTTP/1.1 204 No Content\r\n\r\n", 1},
		"HTTP/1.0, kept": {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\ndata", 1},
		"closing":        {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndata", 3},
		"HTTP/1.0":       {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndata", 3},
		"broken":         {"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 4\r\n\r\ndata", 3},
		"bytes after it": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndataHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nodd!", 3},
	} {
		t.Run(name, func(t *testing.T) {
			addr, connections := keptServer(t, c.answer)
			client := once.NewClient(time.Second)
			for range 3 {
				_, body, err := client.GetTimeout(nil, "http://"+addr, time.Minute)
				require.Equal(t, name == "broken", err != nil)
				require.NotContains(t, string(body), "odd!")
			}
			require.Equal(t, c.want, connections.Load())
		})
	}
}

// TestAHeadThatDoesNotEndIsGivenUpAtTheDeadline guards against a wait for the rest of a head that nothing ends.
func TestAHeadThatDoesNotEndIsGivenUpAtTheDeadline(t *testing.T) {
	addr, _ := keptServer(t, "HTTP/1.1 200 OK\r\nX-A: ")
	_, _, err := once.NewClient(time.Second).GetTimeout(nil, "http://"+addr, 50*time.Millisecond)
	require.ErrorIs(t, err, fasthttp.ErrTimeout)
}

// TestAnAnswerWithBrokenChunksIsNone guards against chunks that the HTTP library mends, and against a body that is cut short.
func TestAnAnswerWithBrokenChunksIsNone(t *testing.T) {
	for name, answer := range headcase.BrokenChunks("", "data") {
		t.Run(name, func(t *testing.T) {
			_, body, err := once.NewClient(time.Second).Get(nil, "http://"+headtest.NewServer(t, answer).Addr())
			require.Error(t, err, "%q", body)
		})
	}
}
