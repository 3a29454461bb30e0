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

// maxOvershoot bounds by how much the next step is shortened after one that took too long.
const maxOvershoot = 2 * time.Millisecond

// attemptState is what the engine holds for an attempt: one cache entry for each layer and the next position.
type attemptState struct {
	cache    []uint64
	position int
}

// queuedFrame is a frame in the queue; done is signalled once result is set.
type queuedFrame struct {
	frame  engine.Frame
	result engine.Result
	done   *sync.WaitGroup
}

// Engine is a fake model engine that holds a range of layers and runs them with continuous batching.
type Engine struct {
	settings    EngineSettings
	incarnation uint64

	mu              sync.Mutex
	model           Model
	layers          models.Layers
	state           engine.State
	fence           uint64
	loads           int
	attempts        map[engine.AttemptID]*attemptState
	leaving         bool
	newSinceLeaving int
	waiting         []*queuedFrame
	step            time.Duration
	running         int
	sequence        uint64
	lastReport      engine.Report
	lastReportAt    time.Time
	slow            float64
	hung            bool
	started         map[string]int
	busy            time.Duration
	steps           int
	sequences       int
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
		started:     map[string]int{},
		slow:        1,
		wake:        make(chan struct{}, 1),
	}
	go func() { e.loop() }()
	return e
}

// Submit queues frames and blocks until all of them have run or been refused; it returns their results in the same order.
func (e *Engine) Submit(frames []engine.Frame) engine.StepReply {
	time.Sleep(e.settings.Link)
	defer time.Sleep(e.settings.Link)
	var done sync.WaitGroup
	items := make([]*queuedFrame, len(frames))
	for i := range frames {
		items[i] = &queuedFrame{frame: frames[i], done: &done}
	}
	done.Add(len(items))
	e.mu.Lock()
	e.waiting = append(e.waiting, items...)
	e.mu.Unlock()
	e.signal()
	done.Wait()
	reply := engine.StepReply{Results: make([]engine.Result, len(items))}
	for i, w := range items {
		reply.Results[i] = w.result
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply.StepMicros = e.step.Microseconds()
	reply.Leaving = e.leaving
	return reply
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) loop() {
	for range e.wake {
		for {
			batch := e.nextBatch()
			if len(batch) == 0 {
				break
			}
			e.runBatch(batch)
		}
	}
}

// nextBatch removes the next batch from the queue: the frames of the highest priority, then the others in order of arrival.
// It returns none while the queue is empty or the engine hangs.
func (e *Engine) nextBatch() []*queuedFrame {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hung || len(e.waiting) == 0 {
		return nil
	}
	batch := make([]*queuedFrame, 0, e.settings.MaxBatch)
	rest := make([]*queuedFrame, 0, len(e.waiting))
	best := highestPriority(e.waiting)
	for _, w := range e.waiting {
		if len(batch) < e.settings.MaxBatch && w.frame.Priority == best {
			batch = append(batch, w)
			continue
		}
		rest = append(rest, w)
	}
	for len(batch) < e.settings.MaxBatch && len(rest) > 0 {
		batch = append(batch, rest[0])
		rest = rest[1:]
	}
	e.waiting = rest
	e.running = len(batch)
	return batch
}

func highestPriority(queue []*queuedFrame) int {
	best := queue[0].frame.Priority
	for _, w := range queue {
		best = max(best, w.frame.Priority)
	}
	return best
}

func (e *Engine) runBatch(batch []*queuedFrame) {
	step := e.stepTime(batch)
	// time.Sleep may take up to a millisecond too long; the next step is shorter by the excess.
	start := time.Now()
	time.Sleep(step - e.overshoot)
	e.overshoot = min(max(time.Since(start)-(step-e.overshoot), 0), maxOvershoot)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step = step
	e.running = 0
	e.busy += step
	e.steps++
	e.sequences += len(batch)
	for _, w := range batch {
		w.result = e.runFrame(&w.frame)
		w.done.Done()
	}
}

func (e *Engine) stepTime(batch []*queuedFrame) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := 0
	for _, w := range batch {
		prefill += max(len(w.frame.Input), len(w.frame.Text)/4) - 1
	}
	perLayer := e.settings.LayerMicros + e.settings.SequenceMicros*float64(len(batch)) + e.settings.PrefillMicros*float64(max(prefill, 0))
	return time.Duration(perLayer * e.slow * float64(e.layers.Count()) * float64(time.Microsecond))
}

// runFrame computes one frame; e.mu must be held.
func (e *Engine) runFrame(f *engine.Frame) engine.Result {
	result := engine.Result{Request: f.Request, Attempt: f.Attempt, Position: f.Position, Layers: f.Layers}
	if e.state != engine.StateReady || f.Model != e.model.name || f.Layers != e.layers {
		result.Code = engine.CodeNotStarted
		return result
	}
	id := engine.AttemptID{Request: f.Request, Attempt: f.Attempt}
	s := e.attempts[id]
	if s == nil && f.Position == 0 {
		s = e.startAttempt(id)
	}
	if s == nil || s.position != f.Position {
		result.Code = engine.CodeOutOfOrder
		return result
	}
	input := f.Input
	if f.Text != "" {
		input = Tokens(f.Text)
		result.Tokens = input
	}
	e.runLayers(s, input, &result)
	return result
}

func (e *Engine) startAttempt(id engine.AttemptID) *attemptState {
	s := &attemptState{cache: make([]uint64, e.layers.Count())}
	e.attempts[id] = s
	e.started[id.Request]++
	if e.leaving {
		e.newSinceLeaving++
	}
	return s
}

func (e *Engine) runLayers(s *attemptState, input []uint64, result *engine.Result) {
	output := make([]uint64, len(input))
	for i, act := range input {
		output[i] = e.model.runLayers(s.cache, e.layers.First, act)
		s.position++
	}
	result.Code = engine.CodeDone
	if e.layers.End < e.model.layers {
		result.Output = output
		return
	}
	token := output[len(output)-1] % vocabulary
	result.Output = []uint64{token}
	result.Piece = Piece(token)
	result.End = Ends(token)
}

// Cancel deletes the caches of attempts.
func (e *Engine) Cancel(c engine.Cancel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range c.Attempts {
		delete(e.attempts, id)
	}
}

// Report returns the engine's report. State and load are at most ReportLag old; Held and Leaving are up to date.
func (e *Engine) Report(now time.Time) engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.lastReportAt) >= e.settings.ReportLag {
		e.sequence++
		e.lastReportAt = now
		e.lastReport = engine.Report{
			Name: e.settings.Name, Incarnation: e.incarnation, Sequence: e.sequence,
			State: e.state, Model: e.model.name, Version: e.model.version, Layers: e.layers,
			Leaving: e.leaving, Running: e.running, Waiting: len(e.waiting),
			StepMicros: e.step.Microseconds(), Fence: e.fence,
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

func (e *Engine) finishLoading(load int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loads == load {
		e.state = engine.StateReady
	}
}

// Export returns the cache of an attempt, or false if the engine holds none.
func (e *Engine) Export(id engine.AttemptID) (engine.Snapshot, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.attempts[id]
	if s == nil {
		return engine.Snapshot{}, false
	}
	return engine.Snapshot{
		ID: id, Model: e.model.name, Layers: e.layers, Position: s.position,
		Cache: append([]uint64(nil), s.cache...),
	}, true
}

// Import stores the cache of an attempt if it belongs to the model and layers that the engine holds, and reports whether it did.
func (e *Engine) Import(s engine.Snapshot) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != engine.StateReady || s.Layers != e.layers || s.Model != e.model.name || len(s.Cache) != e.layers.Count() {
		return false
	}
	e.attempts[s.ID] = &attemptState{cache: append([]uint64(nil), s.Cache...), position: s.Position}
	return true
}

// EngineFault is a fault that a test injects into an engine.
type EngineFault struct {
	// Leaving makes the engine announce that it is leaving.
	Leaving bool `json:"leaving"`
	// Hung makes the engine run no batches while its connections stay open.
	Hung bool `json:"hung"`
	// Slow is a factor of the step time; zero means one.
	Slow float64 `json:"slow"`
}

// SetFault injects a fault; the zero EngineFault ends all faults.
func (e *Engine) SetFault(f EngineFault) {
	e.mu.Lock()
	if f.Leaving && !e.leaving {
		e.newSinceLeaving = 0
	}
	e.leaving = f.Leaving
	e.hung = f.Hung
	e.slow = max(f.Slow, 1)
	if f.Slow > 0 && f.Slow < 1 {
		e.slow = f.Slow
	}
	e.mu.Unlock()
	e.signal()
}

// EngineTally counts the work of an engine.
type EngineTally struct {
	// Requests is the number of attempts that the engine has started for each request.
	Requests map[string]int `json:"requests"`
	// NewSinceLeaving is the number of attempts started since the engine announced that it is leaving.
	NewSinceLeaving int `json:"new_since_leaving"`
	// Held is the number of attempts whose cache the engine holds.
	Held int `json:"held"`
	// BusyMicros is the time spent in steps, in microseconds; Steps and Sequences count the steps and the frames run in them.
	BusyMicros int64 `json:"busy_us"`
	Steps      int   `json:"steps"`
	Sequences  int   `json:"sequences"`
}

// Tally returns the counts of the engine's work since its start.
func (e *Engine) Tally() EngineTally {
	e.mu.Lock()
	defer e.mu.Unlock()
	started := make(map[string]int, len(e.started))
	for k, v := range e.started {
		started[k] = v
	}
	return EngineTally{
		Requests: started, NewSinceLeaving: e.newSinceLeaving, Held: len(e.attempts),
		BusyMicros: e.busy.Microseconds(), Steps: e.steps, Sequences: e.sequences,
	}
}
