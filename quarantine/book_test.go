package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/quarantine"
)

// startTime is when the tests startTime.
var startTime = time.Unix(1000, 0)

var settings = quarantine.Terms{Ends: 3, EndsOfOne: 4, Keep: time.Minute, Most: 100}

func request(n int) quarantine.Fingerprint {
	return quarantine.FingerprintOf(nil, fmt.Append(nil, n), "", nil)
}

func end(r quarantine.Fingerprint, server int, attempt string) quarantine.End {
	return quarantine.NewEnd(r, fmt.Sprint("server-", server), attempt)
}

// quarantined reports whether an attempt is kept from servers at the begin of the tests.
func quarantined(b *quarantine.Book, r quarantine.Fingerprint, attempt string) bool {
	_, ok := b.Kept(r, quarantine.Short(attempt), startTime)
	return ok
}

// TestTheThirdEndQuarantinesOtherAttempts guards the bound: at most three more sends once the news of the third end is everywhere.
func TestTheThirdEndQuarantinesOtherAttempts(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	for n := range 3 {
		require.False(t, quarantined(b, r, "later"), "%d ends", n)
		b.Suspect(end(r, n, "first"), startTime)
	}
	require.True(t, quarantined(b, r, "later"))
	require.False(t, quarantined(b, r, "first"), "one attempt may have been beside the one that did it")
	b.Hear(end(r, 3, "first"), startTime)
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

// TestAnEndReportedBySeveralInstancesCountsOnce lets several instances tell of the same server.
func TestAnEndReportedBySeveralInstancesCountsOnce(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	for n := range 10 {
		b.Hear(end(r, 1, fmt.Sprint(n)), startTime)
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

// TestOneSuccessfulRunClearsARequest lets servers crash beside a request that many callers send in the same words.
func TestOneSuccessfulRunClearsARequest(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	b.Hear(end(r, 0, "a"), startTime)
	b.Hear(end(r, 1, "b"), startTime)
	require.Equal(t, 2, b.Absolve(r))
	require.Zero(t, b.Size())
	ends, absolved := b.Untold(10)
	require.Empty(t, ends)
	require.Len(t, absolved, 2, "the others are told")
	b.Told(ends, absolved)
	_, absolved = b.Untold(10)
	require.Empty(t, absolved)
	b.Hear(end(r, 2, "c"), startTime)
	require.False(t, quarantined(b, r, "later"))
}

func TestClearingASingleEndIsNotPublished(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	b.Hear(end(r, 0, "a"), startTime)
	require.Equal(t, 1, b.Absolve(r))
	_, absolved := b.Untold(10)
	require.Empty(t, absolved)
}

func TestEndsArePublishedOnce(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	b.Suspect(end(r, 0, "a"), startTime)
	ends, _ := b.Untold(10)
	require.Empty(t, ends, "it is not known whether the server has ended")
	require.True(t, b.Confirm(end(r, 0, "a"), startTime))
	require.False(t, b.Confirm(end(r, 0, "b"), startTime))
	ends, absolved := b.Untold(10)
	require.Equal(t, []quarantine.End{end(r, 0, "a")}, ends)
	b.Told(ends, absolved)
	ends, _ = b.Untold(10)
	require.Empty(t, ends)
}

func TestAFullReadDropsUnlistedEnds(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	b.Hear(end(r, 0, "a"), startTime)
	b.Hear(end(r, 1, "a"), startTime)
	b.Confirm(end(r, 2, "a"), startTime)
	b.Replace([]quarantine.End{end(r, 1, "a"), end(request(2), 1, "b")}, startTime)
	require.Equal(t, 2, b.Ends(r), "the one that is listed and the own one that nobody could read yet")
	require.Equal(t, 1, b.Ends(request(2)))
}

func TestEndsExpire(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	for n := range 3 {
		b.Hear(end(r, n, "a"), startTime)
	}
	left, ok := b.Kept(r, quarantine.Short("later"), startTime.Add(settings.Keep/4))
	require.True(t, ok)
	require.Equal(t, settings.Keep*3/4, left)
	b.Tidy(startTime.Add(settings.Keep + 1))
	require.Zero(t, b.Size())
}

// TestAFloodOfRequestsEvictsNoQuarantinedRequest lets many requests have one end each, as all that a server ran when it ended.
func TestAFloodOfRequestsEvictsNoQuarantinedRequest(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(-1)
	for n := range 3 {
		b.Hear(end(r, n, "a"), startTime)
	}
	for n := range 10 * settings.Most {
		b.Hear(end(request(n), 1, "a"), startTime)
	}
	require.Equal(t, settings.Most, b.Size())
	require.True(t, quarantined(b, r, "later"))
}

// TestQuarantineDoesNotDependOnTheOrderOfEnds tells several instances the same ends in different orders, some of them twice.
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
				b.Hear(e, startTime)
			}
			if got := quarantined(b, r, "a"); got != want {
				t.Fatalf("kept: %v, want %v", got, want)
			}
		}
	})
}

// TestAReleasedRequestIsQuarantinedAfterOneEnd lets the ends of a request lapse, as others see it by their removal, and one more server end.
func TestAReleasedRequestIsQuarantinedAfterOneEnd(t *testing.T) {
	for _, removed := range []bool{true, false} {
		b, r := quarantine.NewBook(settings), request(1)
		for n := range 3 {
			b.Hear(end(r, n, "a"), startTime)
		}
		later := startTime.Add(settings.Keep + 1)
		for n := range 3 {
			if removed {
				b.Forget(end(r, n, "a"), later)
			}
		}
		b.Tidy(later)
		_, kept := b.Kept(r, quarantine.Short("again"), later)
		require.False(t, kept, "it is tried again")
		b.Suspect(end(r, 7, "again"), later)
		_, kept = b.Kept(r, quarantine.Short("again"), later)
		require.True(t, kept)
		b.Absolve(r)
		b.Suspect(end(r, 8, "again"), later)
		_, kept = b.Kept(r, quarantine.Short("again"), later)
		require.False(t, kept, "it has proved harmless")
	}
}

// TestARequestWhoseEndsWereRemovedEarlyIsNotReleased lets another instance see a good run.
func TestARequestWhoseEndsWereRemovedEarlyIsNotReleased(t *testing.T) {
	b, r := quarantine.NewBook(settings), request(1)
	for n := range 3 {
		b.Hear(end(r, n, "a"), startTime)
	}
	for n := range 3 {
		b.Forget(end(r, n, "a"), startTime.Add(time.Second))
	}
	b.Hear(end(r, 7, "b"), startTime)
	require.False(t, quarantined(b, r, "c"))
}
