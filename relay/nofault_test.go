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
	d := scenario{length: 30 * time.Second, applyDeadline: applyDeadline}
	for at := warmUpTime; at < d.length; at += 1370 * time.Millisecond {
		d.acceptedAt = append(d.acceptedAt, at)
	}
	synctest.Test(t, func(t *testing.T) {
		p := newSimulation(members, d)
		p.advance()
		time.Sleep(warmUpTime - time.Millisecond)
		p.resetCalls()
		require.Empty(t, p.run())
		for i, s := range members {
			if upstreams := upstreamsOf(s.Name, s.Domain, members); !upstreams[0].direct() {
				require.Zero(t, p.calls[i], s.Name)
			}
		}
	})
}
