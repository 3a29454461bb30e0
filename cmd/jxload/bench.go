package main

import (
	"os"

	"junctioncross/bench"
)

type benchCommand struct {
	Name string `arg:"" enum:"config,control,overload,recovery,state,throughput" help:"Which measurement: config, control, overload, recovery, state or throughput."`
}

// Run runs the measurement and prints its figures.
func (b *benchCommand) Run(c *commands) error {
	p := bench.NewPrinter(os.Stdout)
	switch b.Name {
	case "control":
		return bench.Control(c.Bin, p)
	case "overload":
		return bench.Overload(c.Bin, p)
	case "recovery":
		return bench.Recovery(c.Bin, p)
	case "state":
		return bench.State(p)
	case "throughput":
		return bench.Throughput(c.Bin, p)
	default:
		return bench.Config(c.Bin, p)
	}
}
