package bench

import (
	"fmt"
	"time"

	"junctioncross/fleet"
	"junctioncross/intent"
	"junctioncross/load"
	"junctioncross/plan"
	"junctioncross/standin"
)

// benchLayers is the number of layers of the model that the throughput, overload and recovery benchmarks use.
const benchLayers = 24

// poolSpec describes one domain with ten engines of five kinds, on links with latencies from 20 microseconds to 2
// milliseconds. The engines are slow enough that eight cores suffice for the fake engines, the instances and the callers.
func poolSpec(entries int) fleet.Spec {
	spec := fleet.DefaultSpec()
	spec.Domains, spec.Entries = []string{"d"}, []int{entries}
	spec.Models = []intent.Model{{Name: fleet.ModelCounter, Layers: benchLayers, Version: "v1"}}
	spec.Groups = []intent.Group{{Name: "counter", Weight: 1, Models: []string{fleet.ModelCounter}}}
	spec.Accounts = []fleet.AccountSpec{{Name: fleet.AccountCounter, Group: "counter", Key: fleet.KeyCounter, Weight: 1}}
	for i := range 9 {
		spec.Accounts = append(spec.Accounts, fleet.AccountSpec{Name: fmt.Sprint("t", i), Group: "counter", Key: fmt.Sprint("sk-t", i), Weight: 1})
	}
	spec.Kinds = slowKinds()
	spec.Engines = []string{"a", "a", "b", "b", "c", "c", "d", "d", "e", "e"}
	spec.LinkMicros = []float64{20, 200, 20, 1000, 100, 20, 500, 20, 2000, 50}
	spec.Services = nil
	spec.QueueWait = 20 * time.Second
	return spec
}

// slowKinds returns five kinds of engines whose batch steps take 10 to 20 milliseconds for a third of the layers.
func slowKinds() []intent.Kind {
	return []intent.Kind{
		{Name: "a", LayerMicros: 900, SequenceMicros: 25, MaxBatch: 16, MaxLayers: 12},
		{Name: "b", LayerMicros: 1000, SequenceMicros: 30, MaxBatch: 16, MaxLayers: 12},
		{Name: "c", LayerMicros: 1100, SequenceMicros: 40, MaxBatch: 12, MaxLayers: 12},
		{Name: "d", LayerMicros: 1300, SequenceMicros: 60, MaxBatch: 8, MaxLayers: 12},
		{Name: "e", LayerMicros: 1500, SequenceMicros: 80, MaxBatch: 8, MaxLayers: 12},
	}
}

// throughputBound returns the tokens a second of the first model that the engines of the fleet allow.
func throughputBound(spec fleet.Spec) float64 {
	d := &intent.Document{Models: spec.Models, Kinds: spec.Kinds}
	for range spec.Domains {
		for _, kind := range spec.Engines {
			d.Backends = append(d.Backends, intent.Backend{Kind: kind, Model: spec.Models[0].Name})
		}
	}
	return plan.ThroughputBound(d, spec.Models[0].Name)
}

// answerCheck returns a check that compares answers with the expected ones, which it computes without the fleet.
func answerCheck(spec fleet.Spec) load.Check {
	m := spec.Models[0]
	model := standin.NewModel(m.Name, m.Version, m.Layers)
	return func(a load.Request, r *load.Response) bool {
		text, _, _ := model.Answer(load.PromptText(a.Prompt), a.MaxTokens)
		return text == r.Text
	}
}

// requests returns a function that makes the n-th request, for an answer of at most limit tokens. It assigns requests to the
// instances in turn.
func requests(f *fleet.Fleet, limit int) func(n int) load.Request {
	return func(n int) load.Request {
		e := f.Entries()[n%len(f.Entries())]
		return load.Request{
			Addr: e.Callers, Key: fleet.KeyCounter, Model: fleet.ModelCounter,
			Prompt: fmt.Sprintf("question %d about a bundle", n), MaxTokens: limit,
		}
	}
}

// printSummary prints the counts of the outcomes, with names that begin with prefix.
func printSummary(p *Printer, prefix string, s load.Summary) {
	p.Figure(prefix+"requests", float64(s.Requests), "count")
	p.Figure(prefix+"whole", float64(s.Complete), "count")
	p.Figure(prefix+"refused", float64(s.Refused), "count")
	p.Figure(prefix+"lost", float64(s.Lost), "count")
	p.Figure(prefix+"wrong", float64(s.Wrong), "count")
	for reason, n := range s.Reasons {
		p.Figure(prefix+"reason_"+string(reason), float64(n), "count")
	}
}
