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
		case server.Ended() || server.Gone():
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
// costs nothing to check.
func (h *Handler) fateOfPlain(server *backend.Server, broke time.Time) fate {
	for h.clock.Since(broke) < fateTimeout {
		if server.Ended() {
			return fateEnded
		}
		err := server.CheckListening(h.dialer, h.clock.Now())
		switch {
		case backend.Refused(err):
			return fateEnded
		case err == nil:
			return fateAlive
		}
		<-h.clock.After(fatePeriod)
	}
	return h.fateOfSilent(server)
}

// fateOfSilent returns the fate of a server that has been silent for longer than sound ones are: it has ended if others like it are
// within reach, or else it is the path that is missing.
func (h *Handler) fateOfSilent(server *backend.Server) fate {
	if h.dialer.ReachesOthersLike(server) {
		return fateEnded
	}
	return fateUnknown
}
