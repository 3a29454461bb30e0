package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUpdatesDoNotMakeRelaysRefuse accepts a configuration at each part of a relay's wait for updates, without any fault.
// Once all instances have started, only the relays may ask the store.
func TestUpdatesDoNotMakeRelaysRefuse(t *testing.T) {
	members := instances(3, 24)
	d := day{length: 30 * time.Second, promise: promise}
	for at := settled; at < d.length; at += 1370 * time.Millisecond {
		d.accepted = append(d.accepted, at)
	}
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(members, d)
		p.turn()
		time.Sleep(settled - time.Millisecond)
		p.forget()
		require.Empty(t, p.run())
		for i, s := range members {
			if upstreams := waysOf(s.Name, s.Domain, members); !upstreams[0].direct() {
				require.Zero(t, p.calls[i], s.Name)
			}
		}
	})
}
