package forward

import (
	"slices"

	"junctioncross/backend"
)

// starts lists, for each server of a group, whether a path may start there; nil means that it may start anywhere.
type starts []bool

// startsOf returns the starts for a group that some servers allow; nil allows all.
func startsOf(group *backend.Group, allowed []*backend.Server) starts {
	if allowed == nil {
		return nil
	}
	out := make(starts, len(group.Servers()))
	for i, s := range group.Servers() {
		out[i] = slices.Contains(allowed, s)
	}
	return out
}

// allow reports whether a path may start at a server.
func (s starts) allow(server int) bool { return s == nil || s[server] }

// startsAfter returns the servers at which the next run of a stream may start once some have run it; nil means any. If the route allows no
// further server, it is one of those that may still run it: a server that runs a request twice counts once.
func (f *inflight) startsAfter(ran []*backend.Server) []*backend.Server {
	active := activeServers(ran)
	if len(active) < f.r.route.MaxAttempts {
		return nil
	}
	return active
}
