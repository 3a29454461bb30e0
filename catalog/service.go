package catalog

import "time"

// Service is a set of like backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that each server accepts from all callers together; 0 means no limit.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine holds the published cost model of chained model engines.
type Engine struct {
	Model string
	// Layers is the number of layers of the model.
	Layers int
	// LayerMB is the memory of one layer's weights in megabytes.
	LayerMB float64
	// TokenBytes is the memory that one token holds over all layers.
	TokenBytes float64
	// ActivationBytes is what one token sends from a part to the next.
	ActivationBytes float64
	// PipeMbps is the bandwidth between two failure domains in megabits a second, shared by all paths; 0 means no limit.
	PipeMbps float64
	// BatchSize is the number of requests that a server runs at once as the first part of their paths.
	BatchSize int
	// Step is the time of one token step over all layers at pace 1.
	Step time.Duration
	// StepPerSequence is added for each sequence of the step.
	StepPerSequence time.Duration
	// StepPerContext is added for each sequence and each 1,000 tokens of its context.
	StepPerContext time.Duration
	// ReadPerSecond is the number of prompt tokens read in a second over all layers at pace 1.
	ReadPerSecond float64
	// Chunk is the most prompt tokens that one pass reads.
	Chunk int
	// Stride is the number of token steps in one pass.
	Stride int
	// LoadTime is how long all layers take to load at pace 1.
	LoadTime time.Duration
	// LoadsAtOnce is the number of loads that run side by side without slowing each other; 0 means no limit.
	LoadsAtOnce int
	// ReportLag is how old a server's report may be.
	ReportLag time.Duration
	// UsualPrompt and UsualAnswer are mean tokens of a request.
	UsualPrompt int
	UsualAnswer int
	Kinds       []Kind
	// Delays holds the one-way delays between failure domains.
	Delays []Delay
}

// Kind is a kind of accelerator.
type Kind struct {
	Name string
	// MemoryMB is shared by weights and the memory of sequences.
	MemoryMB float64
	// StepPace multiplies the time of token steps.
	StepPace float64
	// ReadPace multiplies the time of reading prompts.
	ReadPace float64
}

// Delay is the one-way delay between two failure domains.
type Delay struct {
	From, To string
	Time     time.Duration
}

// Kind returns the kind of that name, or nil.
func (e *Engine) Kind(name string) *Kind {
	for i := range e.Kinds {
		if e.Kinds[i].Name == name {
			return &e.Kinds[i]
		}
	}
	return nil
}

// DelayBetween returns the one-way delay between two failure domains; inside one it is zero.
func (e *Engine) DelayBetween(a, b string) time.Duration {
	for _, d := range e.Delays {
		if d.From == a && d.To == b || d.From == b && d.To == a {
			return d.Time
		}
	}
	return 0
}

// LayerBytes returns the memory that one token holds in one layer.
func (e *Engine) LayerBytes() float64 {
	if e.Layers == 0 {
		return 0
	}
	return e.TokenBytes / float64(e.Layers)
}
