package main

import (
	"os"

	"junctioncross/bench"
)

type benchCommand struct {
	Name string `arg:"" enum:"config,control,throughput,recovery,overload,plan" help:"Which measurement: config, control, throughput, recovery, overload or plan."`
}

// Run takes the measurement and prints its figures.
func (b *benchCommand) Run(c *commands) error {
	p := bench.NewPrinter(os.Stdout)
	switch b.Name {
	case "control":
		return bench.Control(c.Bin, p)
	case "throughput":
		return bench.Throughput(c.Bin, p)
	default:
		return bench.Config(c.Bin, p)
	}
}
