package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"junctioncross/bench"
	"junctioncross/platform/fake/soak"
)

type logCommand struct {
	Rate     float64 `default:"30" help:"Requests a second."`
	Requests int     `default:"1000" help:"Number of requests."`
	Level    string  `default:"info" help:"Least severe level that is written."`
	Logs     string  `default:"out/log" help:"Directory for settings, log and processor profile."`
}

// Run measures how much an instance in front of the fake platform logs, and profiles the instance meanwhile.
func (l *logCommand) Run(c *commands) error {
	if err := os.MkdirAll(l.Logs, 0o750); err != nil {
		return errors.Wrap(err, "log")
	}
	cost, err := soak.MeasureLogCost(soak.LogCostOptions{
		Bin: c.Bin, Dir: l.Logs, Level: l.Level, Requests: l.Requests, Rate: l.Rate, ServiceTimeout: serviceTimeout,
	})
	if err != nil {
		return errors.Wrap(err, "log")
	}
	p := bench.NewPrinter(os.Stdout)
	p.Figure("whole", float64(cost.Complete), "count")
	p.Figure("refused", float64(cost.Refused), "count")
	p.Figure("other", float64(cost.Other), "count")
	p.Figure("took", cost.Elapsed.Seconds(), "s")
	p.Figure("lines", float64(cost.Lines), "count")
	p.Figure("bytes", float64(cost.Bytes), "bytes")
	p.Figure("bytes_s", float64(cost.Bytes)/cost.Elapsed.Seconds(), "bytes/s")
	p.Note("processor profile in %s, taken over %s", cost.Profile, cost.Elapsed.Round(time.Second))
	for line := range strings.Lines(cost.Metrics) {
		if strings.HasPrefix(line, "jx_log_") {
			fmt.Print("note ", line)
		}
	}
	return nil
}
