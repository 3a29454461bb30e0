package leader

import (
	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/models"
	"junctioncross/placement"
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

// heldBack reports whether an order was not sent, and keeps what the server's report said instead.
func (t *serviceTerm) heldBack(s *backend.Server, o placement.Order, err error) bool {
	id, now := s.Incarnation().String(), t.leader.clock.Now()
	var outrun outrunError
	switch {
	case errors.Is(err, errSilent):
		t.leader.stats.Counter("orders_held_back_silent_total").Inc(1)
		t.silentUntil[id] = now.Add(orderCheckDelay)
	case errors.Is(err, errBusy):
		t.leader.stats.Counter("orders_held_back_busy_total").Inc(1)
		// A former leader has probably decided the same; if not, it shows when the server has finished.
		t.pending[id] = &pendingOrder{layers: o.Layers, since: now, timeout: orderCheckDelay, uncertain: true, unsent: true}
	case errors.As(err, &outrun):
		t.leader.stats.Counter("orders_held_back_outrun_total").Inc(1)
		t.pending[id] = &pendingOrder{layers: outrun.holds, since: now, timeout: orderSlack, unsent: true}
	default:
		return false
	}
	return true
}
