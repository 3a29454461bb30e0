package main

import (
	"os"
	"os/signal"
	"syscall"

	"junctioncross/app"
	"junctioncross/config"
)

type serveCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run starts an instance in front of a platform's backend servers; SIGTERM and SIGINT let it finish the requests under way.
func (c *serveCommand) Run() error {
	set, err := config.LoadHosted(c.Settings)
	if err != nil {
		return err
	}
	return app.RunHosted(set, app.Signals{Stop: untilTold(), Reload: c.reloads()})
}

// reloads delivers the settings each time that SIGHUP says that they have changed; a file that cannot be used comes as an
// error and changes nothing.
func (c *serveCommand) reloads() <-chan app.Reload {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan app.Reload)
	go func() {
		for range signals {
			set, err := config.LoadHosted(c.Settings)
			out <- app.Reload{Settings: set, Err: err}
		}
	}()
	return out
}

// untilTold returns a channel that is closed by SIGTERM or SIGINT.
func untilTold() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}
