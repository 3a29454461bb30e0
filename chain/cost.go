package chain

import (
	"time"

	"junctioncross/catalog"
)

const contextUnit = 1000.0

// StepTime returns the time of one token step of a server that runs that many layers for that many sequences, each with
// that many tokens of context.
func StepTime(e *catalog.Engine, k *catalog.Kind, layers int, sequences, context float64) time.Duration {
	share := float64(layers) / float64(e.Layers)
	perSequence := float64(e.StepPerSequence)*k.ReadPace + float64(e.StepPerContext)*k.StepPace*context/contextUnit
	return time.Duration(share * (float64(e.Step)*k.StepPace + sequences*perSequence))
}

// ReadTime returns the time that a server takes to read that many prompt tokens through that many layers.
func ReadTime(e *catalog.Engine, k *catalog.Kind, layers, tokens int) time.Duration {
	share := float64(layers) / float64(e.Layers)
	return time.Duration(share * float64(tokens) / e.ReadPerSecond * k.ReadPace * float64(time.Second))
}

// Room returns the memory that a server has for sequences beside that many layers, in tokens times layers.
func Room(e *catalog.Engine, k *catalog.Kind, layers int) float64 {
	free := k.MemoryMB - float64(layers)*e.LayerMB
	if free <= 0 || e.LayerBytes() == 0 {
		return 0
	}
	return free * 1e6 / e.LayerBytes()
}
