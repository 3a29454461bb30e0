package decision_test

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"junctioncross/decision"
	"junctioncross/metrics"
	"junctioncross/timer"
)

// blockedOutput is an output that blocks until it is opened.
type blockedOutput struct {
	open    chan struct{}
	mu      sync.Mutex
	written strings.Builder
}

// Write implements io.Writer.
func (o *blockedOutput) Write(lines []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(lines)
}

func (o *blockedOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.String()
}

// many is a number of lines above all rate limits together and below the capacity of the reserve.
const many = 3000

func newRecorder(out io.Writer, clock *timer.Service, stats *metrics.Registry) *decision.Recorder {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	return decision.NewRecorder(log, clock, stats)
}

func TestTheLastLineOfEachFailedRequestSurvivesSampling(t *testing.T) {
	var out strings.Builder
	r := newRecorder(&out, timer.New(clockwork.NewFakeClock()), metrics.New())
	for n := range many {
		r.Failure(fmt.Sprint("r", n), "turned away", decision.Fields{})
		r.Last(fmt.Sprint("r", n), "refused", decision.Fields{})
	}
	require.Equal(t, many, strings.Count(out.String(), `"msg":"refused"`))
	require.Less(t, strings.Count(out.String(), `"msg":"turned away"`), many, "the other lines exceed their rate limit")
}

func TestTheFirstLineOfEachKindSurvivesSampling(t *testing.T) {
	var out strings.Builder
	clock := clockwork.NewFakeClock()
	stats := metrics.New()
	r := newRecorder(&out, timer.New(clock), stats)
	spend := func() {
		for range many {
			r.Routine("r", "sent", decision.Fields{})
		}
	}
	spend()
	r.Routine("r", "path regained", decision.Fields{})
	r.Routine("r", "path regained", decision.Fields{})
	require.Equal(t, 1, strings.Count(out.String(), "path regained"), "only the first line with a message is kept regardless of the limits")
	require.EqualValues(t, 1, stats.Counter(`log_lines_sampled_out_total{decision="path regained"}`).Count())
	clock.Advance(time.Minute)
	spend()
	r.Routine("r", "path regained", decision.Fields{})
	require.Equal(t, 2, strings.Count(out.String(), "path regained"), "after a while, the next line with the message is kept again")
}

// TestUnsampledLinesAreKeptWhileTheOutputBlocks fills the queue while the output is blocked, which must not
// drop the lines that sampling keeps, and unblocks it then.
func TestUnsampledLinesAreKeptWhileTheOutputBlocks(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	clock := clockwork.NewFakeClock()
	stats := metrics.New()
	q := decision.NewQueue(out, timer.New(clock), stats)
	r := newRecorder(q, timer.New(clock), stats)
	filler := strings.Repeat("x", 1<<10)
	for range 400 {
		r.Routine("r", "sent", decision.Fields{"path": filler})
	}
	r.Routine("r", "path regained", decision.Fields{})
	for n := range many {
		r.Last(fmt.Sprint("r", n), "refused", decision.Fields{})
	}
	require.Positive(t, stats.Counter("log_lines_dropped_total").Count(), "the queue was full")
	require.Zero(t, stats.Counter("log_kept_lines_dropped_total").Count())
	close(out.open)
	q.Flush()
	require.Equal(t, 1, strings.Count(out.String(), "path regained"))
	for _, n := range []int{0, many / 2, many - 1} {
		require.Contains(t, out.String(), fmt.Sprintf(`"request":"r%d"`, n))
	}
	require.Equal(t, many, strings.Count(out.String(), `"msg":"refused"`))
	require.Less(t, strings.Count(out.String(), filler), 400)
}

// TestTheReserveIsBounded writes more to a blocked output than queue and reserve hold.
func TestTheReserveIsBounded(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{})}
	defer close(out.open)
	stats := metrics.New()
	q := decision.NewQueue(out, timer.New(clockwork.NewFakeClock()), stats)
	line := []byte(strings.Repeat("x", 1<<10))
	for range 4 << 10 {
		n, err := q.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Positive(t, stats.Counter("log_kept_lines_dropped_total").Count())
	require.Equal(t, stats.Counter("log_lines_dropped_total").Count(), stats.Counter("log_kept_lines_dropped_total").Count())
}
