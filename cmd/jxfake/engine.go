package main

import (
	"time"

	"junctioncross/standin"
)

type engineCommand struct {
	Listen         string        `required:"" help:"IP number and port to listen on."`
	Name           string        `required:"" help:"Name of the backend server."`
	LayerMicros    float64       `default:"200" help:"Time of one layer for an empty batch, in microseconds."`
	SequenceMicros float64       `default:"5" help:"Time added for each layer and sequence, in microseconds."`
	PrefillMicros  float64       `default:"1" help:"Time added for each layer and prompt position, in microseconds."`
	MaxBatch       int           `default:"16" help:"Largest batch."`
	ReportLag      time.Duration `default:"500ms" help:"How old the load report is."`
	Weights        string        `required:"" help:"IP number and port of the weight store."`
	IgnoreFence    bool          `help:"Take orders with any fence."`
}

// Run serves one model engine.
func (c *engineCommand) Run() error {
	return serve(c.Listen, standin.EngineHandler(standin.NewEngine(standin.EngineSettings{
		Name:           c.Name,
		LayerMicros:    c.LayerMicros,
		SequenceMicros: c.SequenceMicros,
		PrefillMicros:  c.PrefillMicros,
		MaxBatch:       c.MaxBatch,
		ReportLag:      c.ReportLag,
		Fetch:          standin.FetchFrom(c.Weights),
		IgnoreFence:    c.IgnoreFence,
	})))
}
