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
	// maxSilence is the longest time for which a server that does not answer gets no order. The time doubles from orderCheckDelay with
	// each further query without an answer.
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

// outdatedEntryError means that the server holds other layers than the entry that the order is based on.
type outdatedEntryError struct{ holds models.Layers }

// Error implements error.
func (e outdatedEntryError) Error() string {
	return "leader: server holds other layers than its entry: " + e.holds.String()
}

// silence is how long a server that did not answer gets no order.
type silence struct {
	until time.Time
	// wait is the length of the time that ends at until.
	wait time.Duration
}

// heldBackCount counts the orders that were held back since the last line on them.
type heldBackCount struct {
	orders int
	// logged is when the last line was logged.
	logged time.Time
}

// holdBack reports whether an order was not sent because of the server's report. It then keeps what the report says of the server's
// layers, or for how long a silent server gets no order.
func (t *serviceTerm) holdBack(s *backend.Server, o placement.Order, err error) bool {
	id, now := s.Incarnation().String(), t.leader.clock.Now()
	var cause string
	var outdated outdatedEntryError
	switch {
	case errors.Is(err, errSilent):
		cause = "silent"
		wait := min(max(2*t.silent[id].wait, orderCheckDelay), maxSilence)
		t.silent[id] = silence{until: now.Add(wait), wait: wait}
	case errors.Is(err, errBusy):
		cause = "busy"
		// A former leader has probably given the same order. Whether it has shows when the server has finished.
		t.pending[id] = &pendingOrder{layers: o.Layers, since: now, timeout: orderCheckDelay, uncertain: true, unsent: true}
	case errors.As(err, &outdated):
		cause = "outrun"
		t.pending[id] = &pendingOrder{layers: outdated.holds, since: now, timeout: orderSlack, unsent: true}
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

// logHeldBack logs an order that is held back, unless one was logged within heldBackLogPeriod.
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
