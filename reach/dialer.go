package reach

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/backend"
	"junctioncross/metrics"
	"junctioncross/timer"
)

// Dialer opens connections to servers and keeps a Book of the outcomes; it implements backend.Dialer.
type Dialer struct {
	direct backend.Dialer
	clock  *timer.Service
	stats  *metrics.Registry
	log    *logrus.Logger

	mu   sync.Mutex
	book *Book
	// allLost is true while all servers that were tried are out of reach.
	allLost bool
}

// New returns a Dialer that opens its connections with direct.
func New(direct backend.Dialer, clock *timer.Service, stats *metrics.Registry, log *logrus.Logger) *Dialer {
	return &Dialer{direct: direct, clock: clock, stats: stats, log: log, book: NewBook()}
}

// Dial implements backend.Dialer.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := d.direct.Dial(ctx, addr)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return nil, err
	}
	d.note(addr, err)
	return c, err
}

// note records the outcome of an attempt, and logs a change of whether any server is within reach.
func (d *Dialer) note(addr string, err error) {
	d.stats.Counter("server_dials_total{result=\"" + resultOf(err) + "\"}").Inc(1)
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.book.Connected(addr, now)
	} else {
		d.book.Failed(addr, now)
	}
	s := d.book.Summary(now)
	d.stats.Gauge("servers_out_of_reach").Update(int64(s.OutOfReach))
	if s.All() == d.allLost {
		return
	}
	d.allLost = s.All()
	d.logChange(s)
}

func (d *Dialer) logChange(s Summary) {
	fields := logrus.Fields{"out_of_reach": s.OutOfReach, "tried": s.Tried}
	if d.allLost {
		d.log.WithFields(fields).Warn("no server within reach")
		return
	}
	d.log.WithFields(fields).Info("servers within reach again")
}

// resultOf returns the outcome of an attempt as the metrics name it.
func resultOf(err error) string {
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return "connected"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "silent"
	default:
		return "failed"
	}
}
