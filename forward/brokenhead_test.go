package forward

import (
	"io"
	"net"
	"net/http"
	"testing"

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
