package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/quarantine"
)

// begin is when the tests begin.
var begin = time.Unix(1000, 0)

var terms = quarantine.Terms{Ends: 3, EndsOfOne: 4, Keep: time.Minute, Most: 100}

func request(n int) quarantine.Fingerprint {
	return quarantine.FingerprintOf(nil, fmt.Append(nil, n), "", nil)
}

func end(r quarantine.Fingerprint, server int, attempt string) quarantine.End {
	return quarantine.NewEnd(r, fmt.Sprint("server-", server), attempt)
}

// keptFrom reports whether an attempt is kept from servers at the begin of the tests.
func keptFrom(b *quarantine.Book, r quarantine.Fingerprint, attempt string) bool {
	_, ok := b.Kept(r, quarantine.Short(attempt), begin)
	return ok
}

// TestTheThirdEndKeepsOtherAttemptsFromServers guards the bound: at most three more sends once the news of the third end is everywhere.
func TestTheThirdEndKeepsOtherAttemptsFromServers(t *testing.T) {
	b, r := quarantine.NewBook(terms), request(1)
	for n := range 3 {
		require.False(t, keptFrom(b, r, "later"), "%d ends", n)
		b.Suspect(end(r, n, "first"), begin)
	}
	require.True(t, keptFrom(b, r, "later"))
	require.False(t, keptFrom(b, r, "first"), "one attempt may have been beside the one that did it")
	b.Hear(end(r, 3, "first"), begin)
	require.True(t, keptFrom(b, r, "first"))
	require.False(t, keptFrom(b, request(2), "later"))
}

func TestSeveralAttemptsAreKeptFromTheThirdEndOn(t *testing.T) {
	b, r := quarantine.NewBook(terms), request(1)
	for n, attempt := range []string{"a", "b", "a"} {
		b.Confirm(end(r, n, attempt), begin)
	}
	require.True(t, keptFrom(b, r, "a"))
}

// TestAnEndThatManySawCountsOnce lets several instances tell of the same server.
func TestAnEndThatManySawCountsOnce(t *testing.T) {
	b, r := quarantine.NewBook(terms), request(1)
	for n := range 10 {
		b.Hear(end(r, 1, fmt.Sprint(n)), begin)
	}
	require.Equal(t, 1, b.Ends(r))
	require.False(t, keptFrom(b, r, "later"))
}

func TestAServerThatIsThereCountsNoMore(t *testing.T) {
	b, r := quarantine.NewBook(terms), request(1)
	for n := range 3 {
		b.Suspect(end(r, n, "first"), begin)
	}
	b.Withdraw(end(r, 0, "first"))
	require.False(t, keptFrom(b, r, "later"))
	b.Confirm(end(r, 1, "first"), begin)
	b.Withdraw(end(r, 1, "first"))
	require.Equal(t, 2, b.Ends(r), "what is confirmed stays")
}

// TestOneGoodEndProvesAPopularRequestHarmless lets servers crash beside a request that many callers send in the same words.
func TestOneGoodEndProvesAPopularRequestHarmless(t *testing.T) {
	b, r := quarantine.NewBook(terms), request(1)
	b.Hear(end(r, 0, "a"), begin)
	b.Hear(end(r, 1, "b"), begin)
	require.Equal(t, 2, b.Absolve(r))
	require.Zero(t, b.Size())
	ends, absolved := b.Untold(10)
	require.Empty(t, ends)
	require.Len(t, absolved, 2, "the others are told")
	b.Told(ends, absolved)
	_, absolved = b.Untold(10)
	require.Empty(t, absolved)
	b.Hear(end(r, 2, "c"), begin)
	require.False(t, keptFrom(b, r, "later"))
}

func TestOneEndIsForgottenWithoutAWord(t *testing.T) {
	b, r := quarantine.NewBook(terms), request(1)
	b.Hear(end(r, 0, "a"), begin)
	require.Equal(t, 1, b.Absolve(r))
	_, absolved := b.Untold(10)
	require.Empty(t, absolved)
}

func TestEndsAreToldOnce(t *testing.T) {
	b, r := quarantine.NewBook(terms), request(1)
	b.Suspect(end(r, 0, "a"), begin)
	ends, _ := b.Untold(10)
	require.Empty(t, ends, "it is not known whether the server has ended")
	require.True(t, b.Confirm(end(r, 0, "a"), begin))
	require.False(t, b.Confirm(end(r, 0, "b"), begin))
	ends, absolved := b.Untold(10)
	require.Equal(t, []quarantine.End{end(r, 0, "a")}, ends)
	b.Told(ends, absolved)
	ends, _ = b.Untold(10)
	require.Empty(t, ends)
}

func TestAWholeReadingDropsWhatIsNoLongerKept(t *testing.T) {
	b, r := quarantine.NewBook(terms), request(1)
	b.Hear(end(r, 0, "a"), begin)
	b.Hear(end(r, 1, "a"), begin)
	b.Confirm(end(r, 2, "a"), begin)
	b.Replace([]quarantine.End{end(r, 1, "a"), end(request(2), 1, "b")}, begin)
	require.Equal(t, 2, b.Ends(r), "the one that is listed and the own one that nobody could read yet")
	require.Equal(t, 1, b.Ends(request(2)))
}

func TestEndsCountForTheirTime(t *testing.T) {
	b, r := quarantine.NewBook(terms), request(1)
	for n := range 3 {
		b.Hear(end(r, n, "a"), begin)
	}
	left, ok := b.Kept(r, quarantine.Short("later"), begin.Add(terms.Keep/4))
	require.True(t, ok)
	require.Equal(t, terms.Keep*3/4, left)
	b.Tidy(begin.Add(terms.Keep + 1))
	require.Zero(t, b.Size())
}

// TestAFloodOfRequestsFreesNone lets many requests have one end each, as all that a server ran when it ended.
func TestAFloodOfRequestsFreesNone(t *testing.T) {
	b, r := quarantine.NewBook(terms), request(-1)
	for n := range 3 {
		b.Hear(end(r, n, "a"), begin)
	}
	for n := range 10 * terms.Most {
		b.Hear(end(request(n), 1, "a"), begin)
	}
	require.Equal(t, terms.Most, b.Size())
	require.True(t, keptFrom(b, r, "later"))
}

// TestWhatIsKeptDependsOnTheEndsAlone tells several instances the same ends in different orders, some of them twice.
func TestWhatIsKeptDependsOnTheEndsAlone(t *testing.T) {
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
		want := len(servers) >= terms.EndsOfOne || len(servers) >= terms.Ends && (len(attempts) > 1 || !attempts["a"])
		for range 3 {
			b := quarantine.NewBook(terms)
			for _, e := range rapid.Permutation(append(ends, ends...)).Draw(t, "order") {
				b.Hear(e, begin)
			}
			if got := keptFrom(b, r, "a"); got != want {
				t.Fatalf("kept: %v, want %v", got, want)
			}
		}
	})
}

// TestARequestThatIsTriedAgainCostsOneServer lets the ends of a request lapse, as others see it by their removal, and one more server end.
func TestARequestThatIsTriedAgainCostsOneServer(t *testing.T) {
	for _, removed := range []bool{true, false} {
		b, r := quarantine.NewBook(terms), request(1)
		for n := range 3 {
			b.Hear(end(r, n, "a"), begin)
		}
		later := begin.Add(terms.Keep + 1)
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

// TestWhatOthersTookBackIsNotRemembered lets another instance see a good run.
func TestWhatOthersTookBackIsNotRemembered(t *testing.T) {
	b, r := quarantine.NewBook(terms), request(1)
	for n := range 3 {
		b.Hear(end(r, n, "a"), begin)
	}
	for n := range 3 {
		b.Forget(end(r, n, "a"), begin.Add(time.Second))
	}
	b.Hear(end(r, 7, "b"), begin)
	require.False(t, keptFrom(b, r, "c"))
}
