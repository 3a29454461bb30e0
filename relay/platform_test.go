package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"junctioncross/catalog"
	"junctioncross/follow"
	"junctioncross/link"
	"junctioncross/quarantine"
)

// scenarioStore is the simulated store as one instance sees it; it implements Store.
type scenarioStore struct {
	sim *simulation
	i   int
}

// call counts a call and simulates its latency and its failure.
func (s scenarioStore) call(ctx context.Context) error {
	s.sim.mu.Lock()
	s.sim.calls[s.i]++
	s.sim.mu.Unlock()
	switch s.sim.access(s.i, s.sim.now()) {
	case served:
		time.Sleep(storeLatency)
	case slow:
		time.Sleep(slowStoreLatency)
	case refused:
		time.Sleep(storeLatency)
		return follow.ErrUnavailable
	case silent:
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return errors.Wrap(follow.ErrUnavailable, ctx.Err().Error())
	}
	return nil
}

// Ping implements Store.
func (s scenarioStore) Ping(ctx context.Context) error { return s.call(ctx) }

// ReadFeed implements Store.
func (s scenarioStore) ReadFeed(ctx context.Context, feed follow.Feed) ([]Record, follow.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, PageTimeout)
	defer cancel()
	if err := s.call(ctx); err != nil {
		return nil, 0, err
	}
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	return recordsOf(feed, 1, s.sim.version), follow.Position(s.sim.version), nil
}

// recordsOf returns the records of a feed for the versions after one up to another: the newest configuration, and for each
// version an end that was written with it.
func recordsOf(feed follow.Feed, after, version int64) []Record {
	switch feed {
	case follow.FeedConfig:
		return []Record{{Key: configKey, Revision: follow.Position(version)}}
	case follow.FeedQuarantine:
		var out []Record
		for v := after + 1; v <= version; v++ {
			out = append(out, Record{Key: fmt.Sprint("end-", v), Revision: follow.Position(v)})
		}
		return out
	default:
		return nil
	}
}

// configKey is the key of the configuration; all other records are ends.
const configKey = "configuration"

// endOfVersion returns the end that was written with a version.
func endOfVersion(version int64) quarantine.End {
	return quarantine.NewEnd(quarantine.FingerprintOf(nil, fmt.Append(nil, version), "", nil), "server", "attempt")
}

// WatchFeed implements Store.
func (s scenarioStore) WatchFeed(ctx context.Context, feed follow.Feed, after follow.Position, wait time.Duration) ([]Record, follow.Position, error) {
	if err := s.call(ctx); err != nil {
		return nil, 0, err
	}
	end := time.After(wait)
	for {
		s.sim.mu.Lock()
		version, floor, changed := s.sim.version, s.sim.floor, s.sim.changed
		s.sim.mu.Unlock()
		switch a := s.sim.access(s.i, s.sim.now()); {
		case a == refused:
			return nil, 0, follow.ErrUnavailable
		case a == silent:
			<-ctx.Done()
			return nil, 0, follow.ErrUnavailable
		case int64(after) < floor:
			return nil, 0, follow.ErrHistoryGone
		case feed != follow.FeedServers && int64(after) < version:
			return recordsOf(feed, int64(after), version), follow.Position(version), nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, after, nil
		case <-ctx.Done():
			return nil, 0, follow.ErrUnavailable
		}
	}
}

// Decode implements Store.
func (s scenarioStore) Decode(records []Record) []follow.Change {
	var out []follow.Change
	for _, r := range records {
		if r.Key != configKey {
			out = append(out, follow.EndSeen{End: endOfVersion(int64(r.Revision))})
			continue
		}
		c, err := catalog.New(&catalog.Content{Version: int64(r.Revision), Services: []catalog.Service{{Name: "s"}}})
		if err != nil {
			panic(err)
		}
		out = append(out, follow.Configured{Catalog: c})
	}
	return out
}

// scenarioPeers are the other instances of a simulation as one instance sees them; it implements peers.
type scenarioPeers struct {
	sim *simulation
	i   int
}

func (o scenarioPeers) poll(ctx context.Context, addr string, q poll) (pollReply, error) {
	if err := o.connect(ctx, addr); err != nil {
		return pollReply{}, err
	}
	j := o.sim.index[addr]
	o.sim.mu.Lock()
	s := o.sim.sources[j]
	o.sim.mu.Unlock()
	if s == nil {
		return pollReply{}, link.ErrLost
	}
	t, err := s.serve(ctx, q)
	if o.sim.partitioned(o.i, j, o.sim.now()) {
		<-ctx.Done()
	}
	switch {
	case ctx.Err() != nil:
		return pollReply{}, errors.Wrap(link.ErrLost, ctx.Err().Error())
	case err != nil:
		return pollReply{}, errors.Wrap(link.ErrRefused, err.Error())
	}
	return t, nil
}

func (o scenarioPeers) records(context.Context, string, recordsRequest) (recordsReply, error) {
	return recordsReply{}, link.ErrRefused
}

func (o scenarioPeers) totals(ctx context.Context, addr string, q totalsRequest) (totalsReply, error) {
	if err := o.connect(ctx, addr); err != nil {
		return totalsReply{}, err
	}
	o.sim.mu.Lock()
	s := o.sim.sources[o.sim.index[addr]]
	o.sim.mu.Unlock()
	if s == nil {
		return totalsReply{}, link.ErrLost
	}
	t, err := s.serveTotals(q)
	if err != nil {
		return totalsReply{}, errors.Wrap(link.ErrRefused, err.Error())
	}
	return t, nil
}

func (o scenarioPeers) connect(ctx context.Context, addr string) error {
	j, now := o.sim.index[addr], o.sim.now()
	if o.sim.partitioned(o.i, j, now) || o.sim.killed(j, now) {
		<-ctx.Done()
		return errors.Wrap(link.ErrUnreachable, ctx.Err().Error())
	}
	time.Sleep(linkLatency)
	return nil
}
