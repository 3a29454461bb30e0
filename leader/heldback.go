package leader

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/backend"
	"junctioncross/models"
	"junctioncross/placement"
)

const (
	// maxSilence is the longest time after which a server that does not answer is queried again.
	maxSilence = 4 * orderCheckDelay
	// heldBackLogPeriod is the shortest time between two lines on orders that are held back.
	heldBackLogPeriod = time.Second
)

// Reasons for which an order is not sent, by what the server's report says.
var (
	// errSilent means that the server does not answer, or that another incarnation answers in its place.
	errSilent = errors.New("leader: server does not answer")
	// errBusy means that the server is carrying out an order.
	errBusy = errors.New("leader: server is busy with an order")
)

// outrunError means that the server holds other layers than the entry that the order is based on.
type outrunError struct{ holds models.Layers }

// Error implements error.
func (e outrunError) Error() string {
	return "leader: server holds other layers than its entry: " + e.holds.String()
}

// silence is how long a server that did not answer gets no order.
type silence struct {
	until time.Time
	wait  time.Duration
}

// heldBackCount counts the orders that are held back for the next line on them.
type heldBackCount struct {
	orders int
	logged time.Time
}

// holdBack reports whether an order was not sent, and keeps what the server's report said instead.
func (t *serviceTerm) holdBack(s *backend.Server, o placement.Order, err error) bool {
	id, now := s.Incarnation().String(), t.leader.clock.Now()
	var cause string
	var outrun outrunError
	switch {
	case errors.Is(err, errSilent):
		cause = "silent"
		wait := min(max(2*t.silent[id].wait, orderCheckDelay), maxSilence)
		t.silent[id] = silence{until: now.Add(wait), wait: wait}
	case errors.Is(err, errBusy):
		cause = "busy"
		// A former leader has probably decided the same; if not, it shows when the server has finished.
		t.pending[id] = &pendingOrder{layers: o.Layers, since: now, timeout: orderCheckDelay, uncertain: true, unsent: true}
	case errors.As(err, &outrun):
		cause = "outrun"
		t.pending[id] = &pendingOrder{layers: outrun.holds, since: now, timeout: orderSlack, unsent: true}
	default:
		delete(t.silent, id)
		return false
	}
	if t.pending[id] != nil {
		delete(t.silent, id)
	}
	t.leader.stats.Counter("orders_held_back_" + cause + "_total").Inc(1)
	t.logHeldBack(s, o, cause)
	return true
}

// logHeldBack logs an order that is held back, unless another one has just been.
func (t *serviceTerm) logHeldBack(s *backend.Server, o placement.Order, cause string) {
	now := t.leader.clock.Now()
	t.heldBack.orders++
	if now.Sub(t.heldBack.logged) < heldBackLogPeriod {
		return
	}
	t.leader.log.WithFields(logrus.Fields{
		"server": s.ID(), "address": s.Addr(), "layers": o.Layers.String(), "cause": cause, "orders": t.heldBack.orders,
	}).Info("order held back")
	t.heldBack = heldBackCount{logged: now}
}
