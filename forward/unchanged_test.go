package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/httphead"
	"junctioncross/httphead/headtest"
	"junctioncross/models"
	"junctioncross/platform/fake"
	"junctioncross/timer"
)

// wireServer is a backend server that records the bytes of each request and answers with fixed bytes.
type wireServer struct {
	server *backend.Server
	answer string

	mu       sync.Mutex
	requests []string
}

func newWireServer(tb testing.TB, answer string) *wireServer {
	s := &wireServer{answer: answer}
	s.server = backend.NewServer(backend.Entry{ID: "1", Service: "s", Addr: headtest.Listen(tb, s.serve), Domain: "a", Slots: 4})
	return s
}

func (s *wireServer) serve(c net.Conn) {
	for {
		var request bytes.Buffer
		r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(c, &request)))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, request.String())
		s.mu.Unlock()
		if _, err := io.WriteString(c, s.answer); err != nil {
			return
		}
	}
}

// taken returns the requests so far without the headers that the instance sets, and forgets them.
func (s *wireServer) taken() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.requests
	for i := range out {
		out[i] = ownHeaders.ReplaceAllString(out[i], "")
	}
	s.requests = nil
	return out
}

// ownHeaders are the headers that an instance sets on each request to a plain server.
var ownHeaders = regexp.MustCompile("(?m)^(" + fake.OwnHeaderNames + "): .*\r\n")

const (
	// wireHead are headers that each request needs, and wireAnswer is an answer.
	wireHead   = "Host: h\r\nX-Request-Id: r\r\n"
	wireAnswer = "HTTP/1.1 200 OK\r\n" + fake.SealLine + "Content-Length: 2\r\n\r\nok"
)

// wirePlain serves plain requests with a server.
func wirePlain(tb testing.TB, answer string, policy catalog.RetryPolicy) (addr string, server *wireServer) {
	server = newWireServer(tb, answer)
	group := backend.NewGroup(&catalog.Service{Name: "s"}, []*backend.Server{server.server})
	h := plainHandler(tb, timer.NewReal())
	route := &catalog.Route{Name: "r", RetryPolicy: policy, MaxAttempts: 1, Timeout: testTimeout, Objective: testTimeout}
	return frontWith(tb, groupHandler{handler: h, route: route, group: group, send: h.plain}).Addr().String(), server
}

// wireStream is wirePlain for streams.
func wireStream(tb testing.TB, answer string) (addr string, server *wireServer) {
	server = newWireServer(tb, answer)
	second := backend.NewServer(backend.Entry{ID: "2", Service: "s", Addr: "127.0.0.1:1", Domain: "a", Kind: "k", Layers: secondHalf})
	first := backend.NewServer(backend.Entry{
		ID: "1", Service: "s", Addr: server.server.Addr(), Domain: "a", Kind: "k", Layers: firstHalf,
	})
	group := backend.NewGroup(twoCopies().Service(), []*backend.Server{first, second})
	h := plainHandler(tb, timer.NewReal())
	h.engines = newFakeEngineClient(group)
	route := &catalog.Route{Name: "r", Stream: true, MaxAttempts: 1, Timeout: testTimeout, Objective: testTimeout, PauseObjective: testTimeout}
	return frontWith(tb, groupHandler{handler: h, route: route, group: group, send: h.stream}).Addr().String(), server
}

// callWire opens a connection, sends bytes and returns the reader of what comes back.
func callWire(tb testing.TB, addr, request string) *bufio.Reader {
	c, err := net.Dial("tcp4", addr)
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = c.Close() })
	require.NoError(tb, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(c, request)
	require.NoError(tb, err)
	return bufio.NewReader(c)
}

// form returns a body of the type multipart/form-data.
func form(boundary, first string) string {
	return "--" + boundary + "\r\nContent-Disposition: form-data; name=\"z\"; filename=\"f\"\r\nContent-Type: application/pdf\r\n\r\n%PDF\r\n--" +
		boundary + "\r\ncontent-disposition:form-data;name=a\r\nContent-Type: text/plain; charset=utf-8\r\n\r\n" + first + "\r\n--" + boundary + "--\r\n"
}

// sized returns a request with a body that has a length.
func sized(start, headers, body string) string {
	return fmt.Sprintf("%s HTTP/1.1\r\n%s%sContent-Length: %d\r\n\r\n%s", start, wireHead, headers, len(body), body)
}

// chunked returns a request whose body comes in two chunks.
func chunked(start, headers, body string) string {
	half := len(body) / 2
	return fmt.Sprintf("%s HTTP/1.1\r\n%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;x=1\r\n%s\r\n0\r\nX-Late: 1\r\n\r\n",
		start, wireHead, headers, half, body[:half], len(body)-half, body[half:])
}

// bare returns a request without a body.
func bare(start, headers string) string { return start + " HTTP/1.1\r\n" + wireHead + headers + "\r\n" }

// requestCases are requests with what their servers get; for an empty one that is what was sent.
var requestCases = map[string]struct{ sent, want string }{
	"form":               {sent: sized("POST /a", "Content-Type: multipart/form-data; boundary=b\r\n", form("b", "1"))},
	"quoted boundary":    {sent: sized("POST /a", "Content-Type: multipart/form-data; boundary=\"b\"\r\n", form("b", "1"))},
	"capitals":           {sent: sized("PUT /a", "Content-Type: Multipart/Form-Data; Boundary=b\r\n", form("b", "1"))},
	"preamble":           {sent: sized("POST /a", "Content-Type: multipart/form-data; boundary=b\r\n", "text\r\n"+form("b", "1")+"more")},
	"form cut short":     {sent: sized("POST /a", "Content-Type: multipart/form-data; boundary=b\r\n", form("b", "1")[:70])},
	"no form":            {sent: sized("POST /a", "Content-Type: multipart/form-data; boundary=b\r\n", "{}")},
	"no boundary":        {sent: sized("POST /a", "Content-Type: multipart/form-data\r\n", form("b", "1"))},
	"empty form":         {sent: sized("POST /a", "Content-Type: multipart/form-data; boundary=b\r\n", "")},
	"coded form":         {sent: sized("POST /a", "Content-Encoding: gzip\r\nContent-Type: multipart/form-data; boundary=b\r\n", "\x1f\x8b")},
	"pairs":              {sent: sized("POST /a", "Content-Type: application/x-www-form-urlencoded\r\n", "b=2&a=1&&a=%20+")},
	"form in chunks":     {chunked("POST /a", "Content-Type: multipart/form-data; boundary=b\r\n", form("b", "1")), sized("POST /a", "Content-Type: multipart/form-data; boundary=b\r\n", form("b", "1"))},
	"chunks, trailer":    {chunked("POST /a", "Trailer: X-Late\r\n", "hello"), sized("POST /a", "", "hello")},
	"body of GET":        {sent: sized("GET /a", "", "hello")},
	"body of DELETE":     {sent: sized("DELETE /a", "", "hello")},
	"zeros":              {sent: sized("POST /a", "", "\x00\r\n\r\n\xff")},
	"POST, no body":      {sent: bare("POST /a", "")},
	"OPTIONS *":          {sent: bare("OPTIONS *", "")},
	"unknown method":     {sent: bare("PROPFIND /a", "")},
	"small letters":      {sent: bare("get /a", "")},
	"odd target":         {sent: bare("GET /a/../b//c/%2e%2E/%41;x?q=%20+&&y=\"\xc3\xa9\"#f", "")},
	"full target":        {sent: bare("GET http://h/a?b=c", "")},
	"cookies":            {sent: bare("GET /a", "Cookie: a=\"1\"; b=\r\nX-A: 1\r\nCookie: c=2;d\r\n")},
	"repeated":           {sent: bare("GET /a", "X-A: 1\r\nUser-Agent: u\r\nAccept: a, b\r\nX-A: 2\r\nAccept: c\r\nContent-Type: t\r\n")},
	"empty and high":     {sent: bare("GET /a", "X-A: \r\nX-B: \xc3\xa9\xff\r\n")},
	"two Connections":    {bare("GET /a", "Connection: X-A, keep-alive\r\nX-A: 1\r\nX-B: 1\r\nconnection: x-b\r\nX-C: 1\r\n"), bare("GET /a", "X-C: 1\r\n")},
	"Connection, close":  {bare("GET /a", "Connection: X-A\r\nX-A: 1\r\nConnection: close\r\nX-C: 1\r\n"), bare("GET /a", "X-C: 1\r\n")},
	"Connection, needed": {bare("GET /a", "Connection: "+fake.NeededNames+"\r\n"+fake.NeededLines), bare("GET /a", fake.NeededLines)},
	"one connection":     {bare("GET /a", "TE: trailers\r\nUpgrade: x\r\nKeep-Alive: 5\r\nProxy-Connection: x\r\nX-A: 1\r\n"), bare("GET /a", "X-A: 1\r\n")},
	"set by instances":   {bare("GET /a", fake.ReservedLines+"X-A: 1\r\n"), bare("GET /a", "X-A: 1\r\n")},
}

// TestARequestReachesItsServerAsItCame guards methods, targets, headers and bodies that are taken apart and written anew on their way.
func TestARequestReachesItsServerAsItCame(t *testing.T) {
	for kind, start := range map[string]func(testing.TB) (string, *wireServer){
		"plain":  func(tb testing.TB) (string, *wireServer) { return wirePlain(tb, wireAnswer, catalog.RetryNever) },
		"stream": func(tb testing.TB) (string, *wireServer) { return wireStream(tb, fake.StreamAnswer(onlyEvent)) },
	} {
		addr, server := start(t)
		for name, c := range requestCases {
			t.Run(kind+", "+name, func(t *testing.T) {
				want := c.want
				if want == "" {
					want = c.sent
				}
				resp, err := http.ReadResponse(callWire(t, addr, c.sent), nil)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				got := server.taken()
				require.Len(t, got, 1)
				require.Equal(t, want, pathHeader.ReplaceAllString(got[0], ""))
			})
		}
	}
}

// pathHeader is the header that an instance sets on each request for a stream.
var pathHeader = regexp.MustCompile(`(?m)^Path: .*\r\n`)

// TestAnAmbiguousRequestIsNotPassedOn guards against requests in which a server may see another id, body or request than the instance.
func TestAnAmbiguousRequestIsNotPassedOn(t *testing.T) {
	addr, server := wirePlain(t, wireAnswer, catalog.RetryNever)
	for name, sent := range map[string]string{
		"two ids":         bare("GET /a", "X-Request-Id: other\r\n"),
		"two hosts":       bare("GET /a", "Host: i\r\n"),
		"two lengths":     sized("POST /a", "Content-Length: 5\r\n", "hello"),
		"other encoding":  "POST /a HTTP/1.1\r\n" + wireHead + "Transfer-Encoding: identity\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"several lines":   bare("GET /a", "X-A: 1\r\n\tHost: i\r\nX-B: 1\r\n"),
		"length and that": sized("POST /a", "Transfer-Encoding: identity\r\n", "hello"),
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := http.ReadResponse(callWire(t, addr, sent), nil)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusBadRequest, resp.StatusCode)
			require.Empty(t, server.taken())
		})
	}
}

// TestARequestWithABadHeaderNameIsNotPassedOn guards against names in which a server may see another header than the instance.
func TestARequestWithABadHeaderNameIsNotPassedOn(t *testing.T) {
	addr, server := wirePlain(t, wireAnswer, catalog.RetryNever)
	names := []string{"X A", "Transfer Encoding", "Content Length", "X-A ", " X-A"}
	for b := range 256 {
		// The others end the name or its line, or may stand in one.
		if c := byte(b); c != ':' && c != '\r' && c != '\n' && !httphead.IsToken([]byte{c}) {
			names = append(names, "X"+string([]byte{c})+"A")
		}
	}
	for _, name := range names {
		resp, err := http.ReadResponse(callWire(t, addr, bare("GET /a", name+": 5\r\n")), nil)
		require.NoError(t, err, "%q", name)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusBadRequest, resp.StatusCode, "%q", name)
		require.Empty(t, server.taken(), "%q", name)
	}
}

// FuzzARequestReachesItsServerAsItCame is TestARequestReachesItsServerAsItCame for all that a careful client may send.
func FuzzARequestReachesItsServerAsItCame(f *testing.F) {
	f.Add("POST", "/a", "multipart/form-data; boundary=b", "Cookie", "a=\"1\"", form("b", "1"), true)
	f.Add("GET", "/a?b", "text/plain", "Accept-Language", "mn, ja;q=0.5", "", false)
	f.Add("DELETE", "/%2e//", "", "Accept", "", "body", true)
	f.Add("PATCH", "/a", "multipart/mixed; boundary=b", "If-None-Match", "\"\xff\"", "--b--", false)
	addr, server := wirePlain(f, wireAnswer, catalog.RetryAlways)
	// All requests come on one connection, and reach the server on one.
	conn, err := net.Dial("tcp4", addr)
	require.NoError(f, err)
	f.Cleanup(func() { _ = conn.Close() })
	back := bufio.NewReader(conn)
	token := regexp.MustCompile(`^[A-Za-z][A-Za-z-]*$`)
	// The server of the test takes no other escapes.
	target := regexp.MustCompile(`^/([[:alnum:]/?&=+.,;:!*~_-]|%[[:xdigit:]]{2})*$`)
	f.Fuzz(func(t *testing.T, method, path, kind, name, value, body string, inChunks bool) {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if !token.MatchString(method) || method == http.MethodHead || !target.MatchString(path) || !token.MatchString(name) || setElsewhere(name) ||
			!isValue(value) || !isValue(kind) || len(body) > 100<<10 || len(path)+len(value)+len(kind) > 2<<10 {
			t.Skip()
		}
		headers := fmt.Sprintf("X-Twice: 1\r\nContent-Type: %s\r\n%s: %s\r\nX-Twice: 2\r\n", kind, name, value)
		want, sent := sized(method+" "+path, headers, body), ""
		if sent = want; inChunks && len(body) > 1 {
			sent = chunked(method+" "+path, headers, body)
		}
		_, err := io.WriteString(conn, sent)
		require.NoError(t, err)
		resp, err := http.ReadResponse(back, nil)
		require.NoError(t, err)
		defer resp.Body.Close()
		answer, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode, string(answer))
		got := server.taken()
		require.Len(t, got, 1)
		require.Equal(t, want, got[0])
	})
}

// isValue reports whether a text is a header's value that no parser trims.
func isValue(text string) bool {
	return strings.TrimSpace(text) == text && !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// setElsewhere reports whether a header frames the body, concerns one connection, or is set or read by the instance.
func setElsewhere(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Te", "Trailer", "Upgrade", "Expect", "Transfer-Encoding", "Content-Length", "Host", "Path", "Priority",
		"Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Expect-Version", "Last-Event-Id", "Content-Type", "X-Twice":
		return true
	default:
		return strings.HasPrefix(name, "X-")
	}
}

// firstHalf and secondHalf are the layers of twoCopies.
var firstHalf, secondHalf = models.Layers{First: 0, End: 4}, models.Layers{First: 4, End: 8}
