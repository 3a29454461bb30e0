package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/follow"
	"junctioncross/membership"
)

// TestRejectedInstancesGetUpdatesFromDirectPeers uses a store that rejects a third of the instances for 8 s, the relays and
// the standby relays among them. An instance accepts keys while the last confirmation of its configuration is at most 3.6 s
// old, where a revoked key may be accepted for 5 s. From 4 s on, when the rejected instances have found those that the store
// serves, each instance must meet the 3.6 s; before that its confirmation must be less than 5 s old. Without referrals,
// rejected instances had no confirmation since the outage began.
func TestRejectedInstancesGetUpdatesFromDirectPeers(t *testing.T) {
	for name, members := range map[string][]membership.Instance{"with relays": instances(3, 24), "without": instances(2, 4)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRejectedInstances(t, members) })
		})
	}
}

func checkRejectedInstances(t *testing.T, members []membership.Instance) {
	const (
		outage          = 8 * time.Second
		maxKeysAge      = 3600 * time.Millisecond
		revocationLimit = 5 * time.Second
		foundAfter      = 4 * time.Second
		interval        = 200 * time.Millisecond
	)
	f := fault{access: refused, from: warmUpTime, until: warmUpTime + outage, affected: make([]bool, len(members))}
	for i, m := range members {
		upstreams := upstreamsOf(m.Name, m.Domain, members)
		early := upstreams[0].direct() || upstreams[1].direct()
		f.affected[i] = early && len(members) > 8 || i%3 == 0
	}
	p := newSimulation(members, scenario{faults: []fault{f}, length: 30 * time.Second, applyDeadline: applyDeadline})
	p.advance()
	oldest, whose := time.Duration(0), ""
	worst := time.Duration(0)
	for p.now() < f.until {
		time.Sleep(min(interval, f.until-p.now()))
		if p.now() == f.from || p.now() == f.until {
			p.advance()
		}
		synctest.Wait()
		if p.now() < f.from {
			continue
		}
		for i, m := range members {
			_, known := p.sources[i].logs[follow.FeedConfig].progress()
			age := time.Since(known)
			worst = max(worst, age)
			if age > oldest && p.now() >= f.from+foundAfter {
				oldest, whose = age, fmt.Sprintf("%s at %s, affected %t", m.Name, p.now(), f.affected[i])
			}
		}
	}
	p.stopAll()
	require.LessOrEqual(t, oldest, maxKeysAge, whose)
	require.Less(t, worst, revocationLimit)
}

// TestDirectPeersExpire picks among direct peers: one is picked only while its statement that it follows the store is not too
// old.
func TestDirectPeersExpire(t *testing.T) {
	now := time.Unix(100, 0)
	var p directPeers
	require.Empty(t, p.pick(now, 0.5))
	p.note("a", now)
	p.note("b", now.Add(time.Second))
	require.Equal(t, "a", p.pick(now.Add(time.Second), 0))
	require.Equal(t, "b", p.pick(now.Add(time.Second), 0.9))
	require.Equal(t, "b", p.pick(now.Add(directPeerAge+time.Millisecond), 0))
	require.Empty(t, p.pick(now.Add(directPeerAge+2*time.Second), 0))
}
