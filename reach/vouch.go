package reach

import (
	"context"
	"sync"
	"time"

	"junctioncross/backend"
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
	// OthersLike returns up to n random servers beside one, of its failure domain as far as there are any.
	OthersLike(server *backend.Server, n int) []*backend.Server
}

// voucher is whether the own links reached servers of a failure domain at a time.
type voucher struct {
	at time.Time
	ok bool
}

// vouching keeps the latest voucher of each failure domain.
type vouching struct {
	mu       sync.Mutex
	byDomain map[string]voucher
}

// ReachesOthersLike implements backend.Dialer and tunnel.DirectPaths.
func (d *Dialer) ReachesOthersLike(server *backend.Server) bool {
	v := &d.vouching
	v.mu.Lock()
	defer v.mu.Unlock()
	if last, known := v.byDomain[server.Domain()]; known && d.clock.Since(last.at) <= vouchTime {
		return last.ok
	}
	ok := d.reachOthers(server)
	v.byDomain[server.Domain()] = voucher{at: d.clock.Now(), ok: ok}
	return ok
}

// reachOthers tries to connect to other servers like one over the own links.
func (d *Dialer) reachOthers(server *backend.Server) bool {
	ctx, cancel := d.clock.WithTimeout(context.Background(), vouchTimeout)
	defer cancel()
	others := d.servers.OthersLike(server, vouchers)
	reached := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			conn, err := d.DialDirect(ctx, other.Addr())
			if err == nil {
				_ = conn.Close()
			}
			reached <- err == nil
		}()
	}
	for range others {
		if !<-reached {
			return false
		}
	}
	return len(others) > 0
}
