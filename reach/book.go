package reach

import "time"

const (
	// window is for how long the outcome of an attempt to connect counts.
	window = 2 * time.Second
	// minServers is the number of servers that must be out of reach, with none within reach, for the instance to count as cut off. A
	// single server may be gone.
	minServers = 3
)

// attempts holds the last attempts to connect to a server.
type attempts struct {
	// connectedAt is when a connection last came up, and failedAt when one last failed to.
	connectedAt, failedAt time.Time
}

// Summary is how many servers were tried lately, and how many of these are out of reach.
type Summary struct {
	Tried      int
	OutOfReach int
}

// Book keeps the outcomes of the attempts to connect to servers, by address. It is not safe for concurrent use.
type Book struct {
	servers map[string]*attempts
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{servers: map[string]*attempts{}} }

func (b *Book) of(addr string) *attempts {
	a := b.servers[addr]
	if a == nil {
		a = &attempts{}
		b.servers[addr] = a
	}
	return a
}

// Connected records that a connection to a server came up.
func (b *Book) Connected(addr string, now time.Time) { b.of(addr).connectedAt = now }

// Failed records that a connection to a server did not come up.
func (b *Book) Failed(addr string, now time.Time) { b.of(addr).failedAt = now }

// Summary returns what the attempts of the window say. It forgets older ones.
func (b *Book) Summary(now time.Time) Summary {
	var s Summary
	for addr, a := range b.servers {
		last := a.connectedAt
		if a.failedAt.After(last) {
			last = a.failedAt
		}
		if now.Sub(last) > window {
			delete(b.servers, addr)
			continue
		}
		s.Tried++
		if a.failedAt.After(a.connectedAt) {
			s.OutOfReach++
		}
	}
	return s
}

// All reports whether all servers that were tried are out of reach, and are enough for that to tell something.
func (s Summary) All() bool { return s.OutOfReach >= minServers && s.OutOfReach == s.Tried }
