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
	// routineRate and routineBurst limit the lines about requests that go well, in lines a second and lines at once. A small
	// instance answers about ten requests a second with three lines each, so that normally all lines are kept.
	routineRate  = 100.0
	routineBurst = 400.0
	// failureRate and failureBurst limit the lines about requests that do not go well, separately from the others.
	failureRate  = 200.0
	failureBurst = 1000.0
	// kindPeriod is the interval at which one line with each message is kept regardless of the limits. There are about fifty
	// messages about requests, so that this adds a few lines a second at most.
	kindPeriod = 10 * time.Second
)

// Fields are the inputs and the outcome of a decision, by name.
type Fields = logrus.Fields

// Recorder writes the lines about requests and limits their rate. The limits do not apply to the first line with each message in
// a while, nor to the last lines of failed requests.
type Recorder struct {
	log *logrus.Logger
	// sampled is the same logger for lines that may be omitted.
	sampled *logrus.Logger
	clock   *timer.Service
	stats   *metrics.Registry

	mu      sync.Mutex
	routine tokenBucket
	failure tokenBucket
	// lastWritten holds when each message was last written regardless of the limits.
	lastWritten map[string]time.Time
}

// sampler is an output with a second writer for lines that may be omitted.
type sampler interface{ Sampled() io.Writer }

// NewRecorder returns a Recorder that writes to log. If the output of log is a Queue, lines that may be omitted do not use its
// reserve.
func NewRecorder(log *logrus.Logger, clock *timer.Service, stats *metrics.Registry) *Recorder {
	now := clock.Now()
	return &Recorder{
		log: log, sampled: sampledLogger(log), clock: clock, stats: stats, lastWritten: map[string]time.Time{},
		routine: tokenBucket{rate: routineRate, burst: routineBurst, tokens: routineBurst, updatedAt: now},
		failure: tokenBucket{rate: failureRate, burst: failureBurst, tokens: failureBurst, updatedAt: now},
	}
}

// Log returns the logger for lines about no particular request, which are always written.
func (r *Recorder) Log() *logrus.Logger { return r.log }

// sampledLogger returns a logger like log for lines that may be omitted.
func sampledLogger(log *logrus.Logger) *logrus.Logger {
	out, ok := log.Out.(sampler)
	if !ok {
		return log
	}
	return &logrus.Logger{Out: out.Sampled(), Formatter: log.Formatter, Hooks: log.Hooks, Level: log.GetLevel(), ExitFunc: log.ExitFunc}
}

// Routine writes a line about a request that goes well, or about no request if that is empty; the line may be omitted.
func (r *Recorder) Routine(request, decision string, fields Fields) {
	r.write(&r.routine, logrus.InfoLevel, request, decision, fields)
}

// Failure writes a line about something that went wrong with a request, or apart from any if that is empty; the line may be
// omitted.
func (r *Recorder) Failure(request, decision string, fields Fields) {
	r.write(&r.failure, logrus.WarnLevel, request, decision, fields)
}

// Last writes the last line about a failed request; the rate limits do not apply to it.
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

// isFirst reports whether no line with the message was kept as the first in the last kindPeriod, and if so records this one; the
// caller holds the lock.
func (r *Recorder) isFirst(kind string, now time.Time) bool {
	if at, seen := r.lastWritten[kind]; seen && now.Sub(at) < kindPeriod {
		return false
	}
	r.lastWritten[kind] = now
	return true
}

// tokenBucket limits a rate of lines; rate is in tokens a second, and each line takes one token.
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
