package leader

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/models"
)

// unlikeKinds is a domain of servers that hold a little more than one copy of the model.
func unlikeKinds() []string {
	return []string{"mid", "mid", "small", "small", "small", "small", "tiny", "tiny", "tiny", "tiny", "tiny", "tiny", "tiny"}
}

// placedFleet returns a fleet whose servers hold whole copies, and its leader.
func placedFleet(t *testing.T, domains ...string) (*fakeFleet, *serviceTerm) {
	f := newFakeFleet(domains, unlikeKinds()...)
	leader := f.newLeader(t)
	f.rounds(t, leader, 12*time.Second)
	for domain, missing := range f.missing() {
		require.Zero(t, missing, domain)
	}
	require.Zero(t, f.refused)
	require.Equal(t, len(f.servers), f.given, "each server gets one order")
	f.gap = 0
	return f, leader
}

// TestNewLeaderGivesNoOrderThatIsRefused lets servers crash for good after another instance has taken over from the leader
// that gave all orders so far.
func TestNewLeaderGivesNoOrderThatIsRefused(t *testing.T) {
	f, _ := placedFleet(t, "a")
	leader := f.newLeader(t)
	f.rounds(t, leader, time.Second)
	f.crash(f.soleHolder())
	f.rounds(t, leader, 20*time.Second)
	require.Zero(t, f.missing()["a"])
	require.Zero(t, f.refused)
}

// TestNewLeaderWaitsForOrdersOfTheFormerOne takes over while servers load what the former leader ordered.
func TestNewLeaderWaitsForOrdersOfTheFormerOne(t *testing.T) {
	f, leader := placedFleet(t, "a")
	f.crash(f.soleHolder())
	before := f.given
	f.rounds(t, leader, expiry)
	for range 20 {
		if f.given == before {
			f.rounds(t, leader, roundPeriod)
		}
	}
	require.Greater(t, f.given, before)
	leader = f.newLeader(t)
	f.rounds(t, leader, 20*time.Second)
	require.Zero(t, f.missing()["a"])
	require.Zero(t, f.refused)
}

// TestServersThatComeBackListedAreOrderedByTheirOwnCount takes the entries of a domain away for a while, and lets a server
// crash when they are back.
func TestServersThatComeBackListedAreOrderedByTheirOwnCount(t *testing.T) {
	f, leader := placedFleet(t, "a", "b")
	for _, s := range f.servers[:len(unlikeKinds())] {
		s.unlisted = true
	}
	f.rounds(t, leader, 2*time.Second)
	for _, s := range f.servers {
		s.unlisted = false
	}
	f.rounds(t, leader, 6*time.Second)
	f.crash(f.soleHolder())
	f.rounds(t, leader, 20*time.Second)
	require.Zero(t, f.missing()["a"])
	require.Zero(t, f.refused)
}

// TestServerThatIsBusyBehindItsEntryIsNotOrdered loses a server while all others still wait for streams through layers that
// they have dropped: their entries show the new layers, but they refuse orders.
func TestServerThatIsBusyBehindItsEntryIsNotOrdered(t *testing.T) {
	f, leader := placedFleet(t, "a")
	for _, s := range f.servers {
		s.draining = f.clock.Now().Add(8 * time.Second)
	}
	f.crash(f.soleHolder())
	f.rounds(t, leader, 25*time.Second)
	require.Zero(t, f.missing()["a"])
	require.Zero(t, f.refused)
}

// TestDeadServerThatIsStillListedGetsNoOrders restarts a server that crashes again before it has got layers, and whose entry stays.
func TestDeadServerThatIsStillListedGetsNoOrders(t *testing.T) {
	f, leader := placedFleet(t, "a")
	s := f.soleHolder()
	f.crash(s)
	f.rounds(t, leader, time.Second)
	f.restart(s)
	f.crash(s)
	f.rounds(t, leader, 20*time.Second)
	require.Zero(t, f.unanswered)
	require.Zero(t, f.missing()["a"])
}

// TestOrderIsNotBasedOnAnOldEntry moves a server behind the leader's back: the leader must not order it by its entry, which still
// shows what it held before.
func TestOrderIsNotBasedOnAnOldEntry(t *testing.T) {
	f, _ := placedFleet(t, "a")
	leader := f.newLeader(t)
	for _, s := range f.servers {
		s.changedAt = f.clock.Now().Add(time.Hour)
		s.holds = models.Layers{First: s.holds.First, End: s.holds.End - 1}
	}
	f.crash(f.soleHolder())
	f.rounds(t, leader, 10*time.Second)
	require.Equal(t, len(f.servers), f.given, "no orders beyond the first ones")
}

// TestFewOrdersWhileServersCrashAndComeBack lets three servers of a domain crash at once and come back empty one after the other,
// in each of three domains in turn.
func TestFewOrdersWhileServersCrashAndComeBack(t *testing.T) {
	f, leader := placedFleet(t, "a", "b", "c")
	random := rand.New(rand.NewPCG(1, 2))
	const crashes, atOnce = 8, 3
	members := len(unlikeKinds())
	before := f.given
	for n := range crashes {
		var lost []*fakeServer
		for _, i := range random.Perm(members)[:atOnce] {
			lost = append(lost, f.servers[n%3*members+i])
			f.crash(lost[len(lost)-1])
		}
		for _, s := range lost {
			f.rounds(t, leader, time.Duration(5+random.IntN(4))*time.Second)
			f.restart(s)
		}
		f.rounds(t, leader, 5*time.Second)
	}
	f.rounds(t, leader, 20*time.Second)
	t.Logf("orders %d, refused %d, rounds with a hole %d, reports %d", f.given-before, f.refused, f.gap, f.reports)
	require.LessOrEqual(t, f.given-before, 75)
	require.LessOrEqual(t, f.gap, 334, "holes are closed as soon as before")
	for domain, missing := range f.missing() {
		require.Zero(t, missing, domain)
	}
	require.Zero(t, f.refused)
}

// TestOrdersAreCountedByReason loses a server and counts the orders that follow, by reason and in all.
func TestOrdersAreCountedByReason(t *testing.T) {
	f, leader := placedFleet(t, "a")
	count := func(name string) int64 { return leader.leader.stats.Counter("orders_" + name + "total").Count() }
	require.EqualValues(t, len(f.servers), count("fill_"))
	f.crash(f.soleHolder())
	f.rounds(t, leader, 20*time.Second)
	require.Positive(t, count("move_")+count("retile_"))
	require.Equal(t, count(""), count("fill_")+count("replace_")+count("move_")+count("retile_"))
	require.Zero(t, count("refused_"))
}

// TestReportsThatCannotBeReadKeepNoOrderBack loses a server while no report can be read.
func TestReportsThatCannotBeReadKeepNoOrderBack(t *testing.T) {
	f, leader := placedFleet(t, "a")
	f.garbled = true
	f.crash(f.soleHolder())
	f.rounds(t, leader, 20*time.Second)
	require.Zero(t, f.missing()["a"])
}
