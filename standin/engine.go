package standin

import (
	"sync"
	"time"

	"junctioncross/engine"
	"junctioncross/models"
)

// EngineSettings describes one fake engine.
type EngineSettings struct {
	// Name is the name that the engine's reports give.
	Name string
	// LayerMicros is the fixed time of a step for each layer, in microseconds.
	LayerMicros float64
	// SequenceMicros is the additional time for each layer and each sequence of the batch, in microseconds.
	SequenceMicros float64
	// PrefillMicros is the additional time for each layer and each position of a sequence beyond the first, in microseconds.
	PrefillMicros float64
	// MaxBatch is the greatest number of sequences in a batch.
	MaxBatch int
	// ReportLag is the greatest age of the load that a report shows.
	ReportLag time.Duration
	// Fetch blocks until the weight store has delivered the weights of the given number of layers.
	Fetch func(layers int)
	// Link is the one-way delay of the network link to the engine.
	Link time.Duration
	// IgnoreFence makes the engine execute orders with outdated fences, too.
	IgnoreFence bool
}

// Engine is a fake model engine that holds a range of layers and runs them with continuous batching.
type Engine struct {
	settings    EngineSettings
	incarnation uint64

	mu     sync.Mutex
	model  Model
	layers models.Layers
	state  engine.State
	// fence is the highest fencing token that an order had.
	fence uint64
	// loads is the number of orders that made the engine load layers; only the load of the latest one counts when it ends.
	loads    int
	attempts map[engine.AttemptID]*attemptState
	leaving  bool
	// newSinceLeaving is the number of attempts started since the engine announced that it is leaving.
	newSinceLeaving int
	waiting         []*queuedFrame
	// lastStep is the time of the last step, and running the number of sequences in the present one.
	lastStep time.Duration
	running  int
	// reportSequence is the number of the last report, which is answered again until it is older than ReportLag.
	reportSequence uint64
	lastReport     engine.Report
	lastReportAt   time.Time
	// slow is a factor of the step time.
	slow float64
	hung bool
	// startsOf is the number of attempts that the engine has started for each request.
	startsOf map[string]int
	// busy is the time spent in steps; steps and sequences count the steps and the frames run in them.
	busy      time.Duration
	steps     int
	sequences int
	// overshoot is how much longer than intended the last step took; only the batch loop uses it.
	overshoot time.Duration
	wake      chan struct{}
}

// NewEngine returns an engine that holds no layers, and starts its batch loop, which never ends.
func NewEngine(settings EngineSettings) *Engine {
	e := &Engine{
		settings:    settings,
		incarnation: uint64(time.Now().UnixNano()),
		state:       engine.StateEmpty,
		attempts:    map[engine.AttemptID]*attemptState{},
		startsOf:    map[string]int{},
		slow:        1,
		wake:        make(chan struct{}, 1),
	}
	go func() { e.loop() }()
	return e
}

// Report returns the engine's report. State and load are at most ReportLag old; Held and Leaving are up to date.
func (e *Engine) Report(now time.Time) engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.lastReportAt) >= e.settings.ReportLag {
		e.reportSequence++
		e.lastReportAt = now
		e.lastReport = engine.Report{
			Name: e.settings.Name, Incarnation: e.incarnation, Sequence: e.reportSequence,
			State: e.state, Model: e.model.name, Version: e.model.version, Layers: e.layers,
			Leaving: e.leaving, Running: e.running, Waiting: len(e.waiting),
			StepMicros: e.lastStep.Microseconds(), Fence: e.fence,
		}
	}
	report := e.lastReport
	report.Held = len(e.attempts)
	report.Leaving = e.leaving
	return report
}

// Order executes an order to hold certain layers, which it loads in the background, and reports true. It refuses the order and
// reports false if the engine has seen a higher fence.
func (e *Engine) Order(o engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.settings.IgnoreFence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	if e.model.name == o.Model && e.model.version == o.Version && e.layers == o.Layers && e.state != engine.StateEmpty {
		return true
	}
	e.model = NewModel(o.Model, o.Version, o.Total)
	e.layers = o.Layers
	e.state = engine.StateLoading
	e.attempts = map[engine.AttemptID]*attemptState{}
	e.loads++
	load := e.loads
	go func() {
		e.settings.Fetch(o.Layers.Count())
		e.finishLoading(load)
	}()
	return true
}

// finishLoading makes the engine ready, unless a later order has made it load other layers.
func (e *Engine) finishLoading(load int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loads == load {
		e.state = engine.StateReady
	}
}
