package catalog

import (
	"time"

	"github.com/pkg/errors"

	"junctioncross/models"
)

// Errors of values that do not fit an engine.
var (
	// ErrNoSuchLayers means that a range of layers is not within the model.
	ErrNoSuchLayers = errors.New("catalog: layers beyond the model")
	// ErrNoSuchKind means that the engine has no such kind of accelerator.
	ErrNoSuchKind = errors.New("catalog: no such kind")
)

// Service is a set of interchangeable backend servers, or of model engines that run the layers of one model together.
type Service struct {
	Name string
	// MaxConnections is the number of connections that each server accepts from all callers together; 0 means no limit.
	MaxConnections int
	// Engine is nil for plain services, whose servers each answer requests alone.
	Engine *Engine
}

// RunsLike reports whether servers of the service can go on with requests of another one: both are plain, or run the layers of the same model.
func (s *Service) RunsLike(other *Service) bool {
	if s.Engine == nil || other.Engine == nil {
		return s.Engine == other.Engine
	}
	return s.Engine.Model == other.Engine.Model && s.Engine.Layers == other.Engine.Layers
}

// Engine holds the published cost model of chained model engines: backend servers that each run a range of a model's layers
// and pass activations on to the next.
type Engine struct {
	Model string
	// Layers is the number of layers of the model.
	Layers int
	// LayerMB is the memory of one layer's weights in megabytes.
	LayerMB float64
	// TokenBytes is the memory that one token of a sequence's context takes, summed over all layers.
	TokenBytes float64
	// ActivationBytes is the data that one token sends from one stage of its path to the next.
	ActivationBytes float64
	// LinkMbps is the bandwidth of the link between two failure domains in megabits a second, shared by all paths; 0 means no
	// limit.
	LinkMbps float64
	// BatchSize is the number of requests that a server runs at once as the first server of their paths.
	BatchSize int
	// Step is the time of one token step over all layers at pace 1; a pace of 2 doubles it.
	Step time.Duration
	// StepPerSequence is added to Step for each sequence in the batch.
	StepPerSequence time.Duration
	// StepPerContext is added to Step for each 1,000 tokens of context of each sequence in the batch.
	StepPerContext time.Duration
	// ReadPerSecond is the number of prompt tokens processed (prefilled) in a second over all layers at pace 1.
	ReadPerSecond float64
	// Chunk is the maximum number of prompt tokens that one pass processes.
	Chunk int
	// Stride is the number of token steps in one pass.
	Stride int
	// LoadTime is how long all layers take to load at pace 1.
	LoadTime time.Duration
	// LoadsAtOnce is the number of loads of layers that can run at once without slowing each other; 0 means no limit.
	LoadsAtOnce int
	// ReportLag is the maximum age of the state that a server's report describes.
	ReportLag time.Duration
	// UsualPrompt and UsualAnswer are the mean numbers of prompt and answer tokens of a request.
	UsualPrompt int
	UsualAnswer int
	Kinds       []Kind
	// Delays holds the one-way delays between failure domains.
	Delays []Delay
}

// Kind is a kind of accelerator.
type Kind struct {
	Name string
	// MemoryMB is the memory for weights and for the context of sequences together, in megabytes.
	MemoryMB float64
	// StepPace is the factor by which token steps take longer than at pace 1.
	StepPace float64
	// ReadPace is the factor by which prompt processing takes longer than at pace 1.
	ReadPace float64
}

// Delay is the one-way network delay between two failure domains, in either direction.
type Delay struct {
	From, To string
	Time     time.Duration
}

// HasLayers reports whether a range of layers is within the engine's model, as an empty one may be.
func (e *Engine) HasLayers(l models.Layers) bool {
	return l.First >= 0 && l.End >= l.First && l.End <= e.Layers
}

// Kind returns the kind with the given name, or nil.
func (e *Engine) Kind(name string) *Kind {
	for i := range e.Kinds {
		if e.Kinds[i].Name == name {
			return &e.Kinds[i]
		}
	}
	return nil
}

// DelayBetween returns the one-way network delay between two failure domains; it is zero for pairs without
// an entry in Delays, which includes a domain with itself.
func (e *Engine) DelayBetween(a, b string) time.Duration {
	for _, d := range e.Delays {
		if d.From == a && d.To == b || d.From == b && d.To == a {
			return d.Time
		}
	}
	return 0
}

// LayerBytes returns the memory that one token of a sequence's context takes in one layer.
func (e *Engine) LayerBytes() float64 {
	if e.Layers == 0 {
		return 0
	}
	return e.TokenBytes / float64(e.Layers)
}
