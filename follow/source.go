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
	// ErrHistoryGone means that changes were missed; the whole state must be read again.
	ErrHistoryGone = errors.New("follow: history is gone")
	// ErrUnavailable means that the source did not answer or turned the call away.
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
	// FeedQuarantine carries which servers ended under which requests.
	FeedQuarantine
	feeds
)

// String returns the feed's name for logs.
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

// Change is something that a feed tells.
type Change interface{ change() }

// Configured says that a configuration was accepted.
type Configured struct{ Catalog *catalog.Catalog }

// ServerSeen says what a backend server writes of itself.
type ServerSeen struct{ Entry backend.Entry }

// ServerGone says that a backend server's entry was removed.
type ServerGone struct{ ID string }

// EntryUnusable says that the entry of a backend server is none that a server writes of itself: it names no server to use.
type EntryUnusable struct {
	ID string
	// Field and Value tell what is wrong with it.
	Field string
	Value string
	Err   error
}

// EndSeen says that a server ended under a request.
type EndSeen struct{ End quarantine.End }

// EndGone says that such an end is no longer kept.
type EndGone struct{ End quarantine.End }

// Unreadable says that a value could not be decoded; what was known before stays in force.
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
func (Unreadable) change()    {}

// News is what one question to a Source brought.
type News struct {
	// Changes are in the order in which they happened.
	Changes []Change
	// At is where to go on from.
	At Position
	// Known is the moment up to which nothing else has changed.
	Known time.Time
}

// Source tells what the fleet looks like and how it changes.
type Source interface {
	// Read returns everything that the feed holds; it returns ErrUnavailable.
	Read(ctx context.Context, feed Feed) (News, error)
	// Next waits for what changes after a position and returns it, or nothing after a while without a change; it returns
	// ErrHistoryGone or ErrUnavailable.
	Next(ctx context.Context, feed Feed, after Position) (News, error)
}
