package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOneServerOutOfReachIsNotAllServers(t *testing.T) {
	b, now := NewBook(), time.Unix(0, 0)
	b.Failed("a", now)
	require.Equal(t, Summary{Tried: 1, OutOfReach: 1}, b.Summary(now))
	require.False(t, b.Summary(now).All())
}

func TestAllServersAreOutOfReachUntilOneConnects(t *testing.T) {
	b, now := NewBook(), time.Unix(0, 0)
	for n := range 5 {
		b.Connected(fmt.Sprint(n), now)
		b.Failed(fmt.Sprint(n), now.Add(time.Millisecond))
	}
	now = now.Add(time.Second)
	require.True(t, b.Summary(now).All())
	b.Connected("3", now)
	require.Equal(t, Summary{Tried: 5, OutOfReach: 4}, b.Summary(now))
	require.False(t, b.Summary(now).All())
	require.Equal(t, Summary{}, b.Summary(now.Add(2*window)), "attempts of long ago count no more")
}

func TestManyLostPathsMakeOthersBeTriedOnBothWays(t *testing.T) {
	b, now := NewBook(), time.Unix(0, 0)
	require.Equal(t, OwnLinks, b.Route("new", now))
	for _, addr := range []string{"a", "b", "c"} {
		require.True(t, b.NoteLost(addr, now, now))
		require.False(t, b.NoteLost(addr, now, now), "it is known")
	}
	b.Connected("works", now)
	require.Equal(t, Both, b.Route("new", now))
	require.Equal(t, OtherInstance, b.Route("a", now))
	require.Equal(t, OwnLinks, b.Route("works", now), "a part of the servers may be within reach")
	require.True(t, b.Connected("a", now))
	require.Equal(t, OwnLinks, b.Route("b", now))
}

func TestAPartOfManyServersThatIsLostSaysNothingOfOthers(t *testing.T) {
	b, now := NewBook(), time.Unix(0, 0)
	for n := range 10 {
		b.Connected(fmt.Sprint(n), now)
	}
	for _, addr := range []string{"0", "1", "2", "3"} {
		b.NoteLost(addr, now, now)
	}
	require.Equal(t, OwnLinks, b.Route("new", now))
	require.Equal(t, OtherInstance, b.Route("2", now))
}
