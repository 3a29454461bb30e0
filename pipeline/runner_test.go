package pipeline_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/models"
	"junctioncross/pipeline"
	"junctioncross/route"
	"junctioncross/standin"
)

const (
	modelName = "m"
	layers    = 8
)

var model = standin.NewModel(modelName, "v", layers)

// TestAnswersAreCompleteDespiteSingleFailures drops and corrupts the answers to single calls at random positions.
func TestAnswersAreCompleteDespiteSingleFailures(t *testing.T) {
	b := newTestbed(t)
	rapid.Check(t, func(rt *rapid.T) {
		for _, s := range b.servers {
			s.calls.Store(0)
			s.dropReplyAt.Store(int32(rapid.IntRange(0, 20).Draw(rt, "lose")))
			s.corruptAt.Store(int32(rapid.IntRange(0, 20).Draw(rt, "cross")))
		}
		got, err := b.run("r", "one two three", 12)
		require.NoError(rt, err)
		require.Equal(rt, wantText("one two three", 12), got)
	})
}

func TestAFailedServerIsReplaced(t *testing.T) {
	for failing := range 4 {
		b := newTestbed(t)
		b.servers[failing].failFrom.Store(3)
		for i := 0; i < 200 && b.stats.Counter("recoveries_total").Count() == 0; i++ {
			got, err := b.run(fmt.Sprint(i), "hello there", 10)
			require.NoError(t, err)
			require.Equal(t, wantText("hello there", 10), got)
		}
		require.Positive(t, b.stats.Counter("recoveries_total").Count())
	}
}

// TestAnAnswerThatHasBegunIsResumedAfterTemporaryRefusals guards against cutting an answer off while its layers are loaded again.
// All servers of one half of the model start no frame for four seconds in the middle of the answer, as when layers are moved
// after a server has terminated. They refuse at once, and these refusals must not use up the attempts.
func TestAnAnswerThatHasBegunIsResumedAfterTemporaryRefusals(t *testing.T) {
	b := newTestbed(t)
	refuse := func(refuses bool) {
		b.servers[1].refuses.Store(refuses)
		b.servers[3].refuses.Store(refuses)
	}
	var text strings.Builder
	q := &pipeline.Request{ID: "r", Model: modelName, Prompt: "hello there", MaxTokens: 10, Graph: func() *route.Graph { return b.graph }}
	err := b.runner.Run(t.Context(), q, func(token pipeline.Token) error {
		if text.Len() == 0 {
			refuse(true)
			time.AfterFunc(4*time.Second, func() { refuse(false) })
		}
		text.WriteString(token.Piece)
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, wantText("hello there", 10), text.String())
}

// TestAnAnswerThatHasBegunIsResumedAfterLostConnections guards against cutting an answer off while no server of a stage can be
// reached: behind a proxy, the connection to a server that has terminated is accepted and closed. The servers of one half of the
// model close more connections in the middle of the answer than a request has attempts, as when one has terminated and the other
// is loading its layers.
func TestAnAnswerThatHasBegunIsResumedAfterLostConnections(t *testing.T) {
	const moreThanAttempts = 14
	b := newTestbed(t)
	var closing atomic.Int32
	closing.Store(moreThanAttempts)
	var text strings.Builder
	q := &pipeline.Request{ID: "r", Model: modelName, Prompt: "hello there", MaxTokens: 10, Graph: func() *route.Graph { return b.graph }}
	err := b.runner.Run(t.Context(), q, func(token pipeline.Token) error {
		if text.Len() == 0 {
			b.servers[1].closing.Store(&closing)
			b.servers[3].closing.Store(&closing)
		}
		text.WriteString(token.Piece)
		return nil
	})
	require.NoError(t, err)
	require.Negative(t, closing.Load(), "all connections were closed")
	require.Equal(t, wantText("hello there", 10), text.String())
}

// TestAnAnswerThatKeepsLosingItsServersIsCutOff guards against losing servers without end to a request under which they terminate:
// each token is followed by a lost connection.
func TestAnAnswerThatKeepsLosingItsServersIsCutOff(t *testing.T) {
	b := newTestbed(t)
	var closing atomic.Int32
	b.servers[1].closing.Store(&closing)
	b.servers[3].closing.Store(&closing)
	q := &pipeline.Request{ID: "r", Model: modelName, Prompt: "hello there", MaxTokens: 30, Graph: func() *route.Graph { return b.graph }}
	tokens := 0
	err := b.runner.Run(t.Context(), q, func(pipeline.Token) error {
		tokens++
		closing.Store(1)
		return nil
	})
	require.Equal(t, models.FateUnknown, fateOf(t, err))
	require.Less(t, tokens, 14)
}

// TestARequestThatNoServerStartsIsRefusedAsNotRun checks that a request that all servers refuse from the beginning fails with
// FateNotRun, so that its caller can send it to another instance.
func TestARequestThatNoServerStartsIsRefusedAsNotRun(t *testing.T) {
	b := newTestbed(t)
	for _, s := range b.servers {
		s.refuses.Store(true)
	}
	_, err := b.run("r", "x", 3)
	require.Equal(t, models.FateNotRun, fateOf(t, err))
}

func TestFailuresReportWhetherTheRequestMayHaveRun(t *testing.T) {
	t.Run("nothing was sent", func(t *testing.T) {
		b := newTestbed(t)
		for _, s := range b.servers {
			require.NoError(t, s.http.Shutdown())
		}
		_, err := b.run("r", "x", 3)
		require.Equal(t, models.FateNotRun, fateOf(t, err))
	})
	t.Run("the first half ran", func(t *testing.T) {
		b := newTestbed(t)
		require.NoError(t, b.servers[1].http.Shutdown())
		require.NoError(t, b.servers[3].http.Shutdown())
		_, err := b.run("r", "x", 3)
		require.Equal(t, models.FateUnknown, fateOf(t, err))
	})
	t.Run("no path", func(t *testing.T) {
		b := newTestbed(t)
		b.graph = route.NewGraph(layers, nil)
		_, err := b.run("r", "x", 3)
		require.Equal(t, models.FateNotRun, fateOf(t, err))
	})
}

func fateOf(t *testing.T, err error) models.Fate {
	var f *pipeline.Failure
	require.True(t, errors.As(err, &f), "%v", err)
	return f.Fate()
}

func TestADisconnectedCallerEndsTheRunAndFreesTheServers(t *testing.T) {
	b := newTestbed(t)
	q := &pipeline.Request{ID: "r", Model: modelName, Prompt: "x", MaxTokens: 50, Graph: func() *route.Graph { return b.graph }}
	err := b.runner.Run(t.Context(), q, func(pipeline.Token) error { return errors.New("gone") })
	var f *pipeline.Failure
	require.True(t, errors.As(err, &f))
	require.Equal(t, models.ReasonCallerGone, f.Reason())
	require.Eventually(t, func() bool {
		held := 0
		for _, s := range b.servers {
			held += s.engine.Tally().Held
		}
		return held == 0
	}, 10*time.Second, time.Millisecond)
}
