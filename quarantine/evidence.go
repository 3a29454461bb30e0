package quarantine

import "time"

const (
	// minWeakEnds and minWeakRequests are the numbers of servers and requests that it takes to blame a part if the servers had not
	// just begun to answer.
	minWeakEnds     = 5
	minWeakRequests = 3
	// weakShare is the least share that these servers must have of all servers of the service that terminated since the first of
	// them. Requests that wait when a server terminates are many, and nearly all of them are harmless.
	weakShare = 1.0 / 3
	// maxRivalBreadth is how broad a part may be at most, compared with another one that is in other requests, to account for its ends.
	maxRivalBreadth = 0.5
)

// partRecord holds the servers that terminated under requests with one part.
type partRecord struct {
	ends map[string]*partEnd
	// weight says how well the part explains these ends, breadth how many requests with it a server ran, and latest is when the latest
	// end was; they are to be computed anew while the part is in parts.changed.
	weight, breadth float64
	latest          time.Time
	// blamedAt is when the end was that had the part blamed; it is zero until then.
	blamedAt time.Time
	// trial is the latest trial of this instance, and turns is the order of those of all instances, to be computed anew if it is nil.
	trial trial
	turns []turn
}

// partEnd holds the requests with one part that a server ran when it terminated; the value is true for those that it had just
// begun to answer.
type partEnd struct {
	at       time.Time
	requests map[Fingerprint]bool
	// own holds those of the requests that this instance sent there.
	own map[Fingerprint]bool
}

// justBegun reports whether the server had just begun to answer one of the requests.
func (e *partEnd) justBegun() bool {
	for _, begun := range e.requests {
		if begun {
			return true
		}
	}
	return false
}

// isInAll reports whether the part is in all requests with another part that the server had just begun to answer, or in all if it had
// begun none.
func (e *partEnd) isInAll(other *partEnd) bool {
	begunOnly := other.justBegun()
	for request, begun := range other.requests {
		if _, both := e.requests[request]; !both && (begun || !begunOnly) {
			return false
		}
	}
	return true
}

// evidence counts what speaks against a part: servers and requests in all, and those that had just begun.
type evidence struct {
	servers, requests           int
	begunServers, begunRequests int
	// runs counts the requests on each of the servers.
	runs          int
	first, latest time.Time
}

// evidence counts the ends of a part, without the servers for which another part accounts, and as many requests as told.
func (r *partRecord) evidence(accounted func(server string) bool, mostRequests int) evidence {
	var v evidence
	all, begun := map[Fingerprint]bool{}, map[Fingerprint]bool{}
	for server, e := range r.ends {
		if accounted(server) {
			continue
		}
		v.servers++
		v.runs += len(e.requests)
		if e.justBegun() {
			v.begunServers++
		}
		for request, justBegun := range e.requests {
			if len(all) < mostRequests {
				all[request] = true
			}
			if justBegun && len(begun) < mostRequests {
				begun[request] = true
			}
		}
		if v.first.IsZero() || e.at.Before(v.first) {
			v.first = e.at
		}
		if e.at.After(v.latest) {
			v.latest = e.at
		}
	}
	v.requests, v.begunRequests = len(all), len(begun)
	return v
}

// weight says how well a part explains its ends. It falls with the number of requests, since a harmful part terminates a server
// under nearly each of them, and what many harmless requests share is in several of those that a server runs when it terminates.
func (v evidence) weight() float64 {
	if v.servers == 0 {
		return 0
	}
	return float64(v.servers) * float64(v.servers) / float64(max(v.requests, v.servers))
}

// breadth returns how many requests with the part a server ran when it terminated, in the mean.
func (v evidence) breadth() float64 { return float64(v.runs) / float64(max(v.servers, 1)) }

// suffices reports whether a part is blamed, given how many servers of the service have terminated since the first of its ends.
func (v evidence) suffices(s Settings, terminated int) bool {
	if v.begunServers >= s.Ends && v.begunRequests >= s.Ends {
		return true
	}
	return v.servers >= minWeakEnds && v.requests >= minWeakRequests && float64(v.servers) >= weakShare*float64(terminated)
}
