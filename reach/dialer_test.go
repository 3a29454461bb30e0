package reach

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/metrics"
	"junctioncross/testlog"
	"junctioncross/timer"
	"junctioncross/tunnel"
)

// fakeWay opens connections or fails; while it hangs, Dial waits until its context ends.
type fakeWay struct {
	backend.DirectDialer

	mu    sync.Mutex
	err   error
	hangs bool
	dials int
}

func (w *fakeWay) Dial(ctx context.Context, _ backend.Endpoint) (net.Conn, error) {
	w.mu.Lock()
	w.dials++
	err, hangs := w.err, w.hangs
	w.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	near, _ := net.Pipe()
	return near, nil
}

func (w *fakeWay) set(err error, hangs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err, w.hangs = err, hangs
}

func (w *fakeWay) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dials
}

type dialerTest struct {
	*Dialer
	direct, tunnels *fakeWay
	clock           *clockwork.FakeClock
	changes         chan backend.PathChange
}

func newDialerTest(t *testing.T) *dialerTest {
	d := &dialerTest{direct: &fakeWay{}, tunnels: &fakeWay{}, clock: clockwork.NewFakeClock(), changes: make(chan backend.PathChange, 100)}
	d.Dialer = New(t.Context(), d.direct, d.tunnels, d, timer.New(d.clock), metrics.New(), testlog.New(t))
	d.Observe(func(c backend.PathChange) { d.changes <- c })
	return d
}

// ServerAt implements Servers.
func (*dialerTest) ServerAt(addr string) *backend.Server {
	return backend.NewServer(backend.Entry{ID: addr, Addr: addr, Domain: "a"})
}

// OthersLike implements Servers.
func (*dialerTest) OthersLike(_ *backend.Server, n int) []*backend.Server {
	var out []*backend.Server
	for k := range n {
		out = append(out, backend.NewServer(backend.Entry{ID: "other", Addr: string(rune('x' + k)), Domain: "a"}))
	}
	return out
}

// dial opens a connection while time passes.
func (d *dialerTest) dial(t *testing.T, addr string) error {
	done := make(chan error, 1)
	go func() {
		_, err := d.Dial(t.Context(), backend.Endpoint{Addr: addr})
		done <- err
	}()
	for {
		select {
		case err := <-done:
			return err
		case <-time.After(time.Millisecond):
			d.clock.Advance(hedgeDelay / 4)
		}
	}
}

func TestAServerWithinReachNeedsNoTunnel(t *testing.T) {
	d := newDialerTest(t)
	require.NoError(t, d.dial(t, "a"))
	require.Zero(t, d.tunnels.count())
	require.False(t, d.Lost("a"))
}

func TestARefusedServerIsReachedThroughAnotherInstanceAndThenFirst(t *testing.T) {
	d := newDialerTest(t)
	d.direct.set(syscall.ECONNREFUSED, false)
	require.NoError(t, d.dial(t, "a"))
	require.Equal(t, backend.PathLost{Addr: "a"}, <-d.changes)
	dials := d.direct.count()
	require.NoError(t, d.dial(t, "a"))
	require.LessOrEqual(t, d.direct.count()-dials, 1, "only a probe may use the own links")
}

func TestASilentPathIsFoundToBeLostAfterTheTunnelIsUp(t *testing.T) {
	d := newDialerTest(t)
	d.direct.set(nil, true)
	require.NoError(t, d.dial(t, "a"))
	require.Eventually(t, func() bool {
		d.clock.Advance(lostDelay)
		return d.Lost("a")
	}, time.Minute, time.Millisecond)
}

func TestALostPathIsProbedAndUsedAgain(t *testing.T) {
	d := newDialerTest(t)
	d.direct.set(syscall.ECONNREFUSED, false)
	for _, addr := range []string{"a", "b", "c", "d"} {
		require.NoError(t, d.dial(t, addr))
		require.Eventually(t, func() bool { return d.Lost(addr) }, time.Minute, time.Millisecond)
	}
	d.direct.set(nil, false)
	require.Eventually(t, func() bool {
		d.clock.Advance(probePeriod)
		return !d.Lost("a") && !d.Lost("d")
	}, time.Minute, time.Millisecond, "one path that is back says that all may be")
	tunnels := d.tunnels.count()
	require.NoError(t, d.dial(t, "b"))
	require.Equal(t, tunnels, d.tunnels.count())
}

// TestARefusalOfACutPathEndsNoServer guards against servers that count as ended since a path refuses connections.
func TestARefusalOfACutPathEndsNoServer(t *testing.T) {
	d := newDialerTest(t)
	d.direct.set(syscall.ECONNREFUSED, false)
	for err, ended := range map[error]bool{tunnel.ErrNotListening: true, tunnel.ErrUnreachable: false, tunnel.ErrNoPath: false, tunnel.ErrNoPeer: true} {
		d.tunnels.set(err, false)
		require.Equal(t, ended, errors.Is(d.dial(t, err.Error()), syscall.ECONNREFUSED), err)
		require.Empty(t, d.changes)
	}
	d.direct.set(syscall.ETIMEDOUT, false)
	d.tunnels.set(tunnel.ErrNotListening, false)
	require.ErrorIs(t, d.dial(t, "silent here"), syscall.ECONNREFUSED, "another instance found that nothing listens")
}

func TestOtherInstancesAreNotAskedAgainAtOnceForAServerThatTheyDoNotReach(t *testing.T) {
	d := newDialerTest(t)
	d.direct.set(syscall.EHOSTUNREACH, false)
	d.tunnels.set(tunnel.ErrUnreachable, false)
	require.Error(t, d.dial(t, "a"))
	require.Error(t, d.dial(t, "a"))
	require.Equal(t, 1, d.tunnels.count())
	d.clock.Advance(hopelessTime)
	require.Error(t, d.dial(t, "a"))
	require.Equal(t, 2, d.tunnels.count())
}

func TestACallerThatLeavesEndsTheAttempt(t *testing.T) {
	d := newDialerTest(t)
	d.direct.set(nil, true)
	d.tunnels.set(nil, true)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := d.Dial(ctx, backend.Endpoint{Addr: "a"})
	require.ErrorIs(t, err, context.Canceled)
	require.False(t, d.Lost("a"))
}

// TestASilentServerIsToldApartFromAMissingPath guards against servers that count as ended since this instance reaches none.
func TestASilentServerIsToldApartFromAMissingPath(t *testing.T) {
	d := newDialerTest(t)
	silent := backend.NewServer(backend.Entry{ID: "silent", Addr: "s", Domain: "a"})
	require.True(t, d.ReachesOthersLike(silent))
	d.direct.set(syscall.EHOSTUNREACH, false)
	require.True(t, d.ReachesOthersLike(silent), "nothing is tried again at once")
	d.clock.Advance(vouchTime + time.Millisecond)
	require.False(t, d.ReachesOthersLike(silent))
}

// TestARefusalStaysUnconfirmedWhileNobodyIsAsked guards against servers that count as ended at the second connection that a cut path
// refuses, for which no other instance is asked again.
func TestARefusalStaysUnconfirmedWhileNobodyIsAsked(t *testing.T) {
	d := newDialerTest(t)
	d.direct.set(syscall.ECONNREFUSED, false)
	d.tunnels.set(tunnel.ErrUnreachable, false)
	for range 3 {
		require.NotErrorIs(t, d.dial(t, "a"), syscall.ECONNREFUSED)
	}
	d.tunnels.set(tunnel.ErrNotListening, false)
	for range 3 {
		require.ErrorIs(t, d.dial(t, "b"), syscall.ECONNREFUSED)
	}
}

// TestAnOutageOfADomainIsNotAskedAboutAtEachConnection guards against instances that flood each other while a domain is cut off.
func TestAnOutageOfADomainIsNotAskedAboutAtEachConnection(t *testing.T) {
	d := newDialerTest(t)
	d.direct.set(syscall.EHOSTUNREACH, false)
	d.tunnels.set(tunnel.ErrNoPath, false)
	for n := range 40 {
		require.Error(t, d.dial(t, string(rune('a'+n))))
	}
	require.LessOrEqual(t, d.tunnels.count(), 2*minServers)
	d.direct.set(nil, false)
	require.NoError(t, d.dial(t, "a"))
	d.direct.set(syscall.EHOSTUNREACH, false)
	d.tunnels.set(nil, false)
	require.NoError(t, d.dial(t, "z"), "the domain was reached in between")
}
