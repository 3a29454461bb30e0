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
	// queueBytes is the capacity of the queue for lines of all kinds: a few seconds of lines at the highest rate of a small
	// instance.
	queueBytes = 256 << 10
	// reserveBytes is additional capacity for lines that sampling must not omit: the last lines of some 6,000 failed requests while
	// the output blocks.
	reserveBytes = 2 << 20
	// batchTime is how long lines wait for others, so that a busy instance writes many of them in one system call.
	batchTime = 100 * time.Millisecond
)

// Queue is a writer that never blocks: it buffers lines in bounded memory until they are written to the output.
type Queue struct {
	out     io.Writer
	dropped gometrics.Counter
	// reserveDropped counts the dropped lines for which the reserve was full, too; dropped includes them.
	reserveDropped gometrics.Counter
	writeErrors    gometrics.Counter
	ready          chan struct{}

	mu      sync.Mutex
	pending bytes.Buffer
}

// NewQueue returns a Queue that writes to out; it starts a goroutine that runs as long as the process.
func NewQueue(out io.Writer, clock *timer.Service, stats *metrics.Registry) *Queue {
	q := &Queue{
		out: out, dropped: stats.Counter("log_lines_dropped_total"), reserveDropped: stats.Counter("log_kept_lines_dropped_total"),
		writeErrors: stats.Counter("log_write_errors_total"),
		ready:       make(chan struct{}, 1),
	}
	go func() {
		var writing bytes.Buffer
		for range q.ready {
			<-clock.After(batchTime)
			q.swap(&writing)
			q.write(&writing)
		}
	}()
	return q
}

// Write queues one line that sampling must not omit; it drops the line if the reserve is full as well and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.add(line, queueBytes+reserveBytes) {
		q.reserveDropped.Inc(1)
	}
	return len(line), nil
}

// Sampled returns a writer for lines that may be omitted: it does not use the reserve.
func (q *Queue) Sampled() io.Writer { return sampled{queue: q} }

// sampled writes to the Queue without its reserve.
type sampled struct{ queue *Queue }

// Write queues one line; it drops the line if the queue is full and never returns an error.
func (s sampled) Write(line []byte) (int, error) {
	s.queue.add(line, queueBytes)
	return len(line), nil
}

// add queues a line unless more than limit bytes would be pending then, and reports whether it did.
func (q *Queue) add(line []byte, limit int) bool {
	q.mu.Lock()
	fits := q.pending.Len()+len(line) <= limit
	if fits {
		q.pending.Write(line)
	}
	q.mu.Unlock()
	if !fits {
		q.dropped.Inc(1)
		return false
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// Flush writes the pending lines; it blocks as long as the output does.
func (q *Queue) Flush() {
	var writing bytes.Buffer
	q.swap(&writing)
	q.write(&writing)
}

func (q *Queue) swap(into *bytes.Buffer) {
	into.Reset()
	q.mu.Lock()
	defer q.mu.Unlock()
	// Swapping the buffers lets both keep their memory.
	*into, q.pending = q.pending, *into
}

func (q *Queue) write(lines *bytes.Buffer) {
	if lines.Len() == 0 {
		return
	}
	if _, err := q.out.Write(lines.Bytes()); err != nil {
		q.writeErrors.Inc(1)
	}
	if lines.Cap() > 2*queueBytes {
		// Releases the memory that the reserve needed.
		*lines = bytes.Buffer{}
	}
}
