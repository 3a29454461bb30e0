package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/quarantine"
)

// Errors that a Source returns.
var (
	// ErrHistoryGone means that changes were missed; the full feed must be read again.
	ErrHistoryGone = errors.New("follow: history is gone")
	// ErrUnavailable means that the source did not answer or rejected the request.
	ErrUnavailable = errors.New("follow: source is not available")
)

// Feed is one of the sequences of changes that a Source offers.
type Feed int

// The feeds of a Source.
const (
	// FeedConfig carries configurations.
	FeedConfig Feed = iota
	// FeedServers carries entries of backend servers.
	FeedServers
	// FeedQuarantine carries ends: which servers terminated under which requests.
	FeedQuarantine
	feeds
)

// String returns the feed's name for logs and metrics.
func (f Feed) String() string {
	switch f {
	case FeedConfig:
		return "configuration"
	case FeedQuarantine:
		return "quarantine"
	default:
		return "servers"
	}
}

// Change is one change of a feed.
type Change interface{ change() }

// Configured carries an accepted configuration.
type Configured struct{ Catalog *catalog.Catalog }

// ServerSeen carries the entry that a backend server has written of itself.
type ServerSeen struct{ Entry backend.Entry }

// ServerGone says that a backend server's entry was removed.
type ServerGone struct{ ID string }

// EntryUnusable reports that the entry under a backend server's key describes no usable server, such as one that another
// writer has overwritten.
type EntryUnusable struct {
	ID string
	// Field and Value name what is wrong in the entry.
	Field string
	Value string
	Err   error
}

// EndSeen reports that a server terminated under a request.
type EndSeen struct{ End quarantine.End }

// EndGone reports that the record of such an end was removed.
type EndGone struct{ End quarantine.End }

// PartProved reports that a server has run a request with a part without terminating.
type PartProved struct{ Proof quarantine.Proof }

// Unreadable reports that a value could not be decoded; the former value stays in force.
type Unreadable struct {
	Key string
	Err error
}

func (Configured) change()    {}
func (ServerSeen) change()    {}
func (ServerGone) change()    {}
func (EntryUnusable) change() {}
func (EndSeen) change()       {}
func (EndGone) change()       {}
func (PartProved) change()    {}
func (Unreadable) change()    {}

// Updates is what one request to a Source returned.
type Updates struct {
	// Changes are in the order in which they happened.
	Changes []Change
	// At is the position up to which the feed is known; the next request goes on from there.
	At Position
	// AsOf is the moment up to which the feed is known to hold no other changes.
	AsOf time.Time
}

// Source provides the state of the fleet, and its changes, by feed.
type Source interface {
	// Read returns the complete content of a feed; it returns ErrUnavailable.
	Read(ctx context.Context, feed Feed) (Updates, error)
	// Next waits for changes after a position and returns them, or no changes after a while without any; it returns
	// ErrHistoryGone or ErrUnavailable.
	Next(ctx context.Context, feed Feed, after Position) (Updates, error)
}
