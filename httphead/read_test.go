package httphead_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"junctioncross/httphead"
	"junctioncross/httphead/headcase"
)

// bufferSize is that of the readers of connections.
const bufferSize = 4 << 10

// read reads one head from what a connection delivers.
func read(from io.Reader) (*fasthttp.ResponseHeader, error) {
	h := &fasthttp.ResponseHeader{}
	return h, httphead.Read(bufio.NewReaderSize(from, bufferSize), h)
}

// TestBrokenHeadsAreRefused guards against heads that are mended on their way to the reader.
func TestBrokenHeadsAreRefused(t *testing.T) {
	for _, c := range headcase.Broken() {
		t.Run(c.String(), func(t *testing.T) {
			_, err := read(strings.NewReader(c.Answer("X-B: 2\r\n", "data")))
			require.Error(t, err)
		})
	}
}

// TestEachStatusIsPassedOrRefused guards against a status that reads as another one, and against sound ones that are refused.
func TestEachStatusIsPassedOrRefused(t *testing.T) {
	for status := range 1000 {
		for _, reason := range []string{" OK", " ", "", " \tx", " \xe9"} {
			h, err := read(strings.NewReader(fmt.Sprintf("HTTP/1.1 %03d%s\r\n\r\n", status, reason)))
			if status < 100 {
				require.Error(t, err, status)
				continue
			}
			require.NoError(t, err, status)
			require.Equal(t, status, h.StatusCode())
		}
	}
}

// TestEachByteOfANameIsPassedOrRefused guards against names that are no token, and against tokens that are refused.
func TestEachByteOfANameIsPassedOrRefused(t *testing.T) {
	const tokens = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for b := range 256 {
		c := string([]byte{byte(b)})
		for place, name := range map[string]string{"first": c + "ab", "inside": "a" + c + "b", "last": "ab" + c} {
			h, err := read(strings.NewReader("HTTP/1.1 200 OK\r\n" + name + ": v\r\n\r\n"))
			if c == ":" && place != "first" {
				// It ends the name, and what follows is the value.
				require.NoError(t, err)
				continue
			}
			if !strings.Contains(tokens, c) {
				require.Error(t, err, "%s: %q", place, name)
				continue
			}
			require.NoError(t, err, "%s: %q", place, name)
			require.Equal(t, "v", string(h.Peek(name)), "%s: %q", place, name)
		}
	}
}

// TestEachByteOfAValueIsPassedOrRefused guards against control bytes in values, and against sound bytes that are refused.
func TestEachByteOfAValueIsPassedOrRefused(t *testing.T) {
	for b := range 256 {
		value := "a" + string([]byte{byte(b)}) + "b"
		h, err := read(strings.NewReader("HTTP/1.1 200 OK\r\nX-A: " + value + "\r\n\r\n"))
		if b < ' ' && b != '\t' || b == 0x7f {
			require.Error(t, err, "%q", value)
			continue
		}
		require.NoError(t, err, "%q", value)
		require.Equal(t, value, string(h.Peek("X-A")))
	}
}

// TestAHeadIsReadHoweverItComes guards against a head that is taken before it is whole, or not taken when it is.
func TestAHeadIsReadHoweverItComes(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 3<<10) + "\r\n\r\n"
	for name, from := range map[string]io.Reader{
		"at once":      strings.NewReader(head + "body"),
		"in halves":    iotest.HalfReader(strings.NewReader(head + "body")),
		"byte by byte": iotest.OneByteReader(strings.NewReader(head + "body")),
	} {
		t.Run(name, func(t *testing.T) {
			r := bufio.NewReaderSize(from, bufferSize)
			var h fasthttp.ResponseHeader
			require.NoError(t, httphead.Read(r, &h))
			require.Len(t, h.Peek("X-A"), 3<<10)
			body, err := io.ReadAll(r)
			require.NoError(t, err)
			require.Equal(t, "body", string(body))
		})
	}
}

// TestAHeadThatFillsTheBufferIsRead guards the size of heads that are read.
func TestAHeadThatFillsTheBufferIsRead(t *testing.T) {
	const before, after = "HTTP/1.1 200 OK\r\nX-A: ", "\r\n\r\n"
	value := strings.Repeat("a", bufferSize-len(before)-len(after))
	_, err := read(strings.NewReader(before + value + after))
	require.NoError(t, err)
	_, err = read(strings.NewReader(before + value + "a" + after))
	require.ErrorIs(t, err, httphead.ErrTooLong)
}

// endless repeats a text forever.
type endless struct {
	text string
	read int
}

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.text[e.read%len(e.text)]
		e.read++
	}
	return len(p), nil
}

// TestAHeadWithoutEndIsGivenUpWhenTheBufferIsFull guards the memory that a head may take.
func TestAHeadWithoutEndIsGivenUpWhenTheBufferIsFull(t *testing.T) {
	for _, text := range []string{"x", "X-A: 1\r\n"} {
		e := &endless{text: text}
		_, err := read(io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n"), e))
		require.ErrorIs(t, err, httphead.ErrTooLong)
		require.LessOrEqual(t, e.read, bufferSize)
	}
}

// TestABrokenLineEndsTheWaitAtOnce guards against a wait for the rest of a head that is refused whatever follows.
func TestABrokenLineEndsTheWaitAtOnce(t *testing.T) {
	for _, begun := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX A: 1\r\n", "HTTP/1.1 200 OK\r\n\n", "SSH-2.0-x\r\n"} {
		// A reader that goes on gets the error of a test.
		_, err := read(io.MultiReader(strings.NewReader(begun), iotest.ErrReader(io.ErrNoProgress)))
		var malformed *httphead.MalformedError
		require.ErrorAs(t, err, &malformed, begun)
	}
}

// TestTheErrorOfAConnectionIsReturnedAsItIs guards callers that tell a connection that ended or timed out from an answer that is none.
func TestTheErrorOfAConnectionIsReturnedAsItIs(t *testing.T) {
	for _, begun := range []string{"", "HTTP", "HTTP/1.1 200 OK\r\nX-A"} {
		_, err := read(strings.NewReader(begun))
		require.ErrorIs(t, err, io.EOF, begun)
		_, err = read(io.MultiReader(strings.NewReader(begun), iotest.ErrReader(io.ErrNoProgress)))
		require.ErrorIs(t, err, io.ErrNoProgress, begun)
	}
}

// TestTheErrorOfABrokenHeadIsShort guards the log against the contents of heads.
func TestTheErrorOfABrokenHeadIsShort(t *testing.T) {
	_, err := read(strings.NewReader("HTTP/1.1 200 OK\r\n" + strings.Repeat("\x00", 3<<10) + "\r\n\r\n"))
	require.ErrorContains(t, err, "bad name")
	require.Less(t, len(err.Error()), 400)
}
