package forward

import (
	"time"

	"junctioncross/backend"
)

const (
	// fateTimeout is how long it may take to find out what has become of a server: until a silent one is presumed to have ended, and
	// several state queries.
	fateTimeout = backend.MaxSoundSilence + time.Second
	// fatePeriod is the pause between two checks.
	fatePeriod = 50 * time.Millisecond
)

// fate is what is known of a server on which a run broke.
type fate int

const (
	// fateUnknown means that the server is silent, as a sound one may be for a while.
	fateUnknown fate = iota
	// fateAlive means that the server has answered since the run broke.
	fateAlive
	// fateEnded means that the server has terminated, or has been silent for longer than sound servers are.
	fateEnded
)

// fateOf finds out what has become of a server on which a run broke at the given time.
func (h *Handler) fateOf(server *backend.Server, chained bool, broke time.Time) fate {
	if !chained {
		return h.fateOfPlain(server, broke)
	}
	return h.fateOfEngine(server, broke)
}

// fateOfEngine is fateOf for a server of a chained engine.
func (h *Handler) fateOfEngine(server *backend.Server, broke time.Time) fate {
	for {
		switch {
		case server.Ended():
			return fateEnded
		case server.AnsweredSince(broke):
			return fateAlive
		case server.PresumedEnded():
			return h.fateOfSilent(server)
		case h.clock.Since(broke) >= fateTimeout:
			return fateUnknown
		}
		h.queryState(server, "broken run")
		<-h.clock.After(fatePeriod)
	}
}

// fateOfPlain is fateOf for a server of a plain service. It has no state query that does not take one of its slots; whether it listens
// is checked instead, as often as state queries are made, for all broken runs together.
func (h *Handler) fateOfPlain(server *backend.Server, broke time.Time) fate {
	for h.clock.Since(broke) < fateTimeout {
		switch {
		case server.Ended():
			return fateEnded
		case server.AnsweredSince(broke):
			return fateAlive
		case server.TryQuery(h.clock.Now()):
			h.checkListening(server)
			continue
		}
		<-h.clock.After(fatePeriod)
	}
	return h.fateOfSilent(server)
}

// checkListening notes whether something listens at the address of a server.
func (h *Handler) checkListening(server *backend.Server) {
	sentAt := h.clock.Now()
	err := server.CheckListening(h.dialer, sentAt)
	switch {
	case err == nil:
		server.NoteAnswer(sentAt, h.clock.Now())
	case backend.Refused(err):
		server.MarkEnded()
	}
}

// fateOfSilent returns the fate of a server that has been silent for longer than sound ones are: it has ended if others like it are
// within reach, or else it is the path that is missing.
func (h *Handler) fateOfSilent(server *backend.Server) fate {
	if h.dialer.ReachesOthersLike(server) {
		return fateEnded
	}
	return fateUnknown
}
