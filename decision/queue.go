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
	// reserveBytes is kept for lines that sampling must not leave out: the ends of some 6,000 failed requests, while the output
	// takes nothing.
	reserveBytes = 2 << 20
	// batchTime is how long lines wait for others, so that a busy instance makes one system call for many.
	batchTime = 100 * time.Millisecond
)

// Queue is a writer that never blocks: it keeps lines in bounded memory until they are written.
type Queue struct {
	out     io.Writer
	dropped gometrics.Counter
	// reserveDropped counts those of the dropped lines that had the reserve as well.
	reserveDropped gometrics.Counter
	writeErrors    gometrics.Counter
	ready          chan struct{}

	mu      sync.Mutex
	pending bytes.Buffer
}

// NewQueue returns a Queue that writes to out.
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

// Write takes over one line that shall survive; it drops the line when the reserve is full as well and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.add(line, queueBytes+reserveBytes) {
		q.reserveDropped.Inc(1)
	}
	return len(line), nil
}

// Sampled returns a writer of lines that may be left out: it leaves the reserve to the others.
func (q *Queue) Sampled() io.Writer { return sampled{queue: q} }

// sampled is the Queue without its reserve.
type sampled struct{ queue *Queue }

// Write takes over one line; it drops the line when the queue is full and never returns an error.
func (s sampled) Write(line []byte) (int, error) {
	s.queue.add(line, queueBytes)
	return len(line), nil
}

// add takes a line over unless more than a limit would wait then, and reports whether it did.
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

// Flush writes what is pending; it may block as long as the output does.
func (q *Queue) Flush() {
	var writing bytes.Buffer
	q.swap(&writing)
	q.write(&writing)
}

func (q *Queue) swap(into *bytes.Buffer) {
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
		q.writeErrors.Inc(1)
	}
	if lines.Cap() > 2*queueBytes {
		// What the reserve took is given back.
		*lines = bytes.Buffer{}
	}
}
