package main

import (
	"time"

	"junctioncross/standin"
)

type serviceCommand struct {
	Listen string        `required:"" help:"IP number and port to listen on."`
	Name   string        `default:"service" help:"Name that the answers carry."`
	Delay  time.Duration `default:"2ms" help:"Time that one call takes."`
}

// Run serves one plain service.
func (c *serviceCommand) Run() error {
	return serve(c.Listen, standin.NewPlain(c.Name, c.Delay).Handler())
}
