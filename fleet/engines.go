package fleet

import (
	"fmt"
	"time"

	"junctioncross/engine"
	"junctioncross/intent"
	"junctioncross/ports"
	"junctioncross/standin"
)

var client = engine.NewClient()

// EngineReport requests the load report of an engine.
func EngineReport(addr string) (engine.Report, error) {
	return client.Report(addr, time.Second)
}

// SetEngineFault sets the fault that an engine simulates; the zero value ends it.
func SetEngineFault(e *Engine, fault standin.EngineFault) error {
	return Post(e.Addr, "/test/fault", fault)
}

// EngineTally returns what an engine recorded of its work.
func EngineTally(e *Engine) (standin.EngineTally, error) {
	return Get[standin.EngineTally](e.Addr, "/test/tally")
}

// Engine is one model engine of a fleet.
type Engine struct {
	Process *Process
	Name    string
	Domain  string
	Kind    string
	Addr    string
	// linkMicros is the one-way delay of the link to the engine, in microseconds.
	linkMicros float64
	// advertised is the address under which entry instances reach the engine.
	advertised string
}

// startEngines starts the engines of all domains.
func (f *Fleet) startEngines() error {
	addrs, err := ports.Free(len(f.spec.Domains) * len(f.spec.Engines))
	if err != nil {
		return err
	}
	for _, domain := range f.spec.Domains {
		first := len(f.engines)
		for i, kind := range f.spec.Engines {
			e := &Engine{Name: fmt.Sprintf("%s-%s%d", domain, kind, i), Domain: domain, Kind: kind, Addr: addrs[len(f.engines)]}
			if n := len(f.spec.LinkMicros); n > 0 {
				e.linkMicros = f.spec.LinkMicros[i%n]
			}
			if e.advertised, err = f.proxies.engineAddr(e); err != nil {
				return err
			}
			f.engines = append(f.engines, e)
		}
		if err := f.startDomainEngines(f.engines[first:]); err != nil {
			return err
		}
	}
	return nil
}

// startDomainEngines starts the engines of one domain, each in a process of its own unless they share one.
func (f *Fleet) startDomainEngines(engines []*Engine) error {
	if f.spec.SharedEngines && len(engines) > 0 {
		return f.startEngineProcess(engines...)
	}
	for _, e := range engines {
		if err := f.startEngineProcess(e); err != nil {
			return err
		}
	}
	return nil
}

// StartEngine starts the process of an engine again.
func (f *Fleet) StartEngine(e *Engine) error { return f.startEngineProcess(e) }

// startEngineProcess starts one process that runs the given engines, all with the kind and the link of the first.
func (f *Fleet) startEngineProcess(engines ...*Engine) error {
	k := f.kind(engines[0].Kind)
	args := []string{
		"engine", "--weights", f.weightsAddr, "--layer-micros", fmt.Sprint(k.LayerMicros),
		"--sequence-micros", fmt.Sprint(k.SequenceMicros), "--max-batch", fmt.Sprint(k.MaxBatch),
		"--link", time.Duration(engines[0].linkMicros * float64(time.Microsecond)).String(),
	}
	for _, e := range engines {
		args = append(args, "--listen", e.Addr, "--name", e.Name)
	}
	p, err := f.starter.start(engines[0].Name, f.program("jxfake"), args...)
	for _, e := range engines {
		e.Process = p
	}
	return err
}

// kind returns the kind of that name.
func (f *Fleet) kind(name string) intent.Kind {
	for _, k := range f.spec.Kinds {
		if k.Name == name {
			return k
		}
	}
	return intent.Kind{}
}
