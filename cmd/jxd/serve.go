package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"junctioncross/app"
	"junctioncross/config"
	"junctioncross/timer"
)

type serveCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run starts an instance in front of a platform's backend servers; SIGTERM and SIGINT make it finish the requests in
// flight and return.
func (c *serveCommand) Run() error {
	set, err := config.LoadHosted(c.Settings)
	if err != nil {
		return err
	}
	return app.RunHosted(set, app.Signals{Stop: stopOnSignal(), Reload: c.watchSettings()})
}

// filePollPeriod is how often the settings file is checked for changes, since platforms also change it without a signal.
const filePollPeriod = 2 * time.Second

// watchSettings returns a channel that delivers the settings on SIGHUP and whenever the settings file has changed. A file that cannot
// be used is delivered as an error and changes nothing.
func (c *serveCommand) watchSettings() <-chan app.Reload {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	polls := timer.NewReal().Subscribe(filePollPeriod)
	out := make(chan app.Reload)
	seen := c.fileVersion()
	go func() {
		for {
			select {
			case <-signals:
			case <-polls.C():
				if c.fileVersion() == seen {
					continue
				}
			}
			seen = c.fileVersion()
			out <- c.reload()
		}
	}()
	return out
}

// reload reads the settings file. A panic over it is an error like others: nothing may end the answers under way for a file that is not used.
func (c *serveCommand) reload() (out app.Reload) {
	defer func() {
		if cause := recover(); cause != nil {
			out = app.Reload{Err: errors.Errorf("panic: %v: %s", cause, debug.Stack())}
		}
	}()
	set, err := config.LoadHosted(c.Settings)
	return app.Reload{Settings: set, Err: err}
}

// fileVersion holds the attributes of the settings file that show whether it has changed.
type fileVersion struct {
	modified time.Time
	size     int64
}

func (c *serveCommand) fileVersion() fileVersion {
	info, err := os.Stat(c.Settings)
	if err != nil {
		// The file may be being replaced; it is read again at the next poll.
		return fileVersion{}
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}
}

// stopOnSignal returns a channel that is closed by SIGTERM or SIGINT.
func stopOnSignal() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}
