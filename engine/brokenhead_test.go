package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/httphead/headcase"
	"junctioncross/httphead/headtest"
)

// TestACallWithABrokenAnswerMayHaveRun guards against frames, orders and reports that count although the head of their answer was mended.
func TestACallWithABrokenAnswerMayHaveRun(t *testing.T) {
	done, err := Encode(true)
	require.NoError(t, err)
	step, err := Encode(StepReply{})
	require.NoError(t, err)
	report, err := Encode(Report{Incarnation: 1, State: StateReady})
	require.NoError(t, err)
	for _, c := range headcase.Broken() {
		t.Run(c.String(), func(t *testing.T) {
			client := NewClient()
			server := headtest.NewServer(t, c.Answer("", string(done)))
			require.ErrorIs(t, client.Order(server.Addr(), Order{}, time.Minute), ErrLost)
			require.ErrorIs(t, client.Cancel(server.Addr(), Cancel{}, time.Minute), ErrLost)
			require.Equal(t, 2, server.Requests(), "each is sent once")
			_, err := client.Step(headtest.NewServer(t, c.Answer("", string(step))).Addr(), StepCall{}, time.Minute)
			require.ErrorIs(t, err, ErrLost)
			_, err = client.Report(headtest.NewServer(t, c.Answer("", string(report))).Addr(), time.Minute)
			require.ErrorIs(t, err, ErrLost)
		})
	}
}
