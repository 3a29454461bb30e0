package order_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/engine"
	"junctioncross/models"
	"junctioncross/order"
	"junctioncross/standin"
	"junctioncross/timer"
)

// TestLeaseHasAtMostOneHolder lets two instances take, renew and abandon the lease of one domain while calls and answers are
// lost and time passes between them.
func TestLeaseHasAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		keys := standin.NewKV(clock.Now)
		faulty := standin.NewLocalKV(keys, rapid.Uint64().Draw(t, "seed"), 0.2, 0.3)
		leases := []*order.Lease{
			order.NewLease(faulty, timer.New(clock), "d", "a"), order.NewLease(faulty, timer.New(clock), "d", "b"),
		}
		var highest uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "instance")
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1, 2:
				_ = leases[i].AcquireOrRenew(t.Context())
			case 3:
				leases[i].Abandon()
			default:
				clock.Advance(time.Duration(rapid.IntRange(100, 4000).Draw(t, "pause")) * time.Millisecond)
			}
			a, _, heldA := leases[0].Held()
			b, _, heldB := leases[1].Held()
			require.False(t, heldA && heldB, "both hold the lease")
			require.True(t, !heldA && !heldB || max(a, b) >= highest, "the fence went back")
			highest = max(highest, a, b)
		}
	})
}

func TestDecide(t *testing.T) {
	half := models.Layers{First: 0, End: 4}
	target := func(name string) order.Target {
		return order.Target{Name: name, Model: "m", Version: "v2", Layers: half, Total: 8}
	}
	old := order.Seen{State: engine.StateReady, Model: "m", Version: "v1", Layers: half}
	tests := []struct {
		name  string
		seen  order.Seen
		send  int
		drain int
	}{
		{"empty", order.Seen{State: engine.StateEmpty}, 1, 0},
		{"serves another version", old, 0, 1},
		{"has what it should", order.Seen{State: engine.StateReady, Model: "m", Version: "v2", Layers: half}, 0, 0},
		{"loads what it should", order.Seen{State: engine.StateLoading, Model: "m", Version: "v2", Layers: half}, 0, 0},
		{"silent", order.Seen{Silent: true, State: engine.StateEmpty}, 0, 0},
		{"leaves", order.Seen{Leaving: true, State: engine.StateEmpty}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := order.Decide([]order.Target{target("s")}, map[string]order.Seen{"s": tt.seen}, 2)
			require.Len(t, d.Send, tt.send)
			require.Len(t, d.Drain, tt.drain)
		})
	}
	many := []order.Target{target("s3"), target("s1"), target("s2")}
	d := order.Decide(many, map[string]order.Seen{"s1": old, "s2": old, "s3": old}, 2)
	require.Equal(t, []string{"s1", "s2"}, []string{d.Drain[0].Name, d.Drain[1].Name})
	require.Len(t, d.Drain, 2)
}
