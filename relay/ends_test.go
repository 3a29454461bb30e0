package relay_test

import (
	"fmt"
	"sync"
	"testing"

	"junctioncross/follow"
	"junctioncross/quarantine"
	"junctioncross/relay"
)

// noEnds is the relay.Ends of an instance that has seen no server terminate.
type noEnds struct{}

// Unpublished implements relay.Ends.
func (noEnds) Unpublished() []quarantine.End { return nil }

// Adopt implements relay.Ends.
func (noEnds) Adopt([]quarantine.End) {}

// fakeEnds is the relay.Ends of an instance that cannot write to the store; it records what it adopts.
type fakeEnds struct {
	mu          sync.Mutex
	unpublished []quarantine.End
	adopted     []quarantine.End
}

// Unpublished implements relay.Ends.
func (e *fakeEnds) Unpublished() []quarantine.End {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unpublished
}

// Adopt implements relay.Ends.
func (e *fakeEnds) Adopt(ends []quarantine.End) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.adopted = append(e.adopted, ends...)
}

func (e *fakeEnds) has(one quarantine.End) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.adopted {
		if other == one {
			return true
		}
	}
	return false
}

// TestEndsReadByOneRelayReachAllInstances also stops the relay, after which the other instances still learn of new ends.
func TestEndsReadByOneRelayReachAllInstances(t *testing.T) {
	s := newStore()
	all := run(t, s, 4)
	soon(t, func() bool { return all[0].Direct() && !all[3].Direct() })
	for n := range 3 {
		s.putEnd(fmt.Sprint("end-", n))
		for _, i := range all {
			soon(t, func() bool { return i.hasEnds(n + 1) })
		}
	}
	all[0].Stop()
	all[0].stop()
	s.putEnd("end-3")
	for _, i := range all[1:] {
		soon(t, func() bool { return i.hasEnds(4) })
	}
}

// TestInstanceRejectedByTheStorePassesItsEndsToAnother lets the store be silent to the last of three instances from the
// start.
func TestInstanceRejectedByTheStorePassesItsEndsToAnother(t *testing.T) {
	s := newStore()
	one := quarantine.NewEnd(quarantine.FingerprintOf(nil, []byte("/a"), "", nil), "server", "attempt")
	ends := map[string]*fakeEnds{"i-0": {}, "i-1": {}, "i-2": {unpublished: []quarantine.End{one}}}
	s.silence("i-2", true)
	runWith(t, 3, func(int) string { return "east" }, func(caller string) relay.Store { return view{store: s, caller: caller} },
		func(string) relay.SharedReports { return follow.NewFleetView() }, func(caller string) relay.Ends { return ends[caller] })
	soon(t, func() bool { return ends["i-0"].has(one) || ends["i-1"].has(one) })
}

func (i *instance) hasEnds(n int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ends == n
}
