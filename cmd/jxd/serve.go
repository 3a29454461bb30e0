package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"junctioncross/app"
	"junctioncross/config"
	"junctioncross/timer"
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

// lookPeriod is how often the settings file is looked at, since platforms also change it without a signal.
const lookPeriod = 2 * time.Second

// reloads delivers the settings each time that SIGHUP says that they have changed, or that the file has; one that cannot be
// used comes as an error and changes nothing.
func (c *serveCommand) reloads() <-chan app.Reload {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	looks := timer.NewReal().Subscribe(lookPeriod)
	out := make(chan app.Reload)
	seen := c.stamp()
	go func() {
		for {
			select {
			case <-signals:
			case <-looks.C():
				if c.stamp() == seen {
					continue
				}
			}
			seen = c.stamp()
			set, err := config.LoadHosted(c.Settings)
			out <- app.Reload{Settings: set, Err: err}
		}
	}()
	return out
}

// stamp is what a change of the settings file shows by.
type stamp struct {
	modified time.Time
	size     int64
}

func (c *serveCommand) stamp() stamp {
	info, err := os.Stat(c.Settings)
	if err != nil {
		// A file that is being replaced is looked at again; until then nothing changes.
		return stamp{}
	}
	return stamp{modified: info.ModTime(), size: info.Size()}
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
