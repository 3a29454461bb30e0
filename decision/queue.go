package decision

import (
	"bytes"
	"io"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"junctioncross/metrics"
	"junctioncross/timer"
)

const (
	// queueBytes holds some seconds of lines at the highest rate of a small instance.
	queueBytes = 256 << 10
	// gatherTime is how long lines wait for others, so that a busy instance makes one system call for many.
	gatherTime = 100 * time.Millisecond
)

// Queue is a writer that never blocks: it keeps lines in bounded memory until they are written.
type Queue struct {
	out     io.Writer
	dropped gometrics.Counter
	failed  gometrics.Counter
	ready   chan struct{}

	mu      sync.Mutex
	pending bytes.Buffer
}

// NewQueue returns a Queue that writes to out.
func NewQueue(out io.Writer, clock *timer.Service, stats *metrics.Registry) *Queue {
	q := &Queue{
		out: out, dropped: stats.Counter("log_lines_dropped_total"), failed: stats.Counter("log_write_errors_total"),
		ready: make(chan struct{}, 1),
	}
	go func() {
		var writing bytes.Buffer
		for range q.ready {
			<-clock.After(gatherTime)
			q.take(&writing)
			q.write(&writing)
		}
	}()
	return q
}

// Write takes one line over; it drops the line when the queue is full and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	fits := q.pending.Len()+len(line) <= queueBytes
	if fits {
		q.pending.Write(line)
	}
	q.mu.Unlock()
	if !fits {
		q.dropped.Inc(1)
		return len(line), nil
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Flush writes what is pending; it may block as long as the output does.
func (q *Queue) Flush() {
	var writing bytes.Buffer
	q.take(&writing)
	q.write(&writing)
}

func (q *Queue) take(into *bytes.Buffer) {
	into.Reset()
	q.mu.Lock()
	defer q.mu.Unlock()
	// The buffers change places, so that both keep their memory.
	*into, q.pending = q.pending, *into
}

func (q *Queue) write(lines *bytes.Buffer) {
	if lines.Len() == 0 {
		return
	}
	if _, err := q.out.Write(lines.Bytes()); err != nil {
		q.failed.Inc(1)
	}
}
