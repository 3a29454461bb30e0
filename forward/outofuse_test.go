package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/models"
)

// TestTheReasonIsNotedFromTheFirstTickOnWhichItHolds lets a server change from one reason to another, and back into use.
func TestTheReasonIsNotedFromTheFirstTickOnWhichItHolds(t *testing.T) {
	s := backend.NewServer(backend.Entry{ID: "s", Service: "s", Addr: "127.0.0.1:1"})
	o, start := outOfUse{}, time.Unix(100, 0)
	since := func(after time.Duration) (backend.Reason, time.Duration) {
		now := start.Add(after)
		next := map[*backend.Server]notedReason{}
		o.noteLocked(next, s, 1, now)
		o.since = next
		out, _ := s.OutOfUse(1, now)
		return out.Reason, now.Sub(o.sinceOf(s, out, now))
	}
	s.SetAside(start.Add(2 * time.Second))
	reason, _ := since(0)
	require.Equal(t, backend.ReasonSetAside, reason)
	_, age := since(time.Second)
	require.Equal(t, time.Second, age)
	s.NoteStaleLayers(start.Add(time.Second))
	reason, age = since(1500 * time.Millisecond)
	require.Equal(t, backend.ReasonStaleLayers, reason)
	require.Zero(t, age)
	reason, _ = since(5 * time.Second)
	require.Empty(t, reason)
	require.Empty(t, o.since, "a server in use is forgotten")
	s.NoteLeaveNotice(start.Add(6 * time.Second))
	reason, age = since(9 * time.Second)
	require.Equal(t, backend.ReasonLeaving, reason)
	require.Equal(t, 3*time.Second, age, "the server itself keeps since when it leaves")
}

// BenchmarkNoteOutOfUse notes the servers of a fleet, a tenth of which is out of use.
func BenchmarkNoteOutOfUse(b *testing.B) {
	for _, n := range []int{99, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var o outOfUse
			var servers []*backend.Server
			now := time.Unix(100, 0)
			for i := range n {
				s := backend.NewServer(backend.Entry{ID: fmt.Sprint(i), Service: "s", Layers: models.Layers{End: 8}})
				if i%10 == 0 {
					s.SetAside(now.Add(time.Hour))
				}
				servers = append(servers, s)
			}
			for b.Loop() {
				next := map[*backend.Server]notedReason{}
				for _, s := range servers {
					o.noteLocked(next, s, 90, now)
				}
				o.since = next
			}
		})
	}
}
