package decision

import (
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
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Recorder writes the lines on requests and keeps them within an allowance.
type Recorder struct {
	log   *logrus.Logger
	clock *timer.Service
	stats *metrics.Registry

	mu      sync.Mutex
	routine allowance
	failure allowance
}

// NewRecorder returns a Recorder that writes to log.
func NewRecorder(log *logrus.Logger, clock *timer.Service, stats *metrics.Registry) *Recorder {
	now := clock.Now()
	return &Recorder{
		log: log, clock: clock, stats: stats,
		routine: allowance{rate: routineRate, burst: routineBurst, left: routineBurst, at: now},
		failure: allowance{rate: failureRate, burst: failureBurst, left: failureBurst, at: now},
	}
}

// Routine writes a line on a request that goes as it should.
func (r *Recorder) Routine(request, decision string, fields Fields) {
	r.write(&r.routine, logrus.InfoLevel, request, decision, fields)
}

// Failure writes a line on something that went wrong with a request.
func (r *Recorder) Failure(request, decision string, fields Fields) {
	r.write(&r.failure, logrus.WarnLevel, request, decision, fields)
}

func (r *Recorder) write(a *allowance, level logrus.Level, request, decision string, fields Fields) {
	r.mu.Lock()
	allowed := a.take(r.clock.Now())
	r.mu.Unlock()
	if !allowed {
		r.stats.Counter("log_lines_sampled_out_total{decision=\"" + decision + "\"}").Inc(1)
		return
	}
	if fields == nil {
		fields = Fields{}
	}
	fields["request"] = request
	r.log.WithFields(fields).Log(level, decision)
}

// allowance is a token bucket.
type allowance struct {
	rate  float64
	burst float64
	left  float64
	at    time.Time
}

func (a *allowance) take(now time.Time) bool {
	a.left = min(a.left+now.Sub(a.at).Seconds()*a.rate, a.burst)
	a.at = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
