package reach

import "time"

const (
	// window is for how long the outcome of an attempt to connect counts.
	window = 2 * time.Second
	// minServers is the number of servers that must be out of reach for that to say something about the other ones. A single server
	// may be gone.
	minServers = 3
	// manyShare is the share of the servers that were tried which must be out of reach for that.
	manyShare = 0.5
	// hopelessTime is for how long other instances are not asked again for a server that they did not reach.
	hopelessTime = 300 * time.Millisecond
)

// Route is the way on which a connection to a server is tried.
type Route int

const (
	// OwnLinks means that the own links are tried, and another instance if these take long or fail.
	OwnLinks Route = iota
	// OwnLinksOnly means that no other instance reached the server lately.
	OwnLinksOnly
	// Both means that the own links and another instance are tried at once, since many servers are out of reach.
	Both
	// OtherInstance means that another instance is tried, and the own links only if none reaches the server.
	OtherInstance
)

// path is what is known of the path to a server over the own links.
type path struct {
	// connectedAt is when a connection last came up, and failedAt when one last failed to.
	connectedAt, failedAt time.Time
	// lost is true while the server is reached through another instance only.
	lost bool
	// hopelessUntil is the time until which other instances are not asked for the server, and tunnelErr why: what they last said.
	hopelessUntil time.Time
	tunnelErr     error
}

// triedAt returns when a connection was last tried.
func (p *path) triedAt() time.Time {
	if p.failedAt.After(p.connectedAt) {
		return p.failedAt
	}
	return p.connectedAt
}

// Summary is how many servers were tried lately, how many of these are out of reach, and how many servers are lost.
type Summary struct {
	Tried, OutOfReach, Lost int
}

// Book keeps which servers are within reach over the own links, by address. It is not safe for concurrent use.
type Book struct {
	paths map[string]*path
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{paths: map[string]*path{}} }

func (b *Book) of(addr string) *path {
	p := b.paths[addr]
	if p == nil {
		p = &path{}
		b.paths[addr] = p
	}
	return p
}

// Connected records that a connection over the own links came up, and reports whether the path to the server was lost. The paths to
// all servers may be back then, so that none is lost any more until it is found to be so again.
func (b *Book) Connected(addr string, now time.Time) (regained bool) {
	p := b.of(addr)
	p.connectedAt = now
	if !p.lost {
		return false
	}
	for _, other := range b.paths {
		other.lost = false
	}
	return true
}

// Failed records that a connection over the own links did not come up.
func (b *Book) Failed(addr string, now time.Time) { b.of(addr).failedAt = now }

// NoteLost records that another instance reaches a server that is out of reach over the own links, and reports whether that is new. A
// connection over the own links that came up after the attempt had begun, by which the path was found lost, refutes it.
func (b *Book) NoteLost(addr string, begun, now time.Time) bool {
	p := b.of(addr)
	if p.connectedAt.After(begun) {
		return false
	}
	p.failedAt = now
	was := p.lost
	p.lost = true
	return !was
}

// NoteHopeless records that no other instance reaches a server, and what they said.
func (b *Book) NoteHopeless(addr string, tunnelErr error, now time.Time) {
	p := b.of(addr)
	p.hopelessUntil, p.tunnelErr = now.Add(hopelessTime), tunnelErr
}

// TunnelErr returns what other instances said of a server; nil if none was asked lately.
func (b *Book) TunnelErr(addr string, now time.Time) error {
	if p := b.paths[addr]; p != nil && now.Before(p.hopelessUntil) {
		return p.tunnelErr
	}
	return nil
}

// Lost reports whether a server is reached through another instance only.
func (b *Book) Lost(addr string) bool {
	p := b.paths[addr]
	return p != nil && p.lost
}

// LostServers returns the addresses of the servers that are reached through another instance only.
func (b *Book) LostServers() []string {
	var out []string
	for addr, p := range b.paths {
		if p.lost {
			out = append(out, addr)
		}
	}
	return out
}

// Route returns the way on which a connection to a server is to be tried.
func (b *Book) Route(addr string, now time.Time) Route {
	p := b.of(addr)
	switch {
	case now.Before(p.hopelessUntil):
		return OwnLinksOnly
	case p.lost:
		return OtherInstance
	case now.Sub(p.connectedAt) <= window:
		return OwnLinks
	case b.Summary(now).many():
		return Both
	default:
		return OwnLinks
	}
}

// Summary returns what the attempts of the window say. It forgets servers that were not tried for long.
func (b *Book) Summary(now time.Time) Summary {
	var s Summary
	for addr, p := range b.paths {
		switch {
		case p.lost:
			s.Lost++
			s.OutOfReach++
			s.Tried++
		case now.Sub(p.triedAt()) <= window:
			s.Tried++
			if p.failedAt.After(p.connectedAt) {
				s.OutOfReach++
			}
		case !now.Before(p.hopelessUntil):
			delete(b.paths, addr)
		}
	}
	return s
}

// All reports whether all servers that were tried are out of reach, and are enough for that to tell something.
func (s Summary) All() bool { return s.OutOfReach >= minServers && s.OutOfReach == s.Tried }

// many reports whether so many servers are lost that others probably are as well.
func (s Summary) many() bool {
	return s.Lost >= minServers && float64(s.Lost) >= manyShare*float64(s.Tried)
}
