package placement

import (
	"time"

	"junctioncross/catalog"
	"junctioncross/chain"
)

// stepTime returns how long one token step of all layers with the given number of sequences keeps a server of the kind busy,
// including the share of prompt reading: in the time in which an answer is generated, one prompt is read for each sequence.
func stepTime(e *catalog.Engine, k *catalog.Kind, sequences int) time.Duration {
	step := chain.StepTime(e, k, e.Layers, float64(sequences), usualTokens(e))
	reading := chain.ReadTime(e, k, e.Layers, e.UsualPrompt)
	return step + times(sequences, reading)/time.Duration(max(e.UsualAnswer, 1))
}
