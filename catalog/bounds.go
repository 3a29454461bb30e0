package catalog

import (
	"time"

	"github.com/pkg/errors"
)

// Bounds on figures, many times what a deployment has. They keep tables as long as the model, and as many servers as a fleet has, within the
// memory of an instance, and times and numbers of tokens within what their types hold.
const (
	maxLayers = 1024
	maxKinds  = 256
	maxDelays = 16384

	minLayerMB  = 1e-3
	maxLayerMB  = 1e6
	maxMemoryMB = 1e9
	// minTokenBytes applies where the context takes memory at all.
	minTokenBytes      = 1e-3
	maxTokenBytes      = 1e9
	maxActivationBytes = 1e9
	// minLinkMbps applies where the bandwidth has a limit.
	minLinkMbps = 1e-3
	maxLinkMbps = 1e9

	maxBatchSize     = 100_000
	maxStride        = 100_000
	maxLoadsAtOnce   = 1_000_000
	maxTokens        = 100_000_000
	minReadPerSecond = 1e-3
	maxReadPerSecond = 1e12
	maxPace          = 1e6
	maxEngineTime    = 24 * time.Hour

	maxConnections = 1_000_000
	maxAttempts    = 1_000_000
	maxWeight      = 1e9
	maxPriority    = 1_000_000
	maxRequestTime = 30 * 24 * time.Hour
	// maxHeaderBytes is kept for each connection.
	maxHeaderBytes = 1 << 20
	maxBodyBytes   = 1 << 30
)

// figure is a number of the configuration with its bounds; unit is empty for plain numbers.
type figure struct {
	name               string
	value, least, most float64
	unit               string
}

// duration returns the figure of a time that may be zero.
func duration(name string, value, most time.Duration) figure {
	return figure{name: name, value: value.Seconds(), most: most.Seconds(), unit: " s"}
}

// count returns the figure of a number that may be zero.
func count(name string, value, most int) figure {
	return figure{name: name, value: float64(value), most: float64(most)}
}

// orZero returns the figure with bounds that include 0, which says that it is not known or has no limit.
func (f figure) orZero() figure {
	if f.value == 0 {
		f.least = 0
	}
	return f
}

// checkFigures returns an error that names the first figure beyond its bounds and its value.
func checkFigures(owner string, figures []figure) error {
	for _, f := range figures {
		if !(f.value >= f.least && f.value <= f.most) {
			return errors.Errorf("catalog: %s: %s is %g%s, bounds are %g and %g", owner, f.name, f.value, f.unit, f.least, f.most)
		}
	}
	return nil
}

// figures returns the figures of the engine.
func (e *Engine) figures() []figure {
	out := []figure{
		{name: "layers", value: float64(e.Layers), least: 1, most: maxLayers},
		{name: "memory of a layer", value: e.LayerMB, least: minLayerMB, most: maxLayerMB, unit: " MB"},
		figure{name: "memory of a token", value: e.TokenBytes, least: minTokenBytes, most: maxTokenBytes, unit: " bytes"}.orZero(),
		{name: "activation of a token", value: e.ActivationBytes, most: maxActivationBytes, unit: " bytes"},
		figure{name: "bandwidth between domains", value: e.LinkMbps, least: minLinkMbps, most: maxLinkMbps, unit: " Mbit/s"}.orZero(),
		count("batch size", e.BatchSize, maxBatchSize),
		duration("step", e.Step, maxEngineTime),
		duration("step for each sequence", e.StepPerSequence, maxEngineTime),
		duration("step for 1,000 tokens of context", e.StepPerContext, maxEngineTime),
		{name: "prompt tokens read in a second", value: e.ReadPerSecond, least: minReadPerSecond, most: maxReadPerSecond},
		count("chunk", e.Chunk, maxTokens),
		count("stride", e.Stride, maxStride),
		duration("time to load", e.LoadTime, maxEngineTime),
		count("loads at once", e.LoadsAtOnce, maxLoadsAtOnce),
		duration("age of reports", e.ReportLag, maxEngineTime),
		count("usual prompt", e.UsualPrompt, maxTokens),
		count("usual answer", e.UsualAnswer, maxTokens),
		{name: "number of kinds", value: float64(len(e.Kinds)), least: 1, most: maxKinds},
		count("number of delays", len(e.Delays), maxDelays),
	}
	for _, k := range e.Kinds {
		out = append(out,
			figure{name: "memory of kind " + k.Name, value: k.MemoryMB, most: maxMemoryMB, unit: " MB"},
			figure{name: "pace of kind " + k.Name, value: k.StepPace, most: maxPace},
			figure{name: "pace of reading of kind " + k.Name, value: k.ReadPace, most: maxPace},
		)
	}
	for _, d := range e.Delays {
		out = append(out, duration("delay from "+d.From+" to "+d.To, d.Time, maxEngineTime))
	}
	return out
}

// figures returns the figures of the route.
func (r *Route) figures() []figure {
	out := []figure{
		{name: "timeout", value: r.Timeout.Seconds(), least: time.Nanosecond.Seconds(), most: maxRequestTime.Seconds(), unit: " s"},
		duration("objective", r.Objective, maxRequestTime),
		duration("objective of pauses", r.PauseObjective, maxRequestTime),
		{name: "attempts", value: float64(r.MaxAttempts), least: 1, most: maxAttempts},
		priorityFigure(r.Priority),
	}
	for _, t := range r.Targets {
		out = append(out, figure{name: "weight of service " + t.Service, value: t.Weight, most: maxWeight})
	}
	return out
}

// figures returns the figures of the limits; 0 stands for a default.
func (l *Limits) figures() []figure {
	return []figure{
		count("bytes of a header", l.HeaderBytes, maxHeaderBytes),
		count("bytes of a body", l.BodyBytes, maxBodyBytes),
		duration("time for a header", l.HeaderTime, maxRequestTime),
		duration("idle time", l.IdleTime, maxRequestTime),
	}
}

func priorityFigure(priority int) figure {
	return figure{name: "priority", value: float64(priority), least: -maxPriority, most: maxPriority}
}
