package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/quarantine"
)

const (
	// broadPause and narrowPause are how long after the last end a part is tried, and turnTime how long a turn is.
	broadPause  = 2 * time.Second
	narrowPause = 5 * time.Second
	turnTime    = 2 * time.Second
	// trialRequest is the number of the first request that is tried.
	trialRequest = 1000
)

// try reports whether an attempt at a request is sent as a trial of its parts.
func try(b *quarantine.Book, r int, after time.Duration, ids ...string) bool {
	return b.Try(request(r), fmt.Sprint("attempt-", r), quarantine.PartsOf(service, ids), startTime.Add(after))
}

// bookWithOwnEnds returns the book of an instance that sent all requests of three servers that terminated, several to each.
func bookWithOwnEnds(requestsPerServer int, ids ...string) *quarantine.Book {
	b := quarantine.NewBook(settings)
	for n := range 3 * requestsPerServer {
		b.Suspect(partEnd(n, n/requestsPerServer, ids...), startTime)
	}
	return b
}

// TestAPartBlamedByMistakeIsTriedByOneRequestAtATime guards against refusing a part for minutes that nothing can prove harmless.
func TestAPartBlamedByMistakeIsTriedByOneRequestAtATime(t *testing.T) {
	b := bookWithOwnEnds(3, "sound")
	require.Equal(t, "sound", refusedFor(b, "sound"))
	require.False(t, try(b, trialRequest, broadPause-1, "sound"))
	require.True(t, try(b, trialRequest, broadPause, "sound"))
	require.True(t, try(b, trialRequest, broadPause+1, "sound"), "the same attempt before it is sent")
	require.False(t, try(b, trialRequest+1, broadPause+1, "sound"))
	require.True(t, try(b, trialRequest+1, broadPause+turnTime, "sound"), "the first trial has told nothing")
	b.Prove(quarantine.PartsOf(service, []string{"sound"}), startTime.Add(broadPause+turnTime))
	require.Empty(t, refusedFor(b, "sound"))
}

// TestAHarmfulPartIsTriedOnce guards the number of servers that it terminates once it is known.
func TestAHarmfulPartIsTriedOnce(t *testing.T) {
	b := bookWithOwnEnds(1, "bad")
	require.False(t, try(b, trialRequest, narrowPause-1, "bad"))
	require.True(t, try(b, trialRequest, narrowPause, "bad"))
	b.Suspect(partEnd(trialRequest, 3, "bad"), startTime.Add(narrowPause))
	require.False(t, try(b, trialRequest, narrowPause+1, "bad"), "a server has terminated under it")
	for after := narrowPause; after < settings.Keep; after += turnTime / 2 {
		require.False(t, try(b, trialRequest+int(after/time.Second), after, "bad"), "after %v", after)
	}
}

// TestARequestWithAHarmfulPartIsNoTrialOfWhatItSharesWithSoundOnes guards against failing the trials of parts blamed by mistake.
func TestARequestWithAHarmfulPartIsNoTrialOfWhatItSharesWithSoundOnes(t *testing.T) {
	b := bookWithOwnEnds(3, "sound")
	for n := range 3 {
		b.Suspect(partEnd(100+n, n, "sound", "bad"), startTime)
	}
	for after := broadPause; after < settings.Keep; after += turnTime {
		require.False(t, try(b, trialRequest+int(after/time.Second), after, "sound", "bad"), "after %v", after)
	}
}

// TestOneInstanceAtATimeTriesAPart gives each of several instances one of the ends, and requests with the part at the same time.
func TestOneInstanceAtATimeTriesAPart(t *testing.T) {
	const instances = 8
	var books []*quarantine.Book
	for n := range instances {
		b := quarantine.NewBook(settings)
		for other := range instances {
			if e := partEnd(other, other, "part"); other == n {
				b.Suspect(e, startTime)
			} else {
				b.AddListed(e, startTime)
			}
		}
		books = append(books, b)
	}
	tried := map[int]bool{}
	for turn := range 2 {
		for n, b := range books {
			if try(b, trialRequest+n, narrowPause+time.Duration(turn)*turnTime, "part") {
				tried[n] = true
			}
		}
		require.Len(t, tried, turn+1)
	}
}

// TestAQuarantineForAPartLastsUntilItsTrial guards callers of sound requests against being told to come back in minutes.
func TestAQuarantineForAPartLastsUntilItsTrial(t *testing.T) {
	b := bookWithOwnEnds(3, "sound")
	_, left, ok := b.QuarantinedPart(quarantine.PartsOf(service, []string{"sound"}), startTime.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, broadPause+turnTime-time.Second, left)
}
