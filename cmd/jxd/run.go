package main

import (
	"junctioncross/app"
	"junctioncross/config"
)

type runCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run starts the instance; SIGTERM and SIGINT make it finish the requests in flight and return.
func (c *runCommand) Run() error {
	set, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	return app.Run(set, stopOnSignal())
}
