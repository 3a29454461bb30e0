package reach

import (
	"context"
	"sync"
	"time"

	"junctioncross/backend"
	"junctioncross/supervise"
)

const (
	// vouchers is how many other servers must be within reach for the silence of a server to say something about it, and vouchTimeout
	// limits the connections to these. For vouchTime the result is kept.
	vouchers     = 2
	vouchTimeout = 100 * time.Millisecond
	vouchTime    = 200 * time.Millisecond
)

// Servers finds servers among those that the instance knows.
type Servers interface {
	// ServerAt returns the server at an address, or nil.
	ServerAt(addr string) *backend.Server
	// OthersLike returns up to n random servers beside one, of its failure domain as far as there are any.
	OthersLike(server *backend.Server, n int) []*backend.Server
}

// voucher is whether the own links reached servers of a failure domain at a time. Its lock is held while they are tried.
type voucher struct {
	mu sync.Mutex
	at time.Time
	ok bool
}

// vouching keeps the voucher of each failure domain.
type vouching struct {
	mu       sync.Mutex
	byDomain map[string]*voucher
}

func (v *vouching) of(domain string) *voucher {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byDomain[domain] == nil {
		v.byDomain[domain] = &voucher{}
	}
	return v.byDomain[domain]
}

// ReachesOthersLike implements backend.Dialer and tunnel.DirectPaths.
func (d *Dialer) ReachesOthersLike(server *backend.Server) bool {
	v := d.vouching.of(server.Domain())
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.at.IsZero() || d.clock.Since(v.at) > vouchTime {
		v.ok = d.reachOthers(server)
		v.at = d.clock.Now()
	}
	return v.ok
}

// reachOthers tries to connect to other servers like one over the own links.
func (d *Dialer) reachOthers(server *backend.Server) bool {
	ctx, cancel := d.clock.WithTimeout(context.Background(), d.clock.Patience(vouchTimeout))
	defer cancel()
	others := d.servers.OthersLike(server, vouchers)
	reached := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			ok := false
			d.guard.Call(partName, supervise.NoWork, func() { ok = d.connects(ctx, other.Addr()) })
			reached <- ok
		}()
	}
	for range others {
		if !<-reached {
			return false
		}
	}
	return len(others) > 0
}
