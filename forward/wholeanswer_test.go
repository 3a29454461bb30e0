package forward

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/catalog"
	"junctioncross/front"
	"junctioncross/platform/fake"
)

// wholeFront serves requests whose answers are no streams along the servers of a group.
func wholeFront(t *testing.T, servers []*testServer, policy catalog.RetryPolicy) *front.Server {
	g := chainGroup(servers...)
	h := chainHandler(t, g)
	route := &catalog.Route{Name: "r", RetryPolicy: policy, MaxAttempts: 2, Timeout: time.Minute, Objective: 10 * time.Second}
	return frontWith(t, groupHandler{handler: h, route: route, group: g, send: h.serve})
}

// cutShort answers with a part of a body and closes the connection.
func cutShort(c net.Conn, _ int) {
	answer := fake.PlainAnswer("ok")
	_, _ = io.WriteString(c, answer[:len(answer)-1])
	_ = c.Close()
}

// TestAnEngineMayAnswerARequestThatIsNoStream guards against answers that are refused once they have run since they hold no events.
func TestAnEngineMayAnswerARequestThatIsNoStream(t *testing.T) {
	for name, c := range map[string]struct {
		first, second func(net.Conn, int)
		policy        catalog.RetryPolicy
		status        int
		body          string
		others        int
	}{
		"with a length":           {sealed, sealed, catalog.RetryNever, http.StatusOK, "ok", 0},
		"in chunks":               {writing(fake.StreamAnswer("ok")), sealed, catalog.RetryNever, http.StatusOK, "ok", 0},
		"without a marked end":    {ending, sealed, catalog.RetryNever, http.StatusOK, "first line\n", 0},
		"as events":               {writing(fake.StreamAnswer(onlyEvent)), sealed, catalog.RetryNever, http.StatusOK, onlyEvent, 0},
		"not found":               {writing(fake.PlainFailure("404 Not Found")), sealed, catalog.RetryAlways, http.StatusNotFound, "", 0},
		"cut, may run once":       {cutShort, sealed, catalog.RetryNever, http.StatusBadGateway, "broken_answer: may have run\n", 0},
		"cut, may run repeatedly": {cutShort, sealed, catalog.RetryAlways, http.StatusOK, "ok", 1},
	} {
		t.Run(name, func(t *testing.T) {
			first, other := newTestServer(t, "1", c.first), newTestServer(t, "2", c.second)
			status, body := readBody(t, callFront(t, wholeFront(t, []*testServer{first, other}, c.policy), "1"))
			require.Equal(t, c.status, status)
			require.Equal(t, c.body, body)
			require.Equal(t, 1, requestCount([]*testServer{first}))
			require.Equal(t, c.others, requestCount([]*testServer{other}))
		})
	}
}
