package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/decision"
	"junctioncross/models"
)

// errPathClosed means that nothing was sent, since a server of the path takes no new work any more.
var errPathClosed = errors.New("forward: a server of the path takes no new work any more")

// maxRechoices is how often the path of a stream is chosen again just before it is sent. After that it is sent along the path that it
// has, so that a stream is never kept from all servers.
const maxRechoices = 8

// rechoose is the outcome of an attempt that was not sent, since its path is no longer open; another path is chosen for it.
type rechoose struct{}

func (rechoose) outcome() {}

// pathOpen reports whether all servers of a path that was chosen at the given time still take new work. What one request finds out
// about a server holds for all that have chosen a path through it and are not sent yet.
func pathOpen(servers []*backend.Server, chosen, now time.Time) bool {
	for i, s := range servers {
		if s.ClosedSince(chosen, now) {
			return false
		}
		// The circuit of the first server is open for others while this request is the one that tries it.
		if i > 0 && !s.Usable(now) {
			return false
		}
	}
	return true
}

// mayStillSend reports whether the path of a stream is still open just before it is sent.
func (h *Handler) mayStillSend(f *inflight) bool {
	return f.rechosen >= maxRechoices || pathOpen(f.path().servers, f.chosenAt, h.clock.Now())
}

// notSent returns the outcome of an attempt whose path was closed before it was sent.
func (h *Handler) notSent(f *inflight) outcome {
	f.first.ReleaseTrial()
	f.rechosen++
	h.stats.Counter("paths_chosen_again_total").Inc(1)
	h.record.Routine(f.r.meta.ID, "not sent, path closed", h.fields(f.r, decision.Fields{
		"server": f.first.ID(), "path": f.path().describe(), "rechosen": f.rechosen,
	}))
	return rechoose{}
}

// unsentStream handles an attempt for which nothing was sent.
func (h *Handler) unsentStream(ctx context.Context, f *inflight, err error) outcome {
	if errors.Is(err, errPathClosed) && !h.callerDisconnected(ctx, f.r) {
		return h.notSent(f)
	}
	out := h.unsentAttempt(ctx, f.r, f.first, err)
	if o, ok := out.(notRun); ok && o.reason == models.RetryUnreachable {
		f.noteRejection(f.first, h.clock.Now())
	}
	return out
}
