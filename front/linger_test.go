package front_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/front"
)

// longAnswer is longer than what the buffers of a connection hold, so that a part is still to be sent when the server has written it.
var longAnswer = strings.Repeat("x", 12<<20)

func answerLong(_ context.Context, x *front.Exchange) {
	x.Answer([]byte("HTTP/1.1 200 OK\r\n"), []byte(longAnswer))
}

// readLong reads an answer whose body is longAnswer and reports whether it says that the connection closes.
func readLong(t *testing.T, r *bufio.Reader) bool {
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, body, len(longAnswer))
	return resp.Close
}

// TestARequestThatCrossesTheCloseDoesNotDestroyTheAnswer guards against a reset for unread bytes: the caller sends its next request
// before it has read that the connection closes.
func TestARequestThatCrossesTheCloseDoesNotDestroyTheAnswer(t *testing.T) {
	s := serve(t, answerLong)
	s.Leave()
	c, r := dial(t, s)
	_, err := io.WriteString(c, request("r1", ""))
	require.NoError(t, err)
	crossing := make(chan struct{})
	go func() {
		defer close(crossing)
		// It is longer than the server reads ahead.
		_, _ = io.WriteString(c, request("r2", strings.Repeat("y", 100_000)))
	}()
	require.True(t, readLong(t, r), "the answer says that the connection closes")
	<-crossing
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the crossing request gets no answer")
}

// TestARequestThatComesAfterTheCloseDoesNotDestroyTheAnswer guards against the reset that a closed connection answers bytes with.
func TestARequestThatComesAfterTheCloseDoesNotDestroyTheAnswer(t *testing.T) {
	answered := make(chan struct{})
	s := serve(t, func(ctx context.Context, x *front.Exchange) {
		answerLong(ctx, x)
		close(answered)
	})
	s.Leave()
	c, r := dial(t, s)
	_, err := io.WriteString(c, request("r1", ""))
	require.NoError(t, err)
	skipUntil(t, r, answered)
	time.Sleep(20 * time.Millisecond)
	_, err = io.WriteString(c, request("r2", ""))
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, r)
	require.NoError(t, err, "the rest of the answer comes")
}

// skipUntil reads an answer, slowly, until the server has written all of it.
func skipUntil(t *testing.T, r io.Reader, answered <-chan struct{}) {
	for {
		select {
		case <-answered:
			return
		default:
			_, err := io.CopyN(io.Discard, r, 64<<10)
			require.NoError(t, err)
			time.Sleep(time.Millisecond)
		}
	}
}

// TestACallerThatStillSendsItsBodyReceivesTheRefusal guards against a reset that destroys the refusal of a body that is too large.
func TestACallerThatStillSendsItsBodyReceivesTheRefusal(t *testing.T) {
	s := serve(t, echo)
	for range 20 {
		c, r := dial(t, s)
		_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 1048576\r\n\r\n")
		require.NoError(t, err)
		for range 16 {
			_, err = c.Write(make([]byte, 64<<10))
			require.NoError(t, err)
			time.Sleep(time.Millisecond)
		}
		status, _ := answer(t, r)
		require.Equal(t, http.StatusRequestEntityTooLarge, status)
	}
}

// TestAServerDoesNotStopWhileACallerMayStillReadItsAnswer guards the end of an answer against the end of the process.
func TestAServerDoesNotStopWhileACallerMayStillReadItsAnswer(t *testing.T) {
	s := serve(t, answerLong)
	s.Leave()
	c, r := dial(t, s)
	_, err := io.WriteString(c, request("r1", ""))
	require.NoError(t, err)
	readLong(t, r)
	require.Eventually(t, func() bool { return s.Running() == 0 }, testTimeout, time.Millisecond)
	require.False(t, s.StopIfIdle(), "the caller has not closed the connection yet")
	require.NoError(t, c.Close())
	require.Eventually(t, s.StopIfIdle, testTimeout, time.Millisecond)
}

// TestACallerThatKeepsItsConnectionDoesNotHoldUpTheStop guards against a stop that waits for callers which never close.
func TestACallerThatKeepsItsConnectionDoesNotHoldUpTheStop(t *testing.T) {
	s := serve(t, echo)
	s.Leave()
	c, r := dial(t, s)
	_, err := io.WriteString(c, request("r1", ""))
	require.NoError(t, err)
	answer(t, r)
	require.Eventually(t, s.StopIfIdle, testTimeout, time.Millisecond)
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
