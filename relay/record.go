package relay

import (
	"context"
	"time"

	"junctioncross/follow"
)

// Record is one key of the store as it is passed on; its value is decoded only where it is used.
type Record struct {
	Key      string          `cbor:"1,keyasint"`
	Value    []byte          `cbor:"2,keyasint,omitempty"`
	Revision follow.Position `cbor:"3,keyasint"`
	// Gone is true if the key was removed.
	Gone bool `cbor:"4,keyasint,omitempty"`
}

// size returns about how many bytes the record takes.
func (r *Record) size() int { return len(r.Key) + len(r.Value) }

// PageTimeout is how long a store may take for each page of a feed: a hundred times what it takes under normal load.
const PageTimeout = 2 * time.Second

// Store is the part of the platform's store that package relay needs.
type Store interface {
	// Ping checks that the store answers, at a tenth of the cost of the other calls; it returns follow.ErrUnavailable if it
	// does not.
	Ping(ctx context.Context) error
	// ReadFeed returns the full content of a feed and the position before the first page. It returns follow.ErrUnavailable, at
	// the latest when a page has taken PageTimeout.
	ReadFeed(ctx context.Context, feed follow.Feed) ([]Record, follow.Position, error)
	// WatchFeed returns the changes after a position, and none if wait has passed without a change. It returns
	// follow.ErrHistoryGone or follow.ErrUnavailable.
	WatchFeed(ctx context.Context, feed follow.Feed, after follow.Position, wait time.Duration) ([]Record, follow.Position, error)
	// Decode turns records into changes.
	Decode(records []Record) []follow.Change
}

// update is the result of one call to the store or to a relay.
type update struct {
	records  []Record
	position follow.Position
	// known is the time up to which the records are known to be current.
	known time.Time
	// hasGap is true if the records are only the net changes between the former content and that at the position; keys that were
	// added and removed in between are missing.
	hasGap bool
}
