package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/platform/fake"
)

const onlyEvent = "id: 0\ndata: x\n\n"

// afterLastEvent answers a request to resume a stream after its last event, of which nothing is left.
func afterLastEvent(c net.Conn, _ int) { _, _ = io.WriteString(c, fake.EmptyStreamAnswer()) }

// closedBeforeEnd sends the only event of a stream and closes the connection before the end of the answer.
func closedBeforeEnd(c net.Conn, _ int) {
	_, _ = io.WriteString(c, fake.StreamAnswer(onlyEvent)[:len(fake.StreamAnswer(onlyEvent))-len("0\r\n\r\n")])
	_ = c.Close()
}

// readBody returns the status and the whole body of the next answer.
func readBody(t *testing.T, c net.Conn) (int, string) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err, "the answer is complete")
	return resp.StatusCode, string(body)
}

// requireHealthy checks that no server is thought to be broken.
func requireHealthy(t *testing.T, h *Handler, g *backend.Group) {
	for _, s := range g.Servers() {
		require.True(t, s.Usable(h.clock.Now()), "server %s", s.ID())
	}
}

// TestAStreamThatBreaksAfterItsLastEventIsCompleted guards against a stream that is sent to one server after the other when only the
// end of its answer is missing: a server that is asked for what follows the last event answers without events.
func TestAStreamThatBreaksAfterItsLastEventIsCompleted(t *testing.T) {
	first, other := newTestServer(t, "1", closedBeforeEnd), newTestServer(t, "2", afterLastEvent)
	g := chainGroup(first, other)
	h := chainHandler(t, g)
	status, body := readBody(t, callFront(t, streamFront(t, h, g), "1"))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, onlyEvent, body)
	require.Equal(t, 1, requestCount([]*testServer{other}))
	require.True(t, g.Servers()[2].Usable(h.clock.Now()), "the server that completed it is healthy")
}

// TestACallerThatHasAllEventsGetsTheEnd guards against a caller that lost only the end of its answer, and whose request to resume it
// makes every server look broken: an empty answer is complete for it.
func TestACallerThatHasAllEventsGetsTheEnd(t *testing.T) {
	first, other := newTestServer(t, "1", afterLastEvent), newTestServer(t, "2", afterLastEvent)
	g := chainGroup(first, other)
	h := chainHandler(t, g)
	status, body := readBody(t, callFrontWith(t, streamFront(t, h, g), "1", "Last-Event-Id: 0\r\n"))
	require.Equal(t, http.StatusOK, status)
	require.Empty(t, body)
	require.Equal(t, 1, requestCount([]*testServer{first, other}))
	requireHealthy(t, h, g)
}

// TestAnEmptyAnswerIsNoWholeStream has a server answer a new stream without events, which is not accepted as its whole answer.
func TestAnEmptyAnswerIsNoWholeStream(t *testing.T) {
	first, other := newTestServer(t, "1", afterLastEvent), newTestServer(t, "2", streamed)
	g := chainGroup(first, other)
	h := chainHandler(t, g)
	status, body := readBody(t, callFront(t, streamFront(t, h, g), "1"))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, onlyEvent, body)
	require.Equal(t, 1, requestCount([]*testServer{other}))
}

// inPieces answers with a stream in chunks, the pieces of which come one by one.
func inPieces(pieces ...string) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, fake.ChunkedStreamHead())
		for _, piece := range pieces {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
			time.Sleep(betweenPieces)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// betweenPieces is the pause after a piece, within which it reaches the reader by itself.
const betweenPieces = 20 * time.Millisecond

// TestAStreamWhoseCallerMissesAnEventIsNotCompleted guards against an answer that is complete but for an event that came after later ones.
func TestAStreamWhoseCallerMissesAnEventIsNotCompleted(t *testing.T) {
	first := newTestServer(t, "1", inPieces("id: 0\ndata: x\n\nid: 2\ndata: z\n\n", "id: 1\ndata: y\n\n", "id: 3\ndata: w\n\n"))
	other := newTestServer(t, "2", afterLastEvent)
	g := chainGroup(first, other)
	h := chainHandler(t, g)
	require.False(t, isWhole(t, callFront(t, streamFront(t, h, g), "1")))
	require.Zero(t, requestCount([]*testServer{other}), "no server can send what the caller misses")
}
