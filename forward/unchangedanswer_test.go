package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/catalog"
	"junctioncross/platform/fake"
)

const (
	// sealedOK begins an answer.
	sealedOK = "HTTP/1.1 200 OK\r\n" + fake.SealLine
	// plainLength is the length of the body that wireAnswer has.
	plainLength = "Content-Length: 2\r\n\r\n"
)

// answerCases are answers of servers with what their callers get; for an empty one that is what was sent. The order of headers with different
// names has no meaning.
var answerCases = map[string]struct{ method, sent, want string }{
	"no type":              {http.MethodGet, sealedOK + plainLength + "ok", ""},
	"cookies":              {http.MethodGet, "HTTP/1.1 200 OK\r\nSet-Cookie: a=\"1\"; Path=/;HttpOnly\r\nSet-Cookie: a=2\r\nSet-Cookie: b\r\n" + fake.SealLine + plainLength + "ok", ""},
	"repeated":             {http.MethodGet, sealedOK + "Vary: a\r\nX-A: 1\r\nVary: b, c\r\nX-A: \r\n" + plainLength + "ok", ""},
	"coded":                {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" + fake.SealLine + plainLength + "ok", ""},
	"reason":               {http.MethodGet, "HTTP/1.1 299 Strange And Odd\r\n" + fake.SealLine + plainLength + "ok", ""},
	"two Connections":      {http.MethodGet, sealedOK + "Connection: X-A\r\nX-A: 1\r\nConnection: " + fake.SealName + ", X-B\r\nX-B: 1\r\n" + plainLength + "ok", sealedOK + plainLength + "ok"},
	"chunks":               {http.MethodGet, sealedOK + "Transfer-Encoding: chunked\r\n\r\n1;x\r\no\r\n1\r\nk\r\n0\r\n\r\n", sealedOK + plainLength + "ok"},
	"chunks, trailer":      {http.MethodGet, sealedOK + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\nX-U: 2\r\n\r\n", sealedOK + plainLength + "ok"},
	"early hints":          {http.MethodGet, "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n" + wireAnswer, wireAnswer},
	"204":                  {http.MethodGet, "HTTP/1.1 204 No Content\r\n" + fake.SealLine + "\r\n", ""},
	"204, length":          {http.MethodGet, "HTTP/1.1 204 No Content\r\n" + fake.SealLine + "Content-Length: 0\r\n\r\n", "HTTP/1.1 204 No Content\r\n" + fake.SealLine + "\r\n"},
	"304":                  {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + fake.SealLine + "Etag: \"e\"\r\n\r\n", ""},
	"304, length":          {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + fake.SealLine + "Content-Length: 500\r\n\r\n", ""},
	"HEAD":                 {http.MethodHead, sealedOK + "Content-Length: 99999999\r\n\r\n", ""},
	"HEAD, no length":      {http.MethodHead, sealedOK + "\r\n", ""},
	"HEAD, chunks":         {http.MethodHead, sealedOK + "Transfer-Encoding: chunked\r\n\r\n", sealedOK + "\r\n"},
	"HEAD, failure":        {http.MethodHead, "HTTP/1.1 500 Internal Server Error\r\n" + fake.SealLine + "Content-Length: 5\r\n\r\n", ""},
	"HEAD, not run":        {http.MethodHead, "HTTP/1.1 503 Service Unavailable\r\n" + fake.NotRunLine + "Content-Length: 5\r\n\r\n", "503"},
	"nothing in the body":  {http.MethodPost, sealedOK + "Content-Length: 0\r\n\r\n", ""},
	"status 600":           {http.MethodPost, "HTTP/1.1 600 Odd\r\n" + fake.SealLine + plainLength + "no", ""},
	"status 999":           {http.MethodPost, "HTTP/1.1 999 Odd\r\n" + fake.SealLine + plainLength + "no", ""},
	"205":                  {http.MethodPost, "HTTP/1.1 205 Reset Content\r\n" + fake.SealLine + plainLength + "ok", ""},
	"odd reason":           {http.MethodGet, "HTTP/1.1 200 \xe9\tso so \r\n" + fake.SealLine + plainLength + "ok", ""},
	"all bytes of a name":  {http.MethodGet, sealedOK + "X!#$%&'*+-.^_`|~09azaz: 1\r\n" + plainLength + "ok", ""},
	"odd value":            {http.MethodGet, sealedOK + "X-A: \"(a\tb  c,:;)\" \x80\xff\r\n" + plainLength + "ok", ""},
	"blanks around values": {http.MethodGet, sealedOK + "X-A:1\r\nX-B: \t 2 \t \r\n" + plainLength + "ok", sealedOK + "X-A: 1\r\nX-B: 2\r\n" + plainLength + "ok"},
	"HTTP/1.0":             {http.MethodGet, "HTTP/1.0 200 OK\r\n" + fake.SealLine + "Connection: keep-alive\r\n" + plainLength + "ok", sealedOK + plainLength + "ok"},
	"length beside chunks": {http.MethodGet, sealedOK + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", sealedOK + plainLength + "ok"},
	"odd trailers":         {http.MethodGet, sealedOK + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX T\r\n\r\n", sealedOK + plainLength + "ok"},
	"a refusal of its own": {http.MethodPost, "HTTP/1.1 422 Unprocessable Entity\r\n" + fake.SealLine + plainLength + "no", ""},
}

// TestAnAnswerReachesItsCallerAsItCame guards answers that are taken apart and written anew, or whose end is sought where there is none.
func TestAnAnswerReachesItsCallerAsItCame(t *testing.T) {
	for name, c := range answerCases {
		t.Run(name, func(t *testing.T) {
			want := c.want
			if want == "" {
				want = c.sent
			}
			addr, _ := wirePlain(t, c.sent, catalog.RetryNever)
			// What follows the answer must be readable, too: the connection ends with a request that no instance reads.
			back, err := io.ReadAll(callWire(t, addr, bare(c.method+" /a", "")+"no request\r\n\r\n"))
			require.NoError(t, err)
			got, rest, found := strings.Cut(string(back), "HTTP/1.1 400 Bad Request\r\n")
			require.True(t, found, "%q", back)
			require.True(t, strings.HasSuffix(rest, "\r\n\r\nhead is not readable\n"), rest)
			if want == "503" {
				require.True(t, strings.HasPrefix(got, "HTTP/1.1 503 Service Unavailable\r\n"), got)
				require.True(t, strings.HasSuffix(got, "\r\n\r\n"), got)
				return
			}
			require.Equal(t, want, got)
		})
	}
}

// TestAHeadOfAStreamReachesItsCaller guards against a wait for the events of an answer to HEAD.
func TestAHeadOfAStreamReachesItsCaller(t *testing.T) {
	head, _, _ := strings.Cut(fake.StreamAnswer(onlyEvent), "\r\n\r\n")
	addr, server := wireStream(t, head+"\r\n\r\n")
	resp, err := http.ReadResponse(callWire(t, addr, bare("HEAD /a", "")), &http.Request{Method: http.MethodHead})
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get(fake.SealName))
	require.Len(t, server.taken(), 1)
}
