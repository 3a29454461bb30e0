package main

import (
	"time"

	"junctioncross/standin"
)

type weightsCommand struct {
	Listen   string        `required:"" help:"IP number and port to listen on."`
	PerLayer time.Duration `default:"2ms" help:"Time to deliver one layer, over all readers."`
}

// Run serves the weight store.
func (c *weightsCommand) Run() error {
	return serve(c.Listen, standin.NewWeights(c.PerLayer).Handler())
}
