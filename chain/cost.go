package chain

import (
	"time"

	"junctioncross/catalog"
)

// longestTime bounds each predicted time, so that the sum over the servers of a path stays within the type.
const longestTime = time.Duration(1 << 50)

// duration converts nanoseconds to a time between zero and longestTime; what is no number is the longest.
func duration(nanoseconds float64) time.Duration {
	switch {
	case nanoseconds <= 0:
		return 0
	case nanoseconds < float64(longestTime):
		return time.Duration(nanoseconds)
	default:
		return longestTime
	}
}

// contextUnit is the number of tokens of context to which catalog.Engine.StepPerContext refers.
const contextUnit = 1000.0

// StepTime returns the predicted time of one token step of a server of kind k that runs the given number of layers for the
// given number of sequences, each with context tokens of context.
func StepTime(e *catalog.Engine, k *catalog.Kind, layers int, sequences, context float64) time.Duration {
	share := float64(layers) / float64(e.Layers)
	perSequence := float64(e.StepPerSequence)*k.ReadPace + float64(e.StepPerContext)*k.StepPace*context/contextUnit
	return duration(share * (float64(e.Step)*k.StepPace + sequences*perSequence))
}

// ReadTime returns the predicted time in which a server of kind k reads (prefills) the given number of prompt tokens through
// the given number of layers.
func ReadTime(e *catalog.Engine, k *catalog.Kind, layers, tokens int) time.Duration {
	share := float64(layers) / float64(e.Layers)
	return duration(share * float64(tokens) / e.ReadPerSecond * k.ReadPace * float64(time.Second))
}

// Room returns the memory for sequences, in tokens times layers, that a server of kind k has left when it holds the given
// number of layers.
func Room(e *catalog.Engine, k *catalog.Kind, layers int) float64 {
	free := k.MemoryMB - float64(layers)*e.LayerMB
	if free <= 0 || e.LayerBytes() == 0 {
		return 0
	}
	return free * 1e6 / e.LayerBytes()
}
