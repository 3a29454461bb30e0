package pipeline_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAnswersAreCompleteAlthoughAllServersFallSilent guards against servers that are taken for lost since they are silent for a second.
func TestAnswersAreCompleteAlthoughAllServersFallSilent(t *testing.T) {
	const soundSilence, answers, tokens = 1200 * time.Millisecond, 40, 100
	for name, begun := range map[string]bool{"before answers": false, "in the middle of answers": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			for n := range 10 {
				_, err := b.run(fmt.Sprint("warm-", n), "some words", tokens)
				require.NoError(t, err)
			}
			fall := func() {
				for _, s := range b.servers {
					s.fallSilent(soundSilence)
				}
			}
			if !begun {
				fall()
			}
			var callers sync.WaitGroup
			for n := range answers {
				callers.Go(func() {
					got, err := b.run(fmt.Sprint("r", n), "some words", tokens)
					if assert.NoError(t, err) {
						assert.Equal(t, wantText("some words", tokens), got)
					}
				})
			}
			if begun {
				time.Sleep(20 * time.Millisecond)
				fall()
			}
			callers.Wait()
			require.Positive(t, b.stats.Counter("servers_stalled_total").Count())
		})
	}
}
