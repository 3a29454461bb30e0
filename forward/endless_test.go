package forward

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/platform/fake"
	"junctioncross/timer"
)

const (
	// endlessMost is what a server sends that is not stopped, and heldMost what the instance may take of it: the longest plain answer, and
	// what the buffers of both sockets hold.
	endlessMost = 64 << 20
	heldMost    = maxPlainBody + 8<<20
)

// endlessServer is a server that answers each request with bytes that do not end; sent counts them.
func endlessServer(t *testing.T, id string, kind fake.Endless, sent *atomic.Int64) *testServer {
	return newTestServer(t, id, func(c net.Conn, _ int) {
		sent.Add(int64(kind.Send(c, 0, endlessMost)))
		_ = c.Close()
	})
}

// TestAStreamLeavesAServerWhoseBytesAreNoAnswerAndDoNotEnd guards against endless bytes that keep the caller of a stream and fill the memory.
func TestAStreamLeavesAServerWhoseBytesAreNoAnswerAndDoNotEnd(t *testing.T) {
	for _, kind := range fake.EndlessKinds {
		t.Run(kind.String(), func(t *testing.T) {
			var sent atomic.Int64
			g := chainGroup(endlessServer(t, "1", kind, &sent), newTestServer(t, "2", streamed))
			h := chainHandler(t, g)
			require.Equal(t, http.StatusOK, readStatus(t, callFront(t, streamFront(t, h, g), "1")))
			require.Eventually(t, func() bool { return sent.Load() > 0 }, testTimeout, time.Millisecond)
			require.Less(t, sent.Load(), int64(heldMost))
			require.False(t, g.Servers()[0].Ended(), "it answers, if wrongly")
		})
	}
}

// TestAPlainRequestLeavesAServerWhoseBytesAreNoAnswerAndDoNotEnd guards against endless bytes that keep the caller of a plain request.
func TestAPlainRequestLeavesAServerWhoseBytesAreNoAnswerAndDoNotEnd(t *testing.T) {
	for _, kind := range fake.EndlessKinds {
		t.Run(kind.String(), func(t *testing.T) {
			var sent atomic.Int64
			route := repeatRoute(2)
			route.Objective = time.Hour
			first, second := endlessServer(t, "1", kind, &sent), newTestServer(t, "2", sealed)
			second.server.Reserve(0)
			require.Equal(t, http.StatusOK, readStatus(t, callFront(t, plainFront(t, route, first, second), "1")))
			require.Eventually(t, func() bool { return sent.Load() > 0 }, testTimeout, time.Millisecond)
			require.Less(t, sent.Load(), int64(heldMost))
			require.False(t, first.server.Ended(), "it answers, if wrongly")
		})
	}
}

// TestBytesThatComeSlowlyAndCompleteNothingAreGivenUp guards against bytes that come so slowly that no limit on their number ends them.
func TestBytesThatComeSlowlyAndCompleteNothingAreGivenUp(t *testing.T) {
	for _, kind := range []fake.Endless{fake.EndlessLine, fake.EndlessHeader, fake.EndlessChunks, fake.EndlessUnframed} {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			first := newTestServer(t, "1", func(c net.Conn, _ int) {
				kind.Send(c, 20*time.Millisecond, endlessMost)
				_ = c.Close()
			})
			g := chainGroup(first, newTestServer(t, "2", streamed))
			require.Equal(t, http.StatusOK, readStatus(t, callFront(t, streamFront(t, chainHandler(t, g), g), "1")))
		})
	}
}

// TestBodiesOfPlainAnswersShareALimitOnMemory guards against a few dozen large bodies at once that take all memory.
func TestBodiesOfPlainAnswersShareALimitOnMemory(t *testing.T) {
	const room = 1 << 20
	h := plainHandler(t, timer.NewReal())
	h.bodies.left.Store(room)
	read := 0
	for range 100 {
		r := &request{}
		if body, err := h.readHeld(r, bytes.NewReader(make([]byte, room/4))); err == nil {
			read += len(body)
		}
	}
	require.LessOrEqual(t, read, room)
	require.Positive(t, read)
	small, err := h.readHeld(&request{}, bytes.NewReader(make([]byte, firstBodyBytes-1)))
	require.NoError(t, err, "small bodies have room in any case")
	require.Len(t, small, firstBodyBytes-1)
}

// TestABodyForWhichThereIsNoMemoryBlamesNoServer guards against sound servers that count as broken since the instance has no memory left.
func TestABodyForWhichThereIsNoMemoryBlamesNoServer(t *testing.T) {
	large := newTestServer(t, "1", func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, fake.PlainAnswer(strings.Repeat("x", 4*firstBodyBytes)))
	})
	h := plainHandler(t, timer.NewReal())
	h.bodies.left.Store(0)
	readStatus(t, callFront(t, frontOf(t, h, repeatRoute(1), []*testServer{large}), "1"))
	require.Zero(t, large.server.FailRate())
}
