package plan

import "junctioncross/intent"

const microsPerSecond = 1e6

// LayerRate returns the speed of a kind with full batches, in layers times tokens a second.
func LayerRate(k *intent.Kind) float64 {
	batch := float64(k.MaxBatch)
	return batch * microsPerSecond / (k.LayerMicros + k.SequenceMicros*batch)
}

// StepMicros returns the duration of one step over the given numbers of layers and sequences, in microseconds.
func StepMicros(k *intent.Kind, layers, sequences int) float64 {
	return float64(layers) * (k.LayerMicros + k.SequenceMicros*float64(sequences))
}

// ThroughputBound returns the tokens a second that the placed backend servers could deliver for one model if work could be split
// among them without loss: the sum of their layer rates divided by the number of layers. It is 0 for an unknown model.
func ThroughputBound(d *intent.Document, model string) float64 {
	m := d.Model(model)
	if m == nil {
		return 0
	}
	total := 0.0
	for i := range d.Backends {
		b := &d.Backends[i]
		if k := d.Kind(b.Kind); k != nil && b.Model == model && !b.Retiring {
			total += LayerRate(k)
		}
	}
	return total / float64(m.Layers)
}
