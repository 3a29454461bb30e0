package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/follow"
)

func at(revision follow.Position, records ...Record) heard {
	return heard{records: records, at: revision, known: time.Unix(int64(revision), 0)}
}

// TestAReadingAfterTheStoreForgotServesThoseThatAreBehind changes, adds and removes keys between two whole readings.
func TestAReadingAfterTheStoreForgotServesThoseThatAreBehind(t *testing.T) {
	l := newFeedLog()
	l.restart(at(5, Record{Key: "a", Revision: 1}, Record{Key: "b", Revision: 2}, Record{Key: "c", Revision: 3}), true)
	l.restart(at(9, Record{Key: "a", Revision: 1}, Record{Key: "b", Revision: 7}, Record{Key: "d", Revision: 8}), true)
	v := l.since(5)
	require.True(t, v.whole)
	require.Equal(t, []Record{{Key: "b", Revision: 7}, {Key: "d", Revision: 8}, {Key: "c", Revision: 9, Gone: true}}, v.records)
	require.False(t, l.since(4).whole, "nobody is told of a history that was never read")
}

// TestWhoFollowsALogHasItsContent draws changes and whole readings, and followers that ask at any time.
func TestWhoFollowsALogHasItsContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, revision := map[string]Record{}, follow.Position(1)
		l := newFeedLog()
		l.restart(at(revision), true)
		follower, heardTo := map[string]Record{}, revision
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
				l.restart(at(revision, all...), true)
			} else {
				l.extend(at(revision, r), true)
			}
			if rapid.Bool().Draw(t, "asks") {
				v := l.since(heardTo)
				require.True(t, v.whole)
				for _, one := range v.records {
					apply(follower, one)
				}
				heardTo = v.at
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
