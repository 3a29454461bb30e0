package decision

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/metrics"
	"junctioncross/timer"
)

const (
	// routineRate and routineBurst bound the lines on requests that went well: a small instance answers some ten a second
	// with three lines each, so that everything is kept on a usual day.
	routineRate  = 100.0
	routineBurst = 400.0
	// failureRate and failureBurst bound the lines on requests that did not, which have their own allowance.
	failureRate  = 200.0
	failureBurst = 1000.0
	// kindPeriod is how long after a line of a kind the next one is kept whatever the allowance says. There are some fifty kinds on
	// requests, so that this adds a few lines a second at most.
	kindPeriod = 10 * time.Second
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Recorder writes the lines on requests and keeps them within an allowance, but for the first of each kind and the last lines of
// requests that failed.
type Recorder struct {
	log *logrus.Logger
	// sampled is the same for lines that may be left out.
	sampled *logrus.Logger
	clock   *timer.Service
	stats   *metrics.Registry

	mu      sync.Mutex
	routine tokenBucket
	failure tokenBucket
	// lastWritten holds when a line of each kind was last written.
	lastWritten map[string]time.Time
}

// sampler is an output that may leave lines out.
type sampler interface{ Sampled() io.Writer }

// NewRecorder returns a Recorder that writes to log.
func NewRecorder(log *logrus.Logger, clock *timer.Service, stats *metrics.Registry) *Recorder {
	now := clock.Now()
	return &Recorder{
		log: log, sampled: sampledLogger(log), clock: clock, stats: stats, lastWritten: map[string]time.Time{},
		routine: tokenBucket{rate: routineRate, burst: routineBurst, tokens: routineBurst, updatedAt: now},
		failure: tokenBucket{rate: failureRate, burst: failureBurst, tokens: failureBurst, updatedAt: now},
	}
}

// sampledLogger returns a logger that does as another one, but for lines that may be left out.
func sampledLogger(log *logrus.Logger) *logrus.Logger {
	out, ok := log.Out.(sampler)
	if !ok {
		return log
	}
	return &logrus.Logger{Out: out.Sampled(), Formatter: log.Formatter, Hooks: log.Hooks, Level: log.GetLevel(), ExitFunc: log.ExitFunc}
}

// Routine writes a line on a request that goes as it should.
func (r *Recorder) Routine(request, decision string, fields Fields) {
	r.write(&r.routine, logrus.InfoLevel, request, decision, fields)
}

// Failure writes a line on something that went wrong with a request.
func (r *Recorder) Failure(request, decision string, fields Fields) {
	r.write(&r.failure, logrus.WarnLevel, request, decision, fields)
}

// Last writes the last line on a request that failed; it is never left out for want of an allowance.
func (r *Recorder) Last(request, decision string, fields Fields) {
	fields["request"] = request
	r.log.WithFields(fields).Log(logrus.WarnLevel, decision)
}

func (r *Recorder) write(bucket *tokenBucket, level logrus.Level, request, decision string, fields Fields) {
	now := r.clock.Now()
	r.mu.Lock()
	log, allowed := r.sampled, bucket.allow(now)
	if r.isFirst(decision, now) {
		log, allowed = r.log, true
	}
	r.mu.Unlock()
	if !allowed {
		r.stats.Counter("log_lines_sampled_out_total{decision=\"" + decision + "\"}").Inc(1)
		return
	}
	if fields == nil {
		fields = Fields{}
	}
	fields["request"] = request
	log.WithFields(fields).Log(level, decision)
}

// isFirst reports whether a line is the first of its kind for a while; the caller holds the lock.
func (r *Recorder) isFirst(kind string, now time.Time) bool {
	if at, seen := r.lastWritten[kind]; seen && now.Sub(at) < kindPeriod {
		return false
	}
	r.lastWritten[kind] = now
	return true
}

// tokenBucket is a token bucket.
type tokenBucket struct {
	rate      float64
	burst     float64
	tokens    float64
	updatedAt time.Time
}

func (b *tokenBucket) allow(now time.Time) bool {
	b.tokens = min(b.tokens+now.Sub(b.updatedAt).Seconds()*b.rate, b.burst)
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
