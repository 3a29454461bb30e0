package reach

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// tunnelsThen are tunnels at whose opening something happens.
type tunnelsThen struct {
	Tunnels
	then func()
}

// Dial implements Tunnels.
func (t tunnelsThen) Dial(ctx context.Context, to backend.Endpoint) (net.Conn, error) {
	t.then()
	return t.Tunnels.Dial(ctx, to)
}

// onTunnel has the own links change when a tunnel comes up.
func (d *dialerTest) onTunnel(err error, hangs bool) {
	d.Dialer.tunnels = tunnelsThen{Tunnels: d.tunnels, then: func() { d.direct.set(err, hangs) }}
}

// neverLost checks that a path does not become lost while much more time passes than it takes to find that out.
func (d *dialerTest) neverLost(t *testing.T, addr string) {
	for range 40 {
		d.clock.Advance(lostDelay / 4)
		time.Sleep(time.Millisecond)
		require.False(t, d.Lost(addr))
	}
	require.Empty(t, d.changes)
}

// TestAServerThatWasSilentForAllLosesNoPath guards against first attempts whose packets were dropped in the silence and come again only later.
func TestAServerThatWasSilentForAllLosesNoPath(t *testing.T) {
	d := newDialerTest(t)
	d.direct.set(nil, true)
	d.onTunnel(nil, false)
	require.NoError(t, d.dial(t, "a"))
	d.neverLost(t, "a")
}

// TestAnAttemptThatFailedBeforeTheTunnelWasUpLosesNoPath guards against errors of a server that was out of reach for all until just then.
func TestAnAttemptThatFailedBeforeTheTunnelWasUpLosesNoPath(t *testing.T) {
	for _, err := range []error{syscall.ETIMEDOUT, syscall.ECONNREFUSED, syscall.EHOSTUNREACH} {
		d := newDialerTest(t)
		d.direct.set(err, false)
		d.onTunnel(nil, false)
		require.NoError(t, d.dial(t, "a"))
		d.neverLost(t, "a")
	}
}

// TestAPathThatIsReallyLostIsFoundInTime guards against cut-off instances that wait longer than before for what they know.
func TestAPathThatIsReallyLostIsFoundInTime(t *testing.T) {
	for _, err := range []error{syscall.ECONNREFUSED, syscall.EHOSTUNREACH} {
		d := newDialerTest(t)
		d.direct.set(err, false)
		require.NoError(t, d.dial(t, "refused"))
		require.Eventually(t, func() bool { return d.Lost("refused") }, time.Minute, time.Millisecond, "the clock stands still")
	}
	for name, first := range map[string]error{"silent": nil, "given up": syscall.ETIMEDOUT} {
		d := newDialerTest(t)
		d.direct.set(first, first == nil)
		d.onTunnel(nil, true)
		require.NoError(t, d.dial(t, name))
		require.Eventually(t, func() bool { return d.direct.count() == 2 }, time.Minute, time.Millisecond, "a second connection is tried")
		d.clock.Advance(lostDelay)
		require.Eventually(t, func() bool { return d.Lost(name) }, time.Minute, time.Millisecond, "the clock stands still")
	}
}

// TestAConnectionThatCameUpMeanwhileRefutesALostPath guards against one late connection that outweighs others of the same time.
func TestAConnectionThatCameUpMeanwhileRefutesALostPath(t *testing.T) {
	b, begun := NewBook(), time.Unix(0, 0)
	b.Connected("a", begun.Add(time.Millisecond))
	require.False(t, b.NoteLost("a", begun, begun.Add(lostDelay)))
	require.False(t, b.Lost("a"))
	require.True(t, b.NoteLost("a", begun.Add(lostDelay), begun.Add(2*lostDelay)))
	require.True(t, b.Lost("a"))
}
