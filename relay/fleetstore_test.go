package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"junctioncross/catalog"
	"junctioncross/follow"
	"junctioncross/link"
	"junctioncross/membership"
)

// simRegistry is the simulated store's registration records as seen by an instance; it implements membership.Registry.
type simRegistry struct{ sim *startSimulation }

// Join implements membership.Registry.
func (r simRegistry) Join(ctx context.Context, self membership.Instance, slot membership.Slot, _ time.Duration) (int64, error) {
	for range 2 {
		if err := r.sim.call(ctx, 1, recordBytes); err != nil {
			return 0, err
		}
	}
	r.sim.mu.Lock()
	defer r.sim.mu.Unlock()
	key := fmt.Sprint(self.Domain, "/", slot.Number)
	if r.sim.records[key].Revision != slot.Revision {
		return 0, membership.ErrTaken
	}
	r.sim.revision++
	slot.Revision = r.sim.revision
	r.sim.records[key] = storedRecord{Record: membership.Record{Instance: self, Slot: slot, Lease: slot.Revision}, at: time.Now()}
	return slot.Revision, nil
}

// Renew implements membership.Registry.
func (r simRegistry) Renew(ctx context.Context, _ int64) error {
	return r.sim.call(ctx, lowCost, recordBytes)
}

// List implements membership.Registry.
func (r simRegistry) List(ctx context.Context) (membership.Snapshot, error) {
	r.sim.mu.Lock()
	snapshot := membership.Snapshot{Key: r.sim.key}
	for _, stored := range r.sim.records {
		if time.Since(stored.at) >= storeLag {
			snapshot.Records = append(snapshot.Records, stored.Record)
		}
	}
	r.sim.mu.Unlock()
	return snapshot, r.sim.call(ctx, lowCost, float64(1+len(snapshot.Records))*recordBytes)
}

// EnsureKey implements membership.Registry.
func (r simRegistry) EnsureKey(ctx context.Context, key []byte) ([]byte, error) {
	if err := r.sim.call(ctx, 1, recordBytes); err != nil {
		return nil, err
	}
	r.sim.mu.Lock()
	defer r.sim.mu.Unlock()
	if r.sim.key == nil {
		r.sim.key = key
	}
	return r.sim.key, nil
}

// simStore is the feeds of the simulated store; it implements Store.
type simStore struct{ sim *startSimulation }

// Ping implements Store.
func (f simStore) Ping(ctx context.Context) error { return f.sim.call(ctx, lowCost, recordBytes) }

// pageBytes is the size of a page of a feed.
const pageBytes = 500 * entryBytes

// ReadFeed implements Store.
func (f simStore) ReadFeed(ctx context.Context, feed follow.Feed) ([]Record, follow.Position, error) {
	value := []byte(nil)
	switch feed {
	case follow.FeedConfig:
		value = f.sim.config
	case follow.FeedServers:
		value = f.sim.entries
	case follow.FeedQuarantine:
	}
	for left := float64(len(value)); left >= 0; left -= pageBytes {
		if err := f.sim.call(ctx, 1, min(left, pageBytes)); err != nil {
			return nil, 0, err
		}
	}
	return []Record{{Key: configKey, Value: value, Revision: 1}}, 1, nil
}

// WatchFeed implements Store.
func (f simStore) WatchFeed(ctx context.Context, _ follow.Feed, after follow.Position, wait time.Duration) ([]Record, follow.Position, error) {
	if err := f.sim.call(ctx, 1, recordBytes); err != nil {
		return nil, 0, err
	}
	select {
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, follow.ErrUnavailable
	}
}

// Decode implements Store.
func (f simStore) Decode(records []Record) []follow.Change {
	for _, r := range records {
		if len(r.Value) == configBytes {
			c, err := catalog.New(&catalog.Content{Version: 1, Services: []catalog.Service{{Name: "s"}}})
			if err != nil {
				panic(err)
			}
			return []follow.Change{follow.Configured{Catalog: c}}
		}
	}
	return nil
}

// simPeers connects instance i to the other instances, each over its own network link; it implements peers.
type simPeers struct {
	sim *startSimulation
	i   int
}

func (o simPeers) poll(ctx context.Context, addr string, q poll) (pollReply, error) {
	if err := o.connect(ctx, addr); err != nil {
		return pollReply{}, err
	}
	j := o.sim.index[addr]
	t, err := o.sim.sources[j].serve(ctx, q)
	if err != nil {
		return pollReply{}, errors.Wrap(link.ErrRefused, err.Error())
	}
	bytes := 2.0 + float64(len(t.Packed))
	for _, r := range t.Records {
		bytes += float64(len(r.Value))
	}
	return t, o.transfer(ctx, j, bytes)
}

func (o simPeers) records(ctx context.Context, addr string, q recordsRequest) (recordsReply, error) {
	if err := o.connect(ctx, addr); err != nil {
		return recordsReply{}, err
	}
	j := o.sim.index[addr]
	t, err := o.sim.registries[j].serve(ctx, q)
	if err != nil {
		return recordsReply{}, errors.Wrap(link.ErrRefused, err.Error())
	}
	return t, o.transfer(ctx, j, float64(1+len(t.Records)))
}

func (o simPeers) totals(context.Context, string, totalsRequest) (totalsReply, error) {
	return totalsReply{}, link.ErrRefused
}

func (o simPeers) transfer(ctx context.Context, j int, bytes float64) error {
	err := o.sim.links[j].transfer(ctx, bytes)
	if err == nil {
		err = o.sim.links[o.i].transfer(ctx, bytes)
	}
	if err != nil {
		return errors.Wrap(link.ErrLost, err.Error())
	}
	return nil
}

// connect is refused while one of the two instances does not know the fleet key.
func (o simPeers) connect(_ context.Context, addr string) error {
	time.Sleep(linkLatency)
	if len(o.sim.views[o.i].Key()) == 0 || len(o.sim.views[o.sim.index[addr]].Key()) == 0 {
		return link.ErrRefused
	}
	return nil
}
