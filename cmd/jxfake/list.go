package main

import (
	"time"

	"junctioncross/standin"
)

type listCommand struct {
	Listen string        `required:"" help:"IP number and port to listen on."`
	Lag    time.Duration `default:"5s" help:"How old the list is that readers see."`
}

// Run serves the instance list.
func (c *listCommand) Run() error { return serve(c.Listen, standin.NewInstanceList(c.Lag).Handler()) }
