package fleet

import (
	"time"

	"junctioncross/engine"
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
