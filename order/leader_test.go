package order

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/engine"
	"junctioncross/kv"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/standin"
	"junctioncross/testlog"
	"junctioncross/timer"
)

// oneServer is a Fleet with one server, which serves another version than it should.
type oneServer struct {
	addr   string
	moving []string
}

// ShouldLead implements Fleet.
func (*oneServer) ShouldLead() bool { return true }

// Targets implements Fleet.
func (f *oneServer) Targets() []Target {
	return []Target{{Name: "s", Addr: f.addr, Model: "m", Version: "v2", Layers: models.Layers{First: 0, End: 4}, Total: 4}}
}

// Seen implements Fleet.
func (*oneServer) Seen() map[string]Seen {
	return map[string]Seen{"s": {State: engine.StateReady, Model: "m", Version: "v1", Layers: models.Layers{First: 0, End: 4}}}
}

// SetMoving implements Fleet.
func (f *oneServer) SetMoving(names []string) { f.moving = names }

// listen returns the address of a server that closes each connection at once, and the number of its connections so far.
func listen(t *testing.T) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var calls atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			calls.Add(1)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String(), &calls
}

// TestDrainBeginsAnewAfterTheLeaseIsLost drains a server, loses the lease to another instance and gets it back: the drain must
// be withdrawn meanwhile, and the server must not be called before the domain has had time to learn of the second one.
func TestDrainBeginsAnewAfterTheLeaseIsLost(t *testing.T) {
	clock := clockwork.NewFakeClock()
	keys := standin.NewLocalKV(standin.NewKV(clock.Now), 1, 0, 0)
	addr, calls := listen(t)
	fleet := &oneServer{addr: addr}
	l := &Leader{
		fleet: fleet, lease: NewLease(keys, timer.New(clock), "d", "a"), engines: engine.NewClient(), clock: timer.New(clock),
		stats: metrics.New(), log: testlog.New(t), moving: map[string]time.Time{},
	}
	l.Step(t.Context())
	require.Equal(t, []string{"s"}, fleet.moving)
	clock.Advance(leaseTTL + time.Millisecond)
	_, err := keys.Write(t.Context(), kv.Put{Key: prefixLease + "d", Value: []byte("b"), TTL: leaseTTL})
	require.NoError(t, err)
	l.Step(t.Context())
	require.False(t, l.Leads())
	require.Empty(t, fleet.moving, "the drain is withdrawn")
	clock.Advance(leaseTTL + time.Millisecond)
	for range 2 {
		l.Step(t.Context())
		clock.Advance(Period)
	}
	require.True(t, l.Leads())
	require.Equal(t, []string{"s"}, fleet.moving)
	require.Zero(t, calls.Load(), "the second drain has just begun")
	for elapsed := 2 * Period; elapsed <= propagationTime; elapsed += Period {
		l.Step(t.Context())
		clock.Advance(Period)
	}
	l.Step(t.Context())
	require.NotZero(t, calls.Load(), "the server is asked whether it is idle")
}
