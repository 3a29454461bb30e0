package forward

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/follow"
	"junctioncross/platform/fake"
)

// TestAPlainRequestIsAnsweredWhateverAConfigurationChangesMeanwhile guards against requests that are lost since their service, route or
// account is not configured any more. Their server answers, or breaks and another one takes its place.
func TestAPlainRequestIsAnsweredWhateverAConfigurationChangesMeanwhile(t *testing.T) {
	play := func(t *testing.T, change func(*catalog.Content), harm func(c *configured, begun int), breaks bool) {
		t.Parallel()
		changed, begun := make(chan struct{}), make(chan int, 1)
		var runs atomic.Int64
		serve := func(n int) func(net.Conn, int) {
			return func(conn net.Conn, _ int) {
				if runs.Add(1) == 1 {
					begun <- n
					<-changed
					if breaks {
						_ = conn.Close()
						return
					}
				}
				_, _ = io.WriteString(conn, fake.PlainAnswer("ok"))
			}
		}
		var entries []backend.Entry
		for n, ts := range []*testServer{newTestServer(t, "1", serve(0)), newTestServer(t, "2", serve(1))} {
			entries = append(entries, backend.Entry{
				ID: ts.server.ID(), Service: configuredService, Addr: ts.server.Addr(), Domain: "a", Slots: 4, Revision: int64(n + 1),
			})
		}
		c := startConfigured(t, usualContent(nil), nil, entries)
		caller := callFrontWith(t, c.front, "1", fake.KeyHeader(callerKey))
		first := <-begun
		c.configure(change)
		harm(c, first)
		close(changed)
		require.Equal(t, http.StatusOK, readStatus(t, caller))
	}
	harms := map[string]func(c *configured, begun int){
		"answers": func(*configured, int) {},
		"leaves":  func(c *configured, begun int) { c.write(begun, func(e *backend.Entry) { e.Leaving = true }) },
		"is described anew": func(c *configured, begun int) {
			c.write(begun, func(e *backend.Entry) { e.Slots, e.Service = 9, otherService })
		},
		"has no entry any more": func(c *configured, begun int) {
			c.source.changes[follow.FeedServers] <- follow.ServerGone{ID: c.entries[begun].ID}
		},
	}
	for _, changes := range []map[string]func(*catalog.Content){configChanges, serviceChanges} {
		for change, apply := range changes {
			for harm, do := range harms {
				t.Run(change+", server "+harm, func(t *testing.T) { play(t, apply, do, false) })
				t.Run(change+", server "+harm+" and breaks", func(t *testing.T) { play(t, apply, do, true) })
			}
		}
	}
}
