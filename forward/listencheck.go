package forward

import (
	"context"
	"sync"
	"time"

	"junctioncross/backend"
)

// listenChecks shares checks of whether something listens at servers among all that wait for them, so that there is one at a time for each
// server.
type listenChecks struct {
	mu      sync.Mutex
	running map[*backend.Server]*listenCheck
}

// listenCheck is one check.
type listenCheck struct {
	begun time.Time
	// done is closed at its end.
	done chan struct{}
}

// join returns the check of a server that runs, or a new one, which the caller must make.
func (l *listenChecks) join(server *backend.Server, now time.Time) (check *listenCheck, mine bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.running[server]; c != nil {
		return c, false
	}
	c := &listenCheck{begun: now, done: make(chan struct{})}
	l.running[server] = c
	return c, true
}

// end ends a check.
func (l *listenChecks) end(server *backend.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.running[server].done)
	delete(l.running, server)
}

// checkListeningSince waits for a check of a server that began at the given time or later.
func (h *Handler) checkListeningSince(server *backend.Server, moment time.Time) {
	for {
		check, mine := h.listenChecks.join(server, h.clock.Now())
		if mine {
			h.makeListenCheck(server)
			return
		}
		<-check.done
		if !check.begun.Before(moment) {
			return
		}
	}
}

// makeListenCheck checks whether a server listens, for all who have joined the check.
func (h *Handler) makeListenCheck(server *backend.Server) {
	defer h.listenChecks.end(server)
	h.checkListening(server)
}

// connectionSettleTime is how long the kernel may take to close all that a process that was killed has open: it does so in any order.
const connectionSettleTime = 50 * time.Millisecond

// livesAfter reports whether a plain server is known to be alive after it has ended a connection, so that an answer that ended with that is
// whole. The kernel ends the connections of a process that was killed like those of one that goes on.
func (h *Handler) livesAfter(ctx context.Context, server *backend.Server) bool {
	if !h.clock.Sleep(ctx, connectionSettleTime) {
		return false
	}
	settled, found := h.clock.Now(), make(chan fate, 1)
	go func() {
		became := fateUnknown
		h.guarded(server, func() {
			h.checkListeningSince(server, settled)
			became = h.fateOfPlain(server, settled)
		})
		found <- became
	}()
	select {
	case f := <-found:
		return f == fateAlive
	case <-ctx.Done():
		return false
	}
}
