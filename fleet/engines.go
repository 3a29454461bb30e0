package fleet

import (
	"time"

	"junctioncross/engine"
	"junctioncross/standin"
)

var caller = engine.NewClient()

// EngineReport asks an engine for its load report.
func EngineReport(addr string) (engine.Report, error) {
	return caller.Report(addr, time.Second)
}

// SetEngineFault brings a fault of an engine about or ends it.
func SetEngineFault(e *Engine, fault standin.EngineFault) error {
	return Post(e.Addr, "/test/fault", fault)
}

// EngineTally returns what an engine recorded of its work.
func EngineTally(e *Engine) (standin.EngineTally, error) {
	return Get[standin.EngineTally](e.Addr, "/test/tally")
}
