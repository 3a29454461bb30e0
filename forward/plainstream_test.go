package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/platform/fake"
)

// plainStreamRoute returns a route whose streams may be resumed.
func plainStreamRoute() catalog.Route {
	return catalog.Route{
		Name: "r", Host: "h", Prefix: "/", Targets: []catalog.Target{{Service: configuredService, Weight: 1}}, RetryPolicy: catalog.RetryResume,
		Stream: true, MaxAttempts: 2, Timeout: testTimeout, Objective: 10 * time.Second, PauseObjective: time.Second,
	}
}

// plainStreams starts a handler for a route to a service without an engine. Its first server is in the handler's domain, the others are not, so that
// requests go to the first one while they can.
func plainStreams(t *testing.T, route catalog.Route, servers ...*testServer) *configured {
	content := &catalog.Content{
		Version: 1, Routes: []catalog.Route{route}, Services: []catalog.Service{{Name: configuredService}, {Name: otherService}},
	}
	var entries []backend.Entry
	for i, ts := range servers {
		entries = append(entries, backend.Entry{
			ID: ts.server.ID(), Service: configuredService, Addr: ts.server.Addr(), Domain: string(rune('a' + i)), Slots: 4, Born: 1, Revision: int64(i + 1),
		})
	}
	return startConfigured(t, content, nil, entries)
}

// failRate returns the failure rate of a server as its handler sees it.
func (c *configured) failRate(ts *testServer) float64 { return c.server(ts.server.Addr()).FailRate() }

// TestACallerGoesOnWithAStreamOfAServiceWithoutAnEngine guards against a stream that begins anew for a caller who has its first events.
func TestACallerGoesOnWithAStreamOfAServiceWithoutAnEngine(t *testing.T) {
	ts := newTestServer(t, "1", afterLastEvent)
	s := plainStreams(t, plainStreamRoute(), ts).front
	status, body := readBody(t, callFrontWith(t, s, "1", "Last-Event-Id: 4\r\n"))
	require.Equal(t, http.StatusOK, status)
	require.Empty(t, body)
	require.Equal(t, []string{"4"}, ts.resumedAfter())
}

// TestARequestThatIsNoStreamKeepsItsLastEventID guards against a header that is lost on routes where only the caller sets it.
func TestARequestThatIsNoStreamKeepsItsLastEventID(t *testing.T) {
	ts := newTestServer(t, "1", sealed)
	route := plainStreamRoute()
	route.Stream = false
	s := plainStreams(t, route, ts).front
	require.Equal(t, http.StatusOK, readStatus(t, callFrontWith(t, s, "1", "Last-Event-Id: 4\r\n")))
	require.Equal(t, []string{"4"}, ts.resumedAfter())
}

// framings are the ways in which servers mark the end of an answer with events: those of events that come in one piece.
var framings = map[string]func(events string) func(net.Conn, int){
	"chunks": oneChunk,
	"length": func(events string) func(net.Conn, int) { return writing(fake.PlainAnswer(events)) },
	"none":   unframed,
}

// oneChunk answers with events in one chunk, or with none.
func oneChunk(events string) func(net.Conn, int) {
	if events == "" {
		return writing(fake.EmptyChunksAnswer())
	}
	return writing(fake.StreamAnswer(events))
}

// writing answers with some bytes.
func writing(answer string) func(net.Conn, int) {
	return func(c net.Conn, _ int) { _, _ = io.WriteString(c, answer) }
}

// threeEvents are those of the streams that tests of services without an engine send.
const threeEvents = "id: 0\ndata: x\n\nid: 1\ndata: y\n\nid: 2\ndata: z\n\n"

// TestAnUnsoundStreamOfAServiceWithoutAnEngineIsNotWhole guards against a stream that ends inside an event, or whose events are not those of one
// run in order, and that is passed on as complete.
func TestAnUnsoundStreamOfAServiceWithoutAnEngineIsNotWhole(t *testing.T) {
	for name, events := range map[string]string{
		"ends inside an event":      threeEvents[:len(threeEvents)-1],
		"an event twice":            onlyEvent + threeEvents,
		"two events in wrong order": "id: 0\ndata: x\n\nid: 2\ndata: z\n\nid: 1\ndata: y\n\n",
		"no event":                  "",
		"no events but text":        "ok",
	} {
		for framing, answer := range framings {
			t.Run(name+", "+framing, func(t *testing.T) {
				first, other := newTestServer(t, "1", answer(events)), newTestServer(t, "2", framings[framing](threeEvents))
				s := plainStreams(t, plainStreamRoute(), first, other).front
				status, body := readBody(t, callFront(t, s, "1"))
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, threeEvents, body)
				require.Equal(t, 1, requestCount([]*testServer{other}))
			})
			t.Run(name+", "+framing+", once", func(t *testing.T) {
				first, other := newTestServer(t, "1", answer(events)), newTestServer(t, "2", framings[framing](threeEvents))
				route := plainStreamRoute()
				route.RetryPolicy = catalog.RetryNever
				s := plainStreams(t, route, first, other).front
				require.False(t, isWhole(t, callFront(t, s, "1")))
				require.Zero(t, requestCount([]*testServer{other}))
			})
		}
	}
}

// isWhole reports whether the next answer is a success that is complete.
func isWhole(t *testing.T, c net.Conn) bool {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	return err == nil && resp.StatusCode == http.StatusOK
}

// TestASoundStreamOfAServiceWithoutAnEngineReachesItsCaller guards against sound streams that are refused.
func TestASoundStreamOfAServiceWithoutAnEngineReachesItsCaller(t *testing.T) {
	for framing, answer := range framings {
		t.Run(framing, func(t *testing.T) {
			ts := newTestServer(t, "1", answer(threeEvents))
			c := plainStreams(t, plainStreamRoute(), ts)
			status, body := readBody(t, callFront(t, c.front, "1"))
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, threeEvents, body)
			require.Zero(t, c.failRate(ts))
		})
	}
}

// paced answers with the head of a stream without a marked end and then with events, as the test lets them go.
func paced(pieces <-chan string) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, fake.UnframedStreamAnswer(""))
		for piece := range pieces {
			_, _ = io.WriteString(c, piece)
		}
		_ = c.Close()
	}
}

// streamReader reads a stream as its caller.
type streamReader struct {
	t     *testing.T
	resp  *http.Response
	lines *bufio.Reader
}

func readStream(t *testing.T, c net.Conn) *streamReader {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	require.Equal(t, http.StatusOK, resp.StatusCode)
	return &streamReader{t: t, resp: resp, lines: bufio.NewReader(resp.Body)}
}

// next returns the next event.
func (r *streamReader) next() string {
	event := ""
	for !strings.HasSuffix(event, "\n\n") {
		line, err := r.lines.ReadString('\n')
		require.NoError(r.t, err)
		event += line
	}
	return event
}

// end requires that the answer is complete and has no further event.
func (r *streamReader) end() {
	rest, err := io.ReadAll(r.lines)
	require.NoError(r.t, err, "the answer is complete")
	require.Empty(r.t, string(rest))
}

// nthEvent returns an event of a stream.
func nthEvent(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }

// TestEventsOfAServiceWithoutAnEngineArePassedOnAsTheyArrive guards against events that are held back until the stream ends, by when callers have
// left.
func TestEventsOfAServiceWithoutAnEngineArePassedOnAsTheyArrive(t *testing.T) {
	pieces := make(chan string)
	ts := newTestServer(t, "1", paced(pieces))
	s := plainStreams(t, plainStreamRoute(), ts).front
	c := callFront(t, s, "1")
	pieces <- nthEvent(0)
	r := readStream(t, c)
	require.Equal(t, nthEvent(0), r.next())
	for n := 1; n < 4; n++ {
		pieces <- nthEvent(n)
		require.Equal(t, nthEvent(n), r.next())
	}
	close(pieces)
	r.end()
}

// TestAStreamOfAServiceWithoutAnEngineGoesOnAtAnotherServer guards against answers that break off with their server, that have an event twice or
// that change their head.
func TestAStreamOfAServiceWithoutAnEngineGoesOnAtAnotherServer(t *testing.T) {
	for name, second := range map[string]func(net.Conn, int){
		"that takes it up":    unframed(nthEvent(2) + nthEvent(3)),
		"that begins it anew": unframed(nthEvent(0) + nthEvent(1) + nthEvent(2) + nthEvent(3)),
	} {
		t.Run(name, func(t *testing.T) {
			pieces := make(chan string)
			first, other := newTestServer(t, "1", paced(pieces)), newTestServer(t, "2", second)
			s := plainStreams(t, plainStreamRoute(), first, other).front
			c := callFront(t, s, "1")
			pieces <- nthEvent(0)
			r := readStream(t, c)
			require.Equal(t, nthEvent(0), r.next())
			pieces <- nthEvent(1) + "id: 2\ndata"
			close(pieces)
			for n := 1; n < 4; n++ {
				require.Equal(t, nthEvent(n), r.next())
			}
			r.end()
			require.Equal(t, []string{"1"}, other.resumedAfter())
			require.Equal(t, []string{"s"}, r.resp.Header.Values(fake.SealName))
		})
	}
}

// TestAStreamThatMayNotBeResumedRunsOnce guards against a second run of a stream that has begun.
func TestAStreamThatMayNotBeResumedRunsOnce(t *testing.T) {
	first, other := newTestServer(t, "1", unframed(nthEvent(0)+"id: 1")), newTestServer(t, "2", unframed(nthEvent(0)+nthEvent(1)))
	route := plainStreamRoute()
	route.RetryPolicy = catalog.RetryNever
	s := plainStreams(t, route, first, other).front
	require.False(t, isWhole(t, callFront(t, s, "1")))
	require.Zero(t, requestCount([]*testServer{other}))
}

// TestAStreamRunsOnNoMoreServersThanItsRouteAllows has each server of a service without an engine break the stream.
func TestAStreamRunsOnNoMoreServersThanItsRouteAllows(t *testing.T) {
	broken := unframed("id: 0")
	servers := []*testServer{newTestServer(t, "1", broken), newTestServer(t, "2", broken), newTestServer(t, "3", broken)}
	s := plainStreams(t, plainStreamRoute(), servers...).front
	require.Equal(t, http.StatusBadGateway, readStatus(t, callFront(t, s, "1")))
	require.Equal(t, 2, requestCount(servers))
}

// TestARefusedStreamOfAServiceWithoutAnEngineIsSentElsewhere guards against a refusal that counts as a run.
func TestARefusedStreamOfAServiceWithoutAnEngineIsSentElsewhere(t *testing.T) {
	first, other := newTestServer(t, "1", writing(fake.PlainRefusal(""))), newTestServer(t, "2", unframed(threeEvents))
	route := plainStreamRoute()
	route.RetryPolicy, route.MaxAttempts = catalog.RetryNever, 1
	s := plainStreams(t, route, first, other).front
	status, body := readBody(t, callFront(t, s, "1"))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, threeEvents, body)
	require.Equal(t, 1, requestCount([]*testServer{first}))
}

// TestAStreamThatNoServerTakesIsRefusedAsNotRun guards against a 502 where nothing has run.
func TestAStreamThatNoServerTakesIsRefusedAsNotRun(t *testing.T) {
	refusing := writing(fake.PlainRefusal(""))
	servers := []*testServer{newTestServer(t, "1", refusing), newTestServer(t, "2", refusing)}
	s := plainStreams(t, plainStreamRoute(), servers...).front
	require.Equal(t, http.StatusServiceUnavailable, readStatus(t, callFront(t, s, "1")))
	require.Equal(t, 2, requestCount(servers))
}

// TestAnswersOtherThanEventsReachTheirCallers guards against statuses of servers that are lost on routes of streams.
func TestAnswersOtherThanEventsReachTheirCallers(t *testing.T) {
	for _, status := range []string{"204 No Content", "303 See Other", "404 Not Found", "500 Internal Server Error"} {
		t.Run(status, func(t *testing.T) {
			ts := newTestServer(t, "1", writing(fake.PlainFailure(status)))
			route := plainStreamRoute()
			route.RetryPolicy = catalog.RetryNever
			s := plainStreams(t, route, ts).front
			require.Equal(t, status[:3], strconv.Itoa(readStatus(t, callFront(t, s, "1"))))
		})
	}
}

// TestASilentServerWithoutAnEngineIsLeft guards against a stream that stays with a server which is silent for longer than sound ones, before its
// first event or after.
func TestASilentServerWithoutAnEngineIsLeft(t *testing.T) {
	for name, pieces := range map[string]string{"before the head": "", "after an event": nthEvent(0)} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			first := newTestServer(t, "1", func(c net.Conn, _ int) {
				if pieces != "" {
					_, _ = io.WriteString(c, fake.UnframedStreamAnswer(pieces))
				}
				<-release
			})
			defer close(release)
			other := newTestServer(t, "2", unframed(nthEvent(0)+nthEvent(1)))
			route := plainStreamRoute()
			route.Objective, route.PauseObjective = 200*time.Millisecond, 100*time.Millisecond
			s := plainStreams(t, route, first, other).front
			begun := time.Now()
			r := readStream(t, callFront(t, s, "1"))
			require.Equal(t, nthEvent(0), r.next())
			require.Equal(t, nthEvent(1), r.next())
			r.end()
			require.GreaterOrEqual(t, time.Since(begun), silenceLimit(&route), "a sound server may be silent for that long")
			require.Equal(t, 1, requestCount([]*testServer{other}))
		})
	}
}

// TestACallerThatReadsSlowlyKeepsItsServer guards against a server that is taken for silent while its caller does not read.
func TestACallerThatReadsSlowlyKeepsItsServer(t *testing.T) {
	const events, size = 512, 32 << 10
	stream := ""
	for n := range events {
		stream += fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", size))
	}
	first, other := newTestServer(t, "1", unframed(stream)), newTestServer(t, "2", unframed(stream))
	route := plainStreamRoute()
	route.Objective, route.PauseObjective = 100*time.Millisecond, 100*time.Millisecond
	s := plainStreams(t, route, first, other).front
	c := callFront(t, s, "1")
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
	time.Sleep(backend.MaxSoundSilence + 10*watchPeriod)
	status, body := readBody(t, c)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, stream, body)
	require.Zero(t, requestCount([]*testServer{other}))
}

// TestACallerThatLeavesEndsItsStream guards against servers without an engine that go on for nobody.
func TestACallerThatLeavesEndsItsStream(t *testing.T) {
	pieces := make(chan string, 1)
	first, other := newTestServer(t, "1", paced(pieces)), newTestServer(t, "2", unframed(threeEvents))
	streams := plainStreams(t, plainStreamRoute(), first, other)
	c := callFront(t, streams.front, "1")
	pieces <- nthEvent(0)
	require.Equal(t, nthEvent(0), readStream(t, c).next())
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return streams.front.Running() == 0 }, testTimeout, time.Millisecond)
	close(pieces)
	require.Eventually(t, func() bool { return closedCount([]*testServer{first}) == 1 }, testTimeout, time.Millisecond)
	require.Zero(t, requestCount([]*testServer{other}))
	require.Zero(t, streams.failRate(first), "the server has done nothing wrong")
}
