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
	// Gone is true when the key was removed.
	Gone bool `cbor:"4,keyasint,omitempty"`
}

// PageTime is how long a store may take for each page of a feed: a hundred times what it takes on a calm day.
const PageTime = 2 * time.Second

// Store is what the relay needs of the platform's store.
type Store interface {
	// Reach asks for nothing but an answer, for a tenth of what the other calls cost; it returns follow.ErrUnavailable.
	Reach(ctx context.Context) error
	// ReadFeed returns everything that a feed holds and the position before the first page; it returns follow.ErrUnavailable, at the latest
	// when a page has taken PageTime.
	ReadFeed(ctx context.Context, feed follow.Feed) ([]Record, follow.Position, error)
	// WatchFeed returns what changed after a position, with nothing when wait has passed without a change; it returns
	// follow.ErrHistoryGone or follow.ErrUnavailable.
	WatchFeed(ctx context.Context, feed follow.Feed, after follow.Position, wait time.Duration) ([]Record, follow.Position, error)
	// Decode turns records into changes.
	Decode(records []Record) []follow.Change
}

// heard is what one call, to the store or to a relay, brought.
type heard struct {
	records []Record
	at      follow.Position
	// known is the moment up to which nothing else has changed.
	known time.Time
	// skips is true when the records lead to the position from what was known here, without what came and went between.
	skips bool
}
