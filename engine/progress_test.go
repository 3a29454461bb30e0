package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAServerStallsAfterSixMeanSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Progress{}
	require.False(t, p.stalled(now.Add(time.Hour)), "nothing under way")
	p.begin(1, now)
	require.False(t, p.stalled(now.Add(initialStallLimit)))
	require.True(t, p.stalled(now.Add(2*initialStallLimit)), "no step known yet")
	p.recordAnswer(now, 20*time.Millisecond, true)
	require.False(t, p.stalled(now.Add(119*time.Millisecond)))
	require.True(t, p.stalled(now.Add(121*time.Millisecond)))
	p.begin(1, now.Add(100*time.Millisecond))
	p.recordAnswer(now.Add(110*time.Millisecond), 20*time.Millisecond, true)
	require.False(t, p.stalled(now.Add(200*time.Millisecond)), "another frame was answered meanwhile")
}

func TestLongPromptsLengthenTheStallLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Progress{}
	p.begin(1, now)
	p.recordAnswer(now, 20*time.Millisecond, true)
	p.begin(321, now)
	require.False(t, p.stalled(now.Add(300*time.Millisecond)))
	require.True(t, p.stalled(now.Add(400*time.Millisecond)))
	p.end(321)
	require.Equal(t, 1, p.inFlight())
}

func TestOneStepChangesTheMeanByAnEighth(t *testing.T) {
	p := &Progress{}
	now := time.Unix(1000, 0)
	p.recordAnswer(now, 8*time.Millisecond, true)
	p.recordAnswer(now, 16*time.Millisecond, true)
	p.recordAnswer(now, time.Hour, false)
	require.Equal(t, 9*time.Millisecond, p.stepTime())
}

func TestMatchRejectsResultsOfOtherFrames(t *testing.T) {
	f := Frame{Request: "r", Attempt: 2, Position: 5}
	good := Result{Request: "r", Attempt: 2, Position: 5, Code: CodeDone}
	tests := []struct {
		name   string
		change func(*Result)
		want   error
	}{
		{"same", func(*Result) {}, nil},
		{"other request", func(r *Result) { r.Request = "q" }, ErrOutOfOrder},
		{"earlier attempt", func(r *Result) { r.Attempt = 1 }, ErrOutOfOrder},
		{"other position", func(r *Result) { r.Position = 4 }, ErrOutOfOrder},
		{"other layers", func(r *Result) { r.Layers.End = 9 }, ErrOutOfOrder},
		{"not started", func(r *Result) { r.Code = CodeNotStarted }, ErrRefused},
		{"out of order", func(r *Result) { r.Code = CodeOutOfOrder }, ErrOutOfOrder},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := good
			tt.change(&r)
			require.ErrorIs(t, match(&f, StepReply{Results: []Result{r}}, 0, nil).err, tt.want)
		})
	}
	require.ErrorIs(t, match(&f, StepReply{}, 0, nil).err, ErrOutOfOrder, "missing")
}

func FuzzDecodeStepReply(f *testing.F) {
	seed, _ := Encode(StepReply{Results: []Result{{Request: "r", Code: CodeDone, Output: []uint64{1}}}})
	f.Add(seed)
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		reply, err := Decode[StepReply](body)
		if err != nil {
			return
		}
		again, err := Encode(reply)
		require.NoError(t, err)
		_, err = Decode[StepReply](again)
		require.NoError(t, err)
	})
}
