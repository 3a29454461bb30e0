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
