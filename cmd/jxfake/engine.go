package main

import (
	"time"

	"github.com/pkg/errors"

	"junctioncross/standin"
)

type engineCommand struct {
	Listen         []string      `required:"" help:"IP numbers and ports to listen on, one engine each."`
	Name           []string      `required:"" help:"Names of the backend servers, one for each address."`
	LayerMicros    float64       `default:"200" help:"Time of one layer for an empty batch, in microseconds."`
	SequenceMicros float64       `default:"5" help:"Time added for each layer and sequence, in microseconds."`
	PrefillMicros  float64       `default:"1" help:"Time added for each layer and prompt position, in microseconds."`
	MaxBatch       int           `default:"16" help:"Largest batch."`
	ReportLag      time.Duration `default:"500ms" help:"How old the load report is."`
	Weights        string        `required:"" help:"IP number and port of the weight store."`
	Link           time.Duration `help:"One-way delay of the link."`
	IgnoreFence    bool          `help:"Take orders with any fence."`
}

// Run serves the model engines.
func (c *engineCommand) Run() error {
	if len(c.Listen) != len(c.Name) {
		return errors.Errorf("%d addresses for %d names; accepted: as many of each", len(c.Listen), len(c.Name))
	}
	failed := make(chan error, len(c.Listen))
	for i, addr := range c.Listen {
		handler := standin.EngineHandler(standin.NewEngine(c.settings(c.Name[i])))
		go func() { failed <- serve(addr, handler) }()
	}
	return <-failed
}

func (c *engineCommand) settings(name string) standin.EngineSettings {
	return standin.EngineSettings{
		Name:           name,
		LayerMicros:    c.LayerMicros,
		SequenceMicros: c.SequenceMicros,
		PrefillMicros:  c.PrefillMicros,
		MaxBatch:       c.MaxBatch,
		ReportLag:      c.ReportLag,
		Link:           c.Link,
		Fetch:          standin.FetchFrom(c.Weights),
		IgnoreFence:    c.IgnoreFence,
	}
}
