package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/call"
)

// longerThanAnyGap is longer than any gap between two requests in these tests.
const longerThanAnyGap = time.Hour

func namedLimit(perSecond float64) call.Limit { return call.Limit{Named: true, PerSecond: perSecond} }

func TestALimitEndsWithTheAnswerToALaterRequestThatNamesNone(t *testing.T) {
	s, start := NewServer(Entry{ID: "1"}), time.Unix(0, 0)
	require.True(t, s.UpdateLimit(namedLimit(4), start, start.Add(time.Second)))
	require.False(t, s.UpdateLimit(call.Limit{}, start, start.Add(2*time.Second)), "the request was sent before the limit was named")
	require.False(t, s.WithinLimit(1, start.Add(2*time.Second)))
	require.True(t, s.UpdateLimit(call.Limit{}, start.Add(2*time.Second), start.Add(3*time.Second)))
	require.True(t, s.WithinLimit(1, start.Add(3*time.Second)))
}

func TestALimitThatCannotBeReadChangesNothing(t *testing.T) {
	s, start := NewServer(Entry{ID: "1"}), time.Unix(0, 0)
	require.False(t, s.UpdateLimit(namedLimit(-1), start, start))
	require.True(t, s.WithinLimit(1, start))
	require.True(t, s.UpdateLimit(namedLimit(4), start, start))
	require.False(t, s.UpdateLimit(namedLimit(-1), start.Add(time.Second), start.Add(time.Second)))
	require.False(t, s.WithinLimit(1, start.Add(time.Second)))
}

func TestAPermitIsUsedOnce(t *testing.T) {
	s, start := NewServer(Entry{ID: "1"}), time.Unix(0, 0)
	s.UpdateLimit(namedLimit(1), start, start)
	now := start.Add(longerThanAnyGap)
	require.True(t, s.WithinLimit(1, now))
	require.True(t, s.TakePermit(1, now))
	require.False(t, s.TakePermit(1, now))
	next, period, limited := s.NextPermit(1)
	require.True(t, limited)
	require.Equal(t, now.Add(period), next)
	require.True(t, s.TakePermit(1, next))
}

func TestALimitOutlastsAnEntryThatLapses(t *testing.T) {
	former, now := NewServer(Entry{ID: "1", Born: 1}), time.Unix(0, 0)
	former.UpdateLimit(namedLimit(4), now, now)
	require.True(t, former.HasNotices(now.Add(longerThanAnyGap)))
	s := NewServer(Entry{ID: "1", Born: 1})
	s.Inherit(former)
	require.False(t, s.WithinLimit(1, now.Add(time.Second)))
}
