package supervise

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/loglimit"
	"junctioncross/metrics"
	"junctioncross/retry"
	"junctioncross/timer"
)

const (
	// minPause and maxPause bound the pause after a panic; it doubles with each panic in a row.
	minPause = 200 * time.Millisecond
	maxPause = 30 * time.Second
	// calmTime is how long a part must run without a panic for the next pause to be the shortest again.
	calmTime = time.Minute
	// maxStackBytes limits the stack in a log line; the innermost functions come first.
	maxStackBytes = 8 << 10
)

// Work is what a part was working on; its zero values stand for what does not apply.
type Work struct {
	// Config is the version of the configuration in force.
	Config int64
	// Service is the name of the service.
	Service string
	// Record is the key of the record in the store, and Revision its position in the store's sequence of changes.
	Record   string
	Revision int64
	// Lease is the lease under which the part works.
	Lease int64
}

// NoWork is for parts that work on nothing that can be named.
func NoWork() Work { return Work{} }

// Supervisor recovers and records the panics of the parts of an instance. It is safe for concurrent use.
type Supervisor struct {
	clock *timer.Service
	stats *metrics.Registry
	log   *logrus.Logger
	// lines limits the rate of the log lines on panics, by part and service; the counter counts all.
	lines loglimit.Limiter
}

// New returns a Supervisor that writes to a log and counts in metrics.
func New(clock *timer.Service, stats *metrics.Registry, log *logrus.Logger) *Supervisor {
	return &Supervisor{clock: clock, stats: stats, log: log}
}

// Call calls run and reports whether it returned; it recovers and records a panic. Work is called only after a panic.
func (s *Supervisor) Call(part string, work func() Work, run func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			s.record(part, cause, debug.Stack(), work)
		}
	}()
	run()
	return true
}

// Keep calls run until it returns without a panic or ctx ends. After a panic it pauses, for longer after each in a row.
func (s *Supervisor) Keep(ctx context.Context, part string, work func() Work, run func(context.Context)) {
	var restarts Restarts
	for ctx.Err() == nil {
		begun := s.clock.Now()
		if s.Call(part, work, func() { run(ctx) }) {
			return
		}
		s.clock.Sleep(ctx, restarts.Pause(s.clock.Since(begun)))
	}
}

// Restarts counts the panics in a row of one part; its zero value stands for none. It is not safe for concurrent use.
type Restarts struct{ inRow int }

// Pause notes a panic of a part that had run for some time since its last start, and returns how long the part is to pause.
func (r *Restarts) Pause(ran time.Duration) time.Duration {
	if ran >= calmTime {
		r.inRow = 0
	}
	r.inRow++
	return retry.Backoff(minPause, maxPause, r.inRow-1)
}

// InRow returns the number of panics in a row.
func (r *Restarts) InRow() int { return r.inRow }

// record counts a panic and logs it with its value, its stack and what the part was working on.
func (s *Supervisor) record(part string, cause any, stack []byte, work func() Work) {
	s.stats.Counter(fmt.Sprintf("panics_total{part=%q}", part)).Inc(1)
	w := workOrNone(work)
	if !s.lines.Allow(part+"/"+w.Service, s.clock.Now()) {
		return
	}
	s.log.WithFields(logrus.Fields{
		"part": part, "panic": fmt.Sprint(cause), "stack": string(stack[:min(len(stack), maxStackBytes)]), "config": w.Config,
		"service": w.Service, "record": w.Record, "revision": w.Revision, "lease": w.Lease,
	}).Error("part panicked")
}

// workOrNone returns what a part was working on, or nothing if it cannot tell: what it holds may be half changed.
func workOrNone(work func() Work) (w Work) {
	defer func() {
		if recover() != nil {
			w = Work{}
		}
	}()
	return work()
}
