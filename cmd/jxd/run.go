package main

import (
	"os"
	"os/signal"
	"syscall"

	"junctioncross/app"
	"junctioncross/config"
)

type runCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run starts the instance; SIGTERM and SIGINT let it finish the requests under way.
func (c *runCommand) Run() error {
	set, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return app.Run(set, stop)
}
