package control

import (
	"context"
	"math/rand/v2"
	"time"

	"junctioncross/link"
	"junctioncross/member"
)

const (
	// otherDomainPeriod is the mean interval at which a relay that cannot reach the key-value service polls another domain.
	otherDomainPeriod  = 500 * time.Millisecond
	otherDomainTimeout = 700 * time.Millisecond
)

// pollOtherDomains gets new configurations while this domain is partitioned from the key-value service: its relays poll instances
// of other domains, one at a time.
func (l *Loop) pollOtherDomains(ctx context.Context) {
	for ctx.Err() == nil {
		l.deps.Clock.Sleep(ctx, jittered(otherDomainPeriod))
		if !l.relay.Load() || l.kvReachable.Load() {
			continue
		}
		if addr := l.otherDomainAddr(); addr != "" {
			l.pollInstance(ctx, addr)
		}
	}
}

// otherDomainAddr returns the address of a random instance of another domain from the platform's list as it was last read.
func (l *Loop) otherDomainAddr() string {
	var addrs []string
	for _, line := range l.Listed() {
		if line.Role == member.RoleEntry && line.Domain != l.self.Domain {
			addrs = append(addrs, line.Addr)
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[rand.IntN(len(addrs))]
}

// pollInstance requests the head from an instance and puts it in force if it is newer than the own one.
func (l *Loop) pollInstance(ctx context.Context, addr string) {
	call, cancel := context.WithTimeout(ctx, otherDomainTimeout)
	defer cancel()
	request := newerHeadRequest{Above: l.deps.Keeper.Revision()}
	a, err := link.Call[newerHeadRequest, newerHeadResponse](call, l.deps.Links, addr, link.KindNewerHead, request)
	if err != nil || a.Head == nil {
		return
	}
	if err := l.offerFrom(ctx, addr, *a.Head); err != nil {
		l.deps.Stats.Counter("config_fetch_failed_total").Inc(1)
	}
}
