package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/front"
	"junctioncross/httphead/headcase"
	"junctioncross/platform/fake"
)

// closesAfter is a server that sends an answer and closes the connection.
func closesAfter(answer string) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	}
}

// requireBrokenAnswer requires that the caller of a front gets a failure of the instance, with nothing of the server's.
func requireBrokenAnswer(t *testing.T, f *front.Server) {
	t.Helper()
	resp, err := http.ReadResponse(callWire(t, f.Addr().String(), bare("GET /a", "")), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%q", body)
	require.NotContains(t, string(body), "data")
	require.Empty(t, resp.Header.Get(fake.SealName))
}

// requireNoneReachesCallers plays broken answers to plain requests and to streams.
func requireNoneReachesCallers(t *testing.T, cases []headcase.Case) {
	for _, c := range cases {
		t.Run("plain, "+c.String(), func(t *testing.T) {
			server := newTestServer(t, "1", closesAfter(c.Answer(fake.SealLine, "data")))
			requireBrokenAnswer(t, plainFront(t, &catalog.Route{Name: "r", MaxAttempts: 1, Timeout: testTimeout, Objective: testTimeout}, server))
			require.Positive(t, server.server.FailRate())
		})
		t.Run("stream, "+c.String(), func(t *testing.T) {
			server := newTestServer(t, "1", closesAfter(c.Answer(fake.SealLine, onlyEvent)))
			g := chainGroup(server)
			requireBrokenAnswer(t, streamFrontOnce(t, chainHandler(t, g), g))
			require.Positive(t, g.Servers()[0].FailRate())
		})
	}
}

// streamFrontOnce is streamFront for a route without retries.
func streamFrontOnce(t *testing.T, h *Handler, group *backend.Group) *front.Server {
	route := &catalog.Route{Name: "r", Stream: true, MaxAttempts: 1, Timeout: testTimeout, Objective: testTimeout, PauseObjective: testTimeout}
	return frontWith(t, groupHandler{handler: h, route: route, group: group, send: h.stream})
}

// TestAnAnswerWithABrokenStatusReachesNoCaller guards against a status line that the HTTP library mends, such as that of status 000, which it
// takes for one that is not set, and so for a success.
func TestAnAnswerWithABrokenStatusReachesNoCaller(t *testing.T) {
	requireNoneReachesCallers(t, headcase.Statuses)
}

// TestAnAnswerWithALoneLineFeedInItsHeadReachesNoCaller guards against a head that the HTTP library ends at a lone LF, so that the rest of it
// becomes the body.
func TestAnAnswerWithALoneLineFeedInItsHeadReachesNoCaller(t *testing.T) {
	requireNoneReachesCallers(t, headcase.LineEnds)
}

// TestAnAnswerWithABrokenNameReachesNoCaller guards against lines that the HTTP library mends, joins or passes on, and then looks for the end of
// the body elsewhere.
func TestAnAnswerWithABrokenNameReachesNoCaller(t *testing.T) {
	requireNoneReachesCallers(t, headcase.Names)
}

// TestAnAnswerWithAControlByteInAValueReachesNoCaller guards against values that one reader ends where another goes on.
func TestAnAnswerWithAControlByteInAValueReachesNoCaller(t *testing.T) {
	requireNoneReachesCallers(t, headcase.Values)
}

// TestAnAnswerWhoseBodyEndsWhereReadersDifferReachesNoCaller guards against the marks of chunks in a body, or a body that is cut short.
func TestAnAnswerWhoseBodyEndsWhereReadersDifferReachesNoCaller(t *testing.T) {
	requireNoneReachesCallers(t, headcase.Framings)
}

// oneOfEach are a broken head of each kind, for what does not depend on how it is broken.
var oneOfEach = []headcase.Case{headcase.Statuses[0], headcase.LineEnds[0], headcase.Names[0], headcase.Values[0], headcase.Framings[0]}

// TestARequestWithABrokenAnswerIsRepeatedOnlyWhereItMayBe guards against a request that runs twice although it may have run, and against an answer
// that is taken from the bytes after a broken one.
func TestARequestWithABrokenAnswerIsRepeatedOnlyWhereItMayBe(t *testing.T) {
	for _, c := range oneOfEach {
		for name, repeats := range map[string]bool{"may be repeated": true, "may not": false} {
			t.Run(name+", "+c.String(), func(t *testing.T) {
				first := newTestServer(t, "1", func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, c.Answer(fake.SealLine, "data")+wireAnswer) })
				second := newTestServer(t, "2", sealed)
				second.server.Reserve(0)
				route, want, again := repeatRoute(2), http.StatusOK, 1
				route.Objective = testTimeout
				if !repeats {
					route.RetryPolicy, want, again = catalog.RetryNever, http.StatusBadGateway, 0
				}
				require.Equal(t, want, readStatus(t, callFront(t, plainFront(t, route, first, second), "1")))
				requests, _ := first.counts()
				require.Equal(t, 1, requests)
				require.Eventually(t, func() bool {
					_, closed := first.counts()
					return closed == 1
				}, testTimeout, time.Millisecond, "its connection is closed")
				requests, _ = second.counts()
				require.Equal(t, again, requests)
			})
		}
	}
}

// TestAStreamThatHasBegunGoesOnAfterABrokenHead guards against a stream that ends, or goes on with what is no answer, when the server that it moves
// to answers with a broken head.
func TestAStreamThatHasBegunGoesOnAfterABrokenHead(t *testing.T) {
	for _, c := range oneOfEach {
		t.Run(c.String(), func(t *testing.T) {
			first := newTestServer(t, "1", closesAfter(strings.TrimSuffix(fake.StreamAnswer(onlyEvent), "0\r\n\r\n")))
			var moved atomic.Int64
			other := func(conn net.Conn, _ int) {
				answer := fake.StreamAnswer(laterEvent)
				if moved.Add(1) == 1 {
					answer = c.Answer(fake.SealLine, "id: 1\ndata: broken\n\n")
				}
				closesAfter(answer)(conn, 0)
			}
			g := chainGroup(first, newTestServer(t, "2", other), newTestServer(t, "3", other))
			h := chainHandler(t, g)
			route := &catalog.Route{
				Name: "r", RetryPolicy: catalog.RetryResume, Stream: true, MaxAttempts: 3, Timeout: testTimeout, Objective: testTimeout, PauseObjective: testTimeout,
			}
			status, body := readBody(t, callFront(t, frontWith(t, groupHandler{handler: h, route: route, group: g, send: h.stream}), "1"))
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, onlyEvent+laterEvent, body)
			require.EqualValues(t, 2, moved.Load())
		})
	}
}

// TestASoundHeadMayComeByteByByte guards against sound answers that are refused because their heads come in pieces.
func TestASoundHeadMayComeByteByByte(t *testing.T) {
	server := newTestServer(t, "1", func(c net.Conn, _ int) {
		for _, b := range []byte(fake.PlainAnswer("ok")) {
			_, _ = c.Write([]byte{b})
		}
	})
	require.Equal(t, http.StatusOK, readStatus(t, callFront(t, plainFront(t, repeatRoute(1), server), "1")))
}

// TestAnAnswerThatNamesTwoRequestsReachesNoCaller guards against the answer to another request, and against a signature that belongs to another
// answer. Names that stand there twice are no second ones.
func TestAnAnswerThatNamesTwoRequestsReachesNoCaller(t *testing.T) {
	two := func(line string) headcase.Case { return headcase.New(fmt.Sprintf("%q", line), line) }
	requireNoneReachesCallers(t, []headcase.Case{
		two("X-Request-Id: r\r\nX-Request-Id: other\r\n"), two("X-Request-Id: \r\nX-Request-Id: r\r\n"), two(fake.SealName + ": other\r\n"),
	})
	same := "HTTP/1.1 200 OK\r\n" + "X-Request-Id: r\r\nX-Request-Id: r\r\n" + fake.SealLine + fake.SealLine + plainLength + "ok"
	addr, _ := wirePlain(t, same, catalog.RetryNever)
	resp, err := http.ReadResponse(callWire(t, addr, bare("GET /a", "")), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// TestAnAnswerWithBrokenChunksReachesNoCaller guards against chunks that a reader mends, and against a body that is cut short.
func TestAnAnswerWithBrokenChunksReachesNoCaller(t *testing.T) {
	for name, answer := range headcase.BrokenChunks(fake.SealLine, "data") {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, "1", closesAfter(answer))
			requireBrokenAnswer(t, plainFront(t, &catalog.Route{Name: "r", MaxAttempts: 1, Timeout: testTimeout, Objective: testTimeout}, server))
		})
	}
}
