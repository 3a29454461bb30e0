package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/quarantine"
)

// startTime is the time at which the tests start.
var startTime = time.Unix(1000, 0)

var settings = quarantine.Settings{Ends: 3, EndsOfOne: 4, Keep: time.Minute, MaxRequests: 100}

func request(n int) quarantine.Fingerprint {
	return quarantine.FingerprintOf(nil, fmt.Append(nil, n), "", nil)
}

func end(r quarantine.Fingerprint, server int, attempt string) quarantine.End {
	return quarantine.NewEnd(r, fmt.Sprint("server-", server), attempt)
}

// quarantined reports whether an attempt is quarantined at startTime.
func quarantined(b *quarantine.Book, r quarantine.Fingerprint, attempt string) bool {
	_, ok := b.Quarantined(r, quarantine.ShortDigest(attempt), startTime)
	return ok
}

// TestTheThirdEndQuarantinesOtherAttempts guards the bound on servers that a harmful request can terminate: at most
// three more sends after the third end is known to all instances.
func TestTheThirdEndQuarantinesOtherAttempts(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	for n := range 3 {
		require.False(t, quarantined(b, r, "later"), "%d ends", n)
		b.Suspect(end(r, n, "first"), startTime)
	}
	require.True(t, quarantined(b, r, "later"))
	require.False(t, quarantined(b, r, "first"), "a single attempt may only have run beside the harmful request")
	b.AddListed(end(r, 3, "first"), startTime)
	require.True(t, quarantined(b, r, "first"))
	require.False(t, quarantined(b, request(2), "later"))
}

func TestSeveralAttemptsAreQuarantinedFromTheThirdEndOn(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	for n, attempt := range []string{"a", "b", "a"} {
		b.Confirm(end(r, n, attempt), startTime)
	}
	require.True(t, quarantined(b, r, "a"))
}

// TestAnEndReportedBySeveralInstancesCountsOnce adds the end of one server as seen by several instances.
func TestAnEndReportedBySeveralInstancesCountsOnce(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	for n := range 10 {
		b.AddListed(end(r, 1, fmt.Sprint(n)), startTime)
	}
	require.Equal(t, 1, b.Ends(r))
	require.False(t, quarantined(b, r, "later"))
}

func TestAWithdrawnEndNoLongerCounts(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	for n := range 3 {
		b.Suspect(end(r, n, "first"), startTime)
	}
	b.Withdraw(end(r, 0, "first"))
	require.False(t, quarantined(b, r, "later"))
	b.Confirm(end(r, 1, "first"), startTime)
	b.Withdraw(end(r, 1, "first"))
	require.Equal(t, 2, b.Ends(r), "what is confirmed stays")
}

// TestOneSuccessfulRunClearsARequest guards against the quarantine of a harmless request: many callers send the same
// request, and servers terminate for other reasons while they run it.
func TestOneSuccessfulRunClearsARequest(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	b.AddListed(end(r, 0, "a"), startTime)
	b.AddListed(end(r, 1, "b"), startTime)
	require.Equal(t, 2, b.Clear(r))
	require.Zero(t, b.Size())
	ends, cleared := b.Unpublished(10)
	require.Empty(t, ends)
	require.Len(t, cleared, 2, "their records have to be removed from the store")
	b.MarkPublished(ends, cleared)
	_, cleared = b.Unpublished(10)
	require.Empty(t, cleared)
	b.AddListed(end(r, 2, "c"), startTime)
	require.False(t, quarantined(b, r, "later"))
}

func TestClearingASingleEndIsNotPublished(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	b.AddListed(end(r, 0, "a"), startTime)
	require.Equal(t, 1, b.Clear(r))
	_, cleared := b.Unpublished(10)
	require.Empty(t, cleared)
}

func TestEndsArePublishedOnce(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	b.Suspect(end(r, 0, "a"), startTime)
	ends, _ := b.Unpublished(10)
	require.Empty(t, ends, "it is not known whether the server has ended")
	require.True(t, b.Confirm(end(r, 0, "a"), startTime))
	require.False(t, b.Confirm(end(r, 0, "b"), startTime))
	ends, cleared := b.Unpublished(10)
	require.Equal(t, []quarantine.End{end(r, 0, "a")}, ends)
	b.MarkPublished(ends, cleared)
	ends, _ = b.Unpublished(10)
	require.Empty(t, ends)
}

func TestAFullReadDropsUnlistedEnds(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	b.AddListed(end(r, 0, "a"), startTime)
	b.AddListed(end(r, 1, "a"), startTime)
	b.Confirm(end(r, 2, "a"), startTime)
	b.Replace([]quarantine.End{end(r, 1, "a"), end(request(2), 1, "b")}, startTime)
	require.Equal(t, 2, b.Ends(r), "the listed one and the own one that is not published yet")
	require.Equal(t, 1, b.Ends(request(2)))
}

func TestEndsExpire(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	for n := range 3 {
		b.AddListed(end(r, n, "a"), startTime)
	}
	left, ok := b.Quarantined(r, quarantine.ShortDigest("later"), startTime.Add(settings.Keep/4))
	require.True(t, ok)
	require.Equal(t, settings.Keep*3/4, left)
	b.Expire(startTime.Add(settings.Keep + 1))
	require.Zero(t, b.Size())
}

// TestAFloodOfRequestsEvictsNoQuarantinedRequest adds many requests with one end each, as when a server terminates that
// ran them all.
func TestAFloodOfRequestsEvictsNoQuarantinedRequest(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(-1)
	for n := range 3 {
		b.AddListed(end(r, n, "a"), startTime)
	}
	for n := range 10 * settings.MaxRequests {
		b.AddListed(end(request(n), 1, "a"), startTime)
	}
	require.Equal(t, settings.MaxRequests, b.Size())
	require.True(t, quarantined(b, r, "later"))
}

// TestQuarantineDoesNotDependOnTheOrderOfEnds adds the same ends in different orders, each of them twice.
func TestQuarantineDoesNotDependOnTheOrderOfEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := request(1)
		var ends []quarantine.End
		attempts := map[string]bool{}
		servers := map[int]bool{}
		for range rapid.IntRange(0, 8).Draw(t, "ends") {
			server, attempt := rapid.IntRange(0, 5).Draw(t, "server"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "attempt")
			servers[server], attempts[attempt] = true, true
			ends = append(ends, end(r, server, attempt))
		}
		want := len(servers) >= settings.EndsOfOne || len(servers) >= settings.Ends && (len(attempts) > 1 || !attempts["a"])
		for range 3 {
			b := quarantine.NewBook(settings)
			for _, e := range rapid.Permutation(append(ends, ends...)).Draw(t, "order") {
				b.AddListed(e, startTime)
			}
			if got := quarantined(b, r, "a"); got != want {
				t.Fatalf("quarantined: %v, want %v", got, want)
			}
		}
	})
}

// TestAReleasedRequestIsQuarantinedAfterOneEnd lets the ends of a request expire, by their removal from the store or by
// time; then one more server terminates under the request.
func TestAReleasedRequestIsQuarantinedAfterOneEnd(t *testing.T) {
	for _, removed := range []bool{true, false} {
		b, r := quarantine.NewBook(settings), request(1)
		for n := range 3 {
			b.AddListed(end(r, n, "a"), startTime)
		}
		later := startTime.Add(settings.Keep + 1)
		for n := range 3 {
			if removed {
				b.Forget(end(r, n, "a"), later)
			}
		}
		b.Expire(later)
		_, isQuarantined := b.Quarantined(r, quarantine.ShortDigest("again"), later)
		require.False(t, isQuarantined, "it has been released")
		b.Suspect(end(r, 7, "again"), later)
		_, isQuarantined = b.Quarantined(r, quarantine.ShortDigest("again"), later)
		require.True(t, isQuarantined)
		b.Clear(r)
		b.Suspect(end(r, 8, "again"), later)
		_, isQuarantined = b.Quarantined(r, quarantine.ShortDigest("again"), later)
		require.False(t, isQuarantined, "it has been cleared")
	}
}

// TestARequestWhoseEndsWereRemovedEarlyIsNotReleased has another instance clear the request after a successful run.
func TestARequestWhoseEndsWereRemovedEarlyIsNotReleased(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	for n := range 3 {
		b.AddListed(end(r, n, "a"), startTime)
	}
	for n := range 3 {
		b.Forget(end(r, n, "a"), startTime.Add(time.Second))
	}
	b.AddListed(end(r, 7, "b"), startTime)
	require.False(t, quarantined(b, r, "c"))
}
