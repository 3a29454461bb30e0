package relay

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/timer"
)

func updateAt(revision follow.Position, records ...Record) update {
	return update{records: records, position: revision, known: time.Unix(int64(revision), 0)}
}

// TestRereadingAddsTheDifferencesToTheHistory changes, adds and removes keys between two full reads of a feed.
func TestRereadingAddsTheDifferencesToTheHistory(t *testing.T) {
	l := newFeedLog()
	l.reset(updateAt(5, Record{Key: "a", Revision: 1}, Record{Key: "b", Revision: 2}, Record{Key: "c", Revision: 3}), true)
	l.reset(updateAt(9, Record{Key: "a", Revision: 1}, Record{Key: "b", Revision: 7}, Record{Key: "d", Revision: 8}), true)
	v := l.since(5)
	require.True(t, v.complete)
	require.Equal(t, []Record{{Key: "b", Revision: 7}, {Key: "d", Revision: 8}, {Key: "c", Revision: 9, Gone: true}}, v.records)
	require.False(t, l.since(4).complete, "the history begins with the first full read")
}

// TestFollowersOfALogHaveItsContent draws random changes and full reads, and a follower that polls at random times.
func TestFollowersOfALogHaveItsContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, revision := map[string]Record{}, follow.Position(1)
		l := newFeedLog()
		l.reset(updateAt(revision), true)
		follower, knownTo := map[string]Record{}, revision
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			revision++
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			r := Record{Key: key, Revision: revision, Gone: rapid.Bool().Draw(t, "gone")}
			apply(store, r)
			if rapid.Bool().Draw(t, "whole") {
				var all []Record
				for _, one := range store {
					all = append(all, one)
				}
				l.reset(updateAt(revision, all...), true)
			} else {
				l.append(updateAt(revision, r), true)
			}
			if rapid.Bool().Draw(t, "asks") {
				v := l.since(knownTo)
				require.True(t, v.complete)
				for _, one := range v.records {
					apply(follower, one)
				}
				knownTo = v.position
				require.Equal(t, store, follower)
			}
		}
	})
}

func apply(content map[string]Record, r Record) {
	if r.Gone {
		delete(content, r.Key)
		return
	}
	content[r.Key] = r
}

// TestHistoryCoversAChangeOfTheWholeFeed lets all entries of a large feed expire and return, as in an outage of the store.
func TestHistoryCoversAChangeOfTheWholeFeed(t *testing.T) {
	const servers = 6000
	key := func(i int) string { return fmt.Sprint("server-", i) }
	l := newFeedLog()
	var all []Record
	for i := range servers {
		all = append(all, Record{Key: key(i), Revision: follow.Position(i + 1)})
	}
	l.reset(updateAt(servers, all...), true)
	revision := follow.Position(servers)
	for _, gone := range []bool{true, false} {
		for i := range servers {
			revision++
			l.append(updateAt(revision, Record{Key: key(i), Revision: revision, Gone: gone}), true)
		}
	}
	v := l.since(servers)
	require.True(t, v.complete)
	require.Len(t, v.records, 2*servers)
}

// laterRelay is a relay that has read a feed later than the instance that polls it; it implements peers.
type laterRelay struct{ peers }

func (laterRelay) poll(_ context.Context, _ string, p poll) (pollReply, error) {
	if !p.Full {
		return pollReply{Behind: true}, nil
	}
	return pollReply{Records: []Record{{Key: "kept", Revision: 2}, {Key: "new", Revision: 8}}, At: 9}, nil
}

// TestInstanceBehindItsRelaysHistoryRequestsTheFullFeed polls a relay whose history begins after the instance's position.
func TestInstanceBehindItsRelaysHistoryRequestsTheFullFeed(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	all := instances(1, 30)
	self := Self{Name: all[9].Name, Domain: all[9].Domain, RelaysFrom: 24, ApplyTime: applyDeadline}
	s := New(self, scenarioStore{sim: newSimulation(all, scenario{})}, staticFleet(all), nil, noEnds{}, nil, nil, timer.NewReal(), metrics.New(), log)
	s.peers = laterRelay{}
	s.logs[follow.FeedConfig].reset(updateAt(5, Record{Key: "kept", Revision: 2}, Record{Key: "gone", Revision: 3}), false)
	got, err := s.catchUp(t.Context(), s.upstreams()[0], follow.FeedConfig, 5)
	require.NoError(t, err)
	require.Equal(t, []Record{{Key: "new", Revision: 8}, {Key: "gone", Revision: 9, Gone: true}}, got.records)
	_, err = s.catchUp(t.Context(), s.upstreams()[0], follow.FeedConfig, 10)
	require.ErrorIs(t, err, follow.ErrUnavailable, "a relay that knows less cannot serve")
}

// positionOf returns the position of a revision in an era.
func positionOf(era, revision int64) follow.Position {
	p, _ := follow.PositionOf(era, revision)
	return p
}

// TestChangesUnderReusedRevisionsArePassedOn reads a feed again after the store lost writes, and then changes a key under a
// revision that was already used before the loss.
func TestChangesUnderReusedRevisionsArePassedOn(t *testing.T) {
	l := newFeedLog()
	same, lost := []byte("same"), []byte("lost")
	l.reset(updateAt(positionOf(1, 800), Record{Key: "a", Value: same, Revision: positionOf(1, 700)}), true)
	l.append(updateAt(positionOf(1, 900), Record{Key: "b", Value: lost, Revision: positionOf(1, 900)}), true)
	l.reset(updateAt(positionOf(2, 870), Record{Key: "a", Value: same, Revision: positionOf(2, 700)}), true)
	changed := Record{Key: "a", Value: []byte("other"), Revision: positionOf(2, 880)}
	l.append(updateAt(positionOf(2, 880), changed), true)
	v := l.since(positionOf(1, 900))
	require.True(t, v.complete)
	require.Equal(t, []Record{{Key: "b", Revision: positionOf(2, 870), Gone: true}, changed}, v.records, "unchanged records are not passed on again")
	require.True(t, l.since(positionOf(1, 850)).complete)
	require.False(t, l.since(positionOf(1, 901)).complete, "a follower that knows more of the former era needs a full read")
	require.False(t, l.since(positionOf(3, 1)).complete, "the log cannot serve a follower of a later era")
}

// lossyStore is a store that may lose its latest writes.
type lossyStore struct {
	at      follow.Position
	content map[string]Record
	history []Record
}

func (s *lossyStore) copy() *lossyStore {
	return &lossyStore{at: s.at, content: maps.Clone(s.content), history: slices.Clone(s.history)}
}

// restore returns the store as restored from a backup, in the next era.
func (s *lossyStore) restore(backup *lossyStore) *lossyStore {
	era := s.at.Era() + 1
	out := backup.copy()
	out.at = positionOf(era, backup.at.Revision())
	for key, r := range out.content {
		r.Revision = positionOf(era, r.Revision.Revision())
		out.content[key] = r
	}
	for i := range out.history {
		out.history[i].Revision = positionOf(era, out.history[i].Revision.Revision())
	}
	return out
}

func (s *lossyStore) write(key, value string, gone bool) {
	if _, known := s.content[key]; gone && !known {
		return
	}
	s.at++
	r := Record{Key: key, Value: []byte(value), Revision: s.at, Gone: gone}
	if gone {
		r.Value = nil
	}
	apply(s.content, r)
	s.history = append(s.history, r)
}

// updateLog updates a log from the store as a relay does: with the changes after its position, or with a full read after the
// store has lost writes.
func (s *lossyStore) updateLog(l *feedLog) {
	held, _ := l.progress()
	if held.Era() != s.at.Era() {
		l.reset(update{records: slices.Collect(maps.Values(s.content)), position: s.at}, true)
		return
	}
	got := update{position: s.at}
	for _, r := range s.history {
		if r.Revision > held {
			got.records = append(got.records, r)
		}
	}
	l.append(got, true)
}

// followLog updates a log from another one, as an instance that follows a relay does.
func followLog(l, from *feedLog) {
	held, _ := l.progress()
	v := from.since(held)
	got := v.update
	if !v.complete {
		got = from.all().update
		if got.position < held {
			return
		}
		got.records, got.hasGap = l.diff(got), true
	}
	l.append(got, false)
}

func values(l *feedLog) map[string]string {
	out := map[string]string{}
	for _, r := range l.all().records {
		out[r.Key] = string(r.Value)
	}
	return out
}

// TestFollowersHoldTheContentOfAStoreThatLosesWrites draws random changes, losses and the steps of two relays and of a
// follower that polls either of them.
func TestFollowersHoldTheContentOfAStoreThatLosesWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &lossyStore{at: positionOf(1, 1), content: map[string]Record{}}
		kept := store.copy()
		relays, follower := []*feedLog{newFeedLog(), newFeedLog()}, newFeedLog()
		for _, l := range append(relays, follower) {
			l.reset(update{position: store.at}, true)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			one := relays[rapid.IntRange(0, 1).Draw(t, "relay")]
			switch rapid.SampledFrom([]string{"write", "write", "write", "copy", "lose", "tell", "tell", "hear", "hear"}).Draw(t, "step") {
			case "write":
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				store.write(key, rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value"), rapid.Bool().Draw(t, "gone"))
			case "copy":
				kept = store.copy()
			case "lose":
				store = store.restore(kept)
				kept = store.copy()
			case "tell":
				store.updateLog(one)
			case "hear":
				followLog(follower, one)
			}
		}
		want := map[string]string{}
		for key, r := range store.content {
			want[key] = string(r.Value)
		}
		for _, l := range relays {
			store.updateLog(l)
			require.Equal(t, want, values(l))
		}
		followLog(follower, relays[0])
		require.Equal(t, want, values(follower))
	})
}

// TestFollowerInsideAGapReadsTheFullFeed asks from a position between two full reads, where a key may have been added and
// removed.
func TestFollowerInsideAGapReadsTheFullFeed(t *testing.T) {
	l := newFeedLog()
	l.reset(updateAt(5), true)
	l.reset(updateAt(9), true)
	require.True(t, l.since(5).complete)
	require.False(t, l.since(7).complete)
	require.True(t, l.since(9).complete)
	for n := range follow.Position(2 * maxGaps) {
		l.reset(updateAt(20+10*n), true)
	}
	require.False(t, l.since(15).complete, "the history begins after a gap that has been dropped")
}

// TestEntryRestoredFromABackupKeepsItsRevision removes a key and restores the store from a backup that still holds it. The
// followers of the relay recognize the old entry by its revision.
func TestEntryRestoredFromABackupKeepsItsRevision(t *testing.T) {
	l := newFeedLog()
	old := Record{Key: "a", Value: []byte("old"), Revision: positionOf(1, 700)}
	l.reset(updateAt(positionOf(1, 800), old), true)
	l.append(updateAt(positionOf(1, 900), Record{Key: "a", Revision: positionOf(1, 900), Gone: true}), true)
	old.Revision = positionOf(2, 700)
	l.reset(updateAt(positionOf(2, 870), old), true)
	require.Equal(t, []Record{old}, l.since(positionOf(1, 900)).records)
}

// TestHistoryOfLargeChangesIsBounded guards against a process that runs out of memory since it keeps each of many large configurations.
func TestHistoryOfLargeChangesIsBounded(t *testing.T) {
	const changes, size = 200, 1 << 20
	l := newFeedLog()
	l.reset(updateAt(1), true)
	for i := range changes {
		at := follow.Position(i + 2)
		l.append(updateAt(at, Record{Key: "op", Value: make([]byte, size), Revision: at}), true)
	}
	held := 0
	for _, r := range l.history {
		held += len(r.Value)
	}
	require.LessOrEqual(t, held, maxHistoryBytes)
	latest := l.position
	require.True(t, l.since(latest-1).complete, "those who follow closely get the changes")
	require.Len(t, l.since(latest-1).records, 1)
	require.False(t, l.since(2).complete, "others read the content")
	require.Len(t, l.all().records, 1)
}
