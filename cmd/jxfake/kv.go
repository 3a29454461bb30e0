package main

import (
	"time"

	"junctioncross/standin"
)

type kvCommand struct {
	Listen string `required:"" help:"IP number and port to listen on."`
}

// Run serves the key-value service.
func (c *kvCommand) Run() error {
	return serve(c.Listen, standin.NewKVServer(standin.NewKV(time.Now)).Handler())
}
