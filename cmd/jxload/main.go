// Command jxload runs fleets on loopback, to try them out, to check them and to measure them.
package main

import (
	"github.com/alecthomas/kong"
)

type commands struct {
	Bin string `default:"bin" help:"Directory of the programs."`

	Run      runCommand      `cmd:"" help:"Start the users' fleet and keep it until Ctrl-C."`
	Demo     demoCommand     `cmd:"" help:"Start the users' fleet, check what it promises and stop it."`
	Bench    benchCommand    `cmd:"" help:"Take one measurement and print its figures."`
	Soak     soakCommand     `cmd:"" help:"Play random faults on real instances in front of the stand-in platform."`
	Log      logCommand      `cmd:"" help:"Measure what the log of an instance in front of the stand-in platform takes."`
	Capacity capacityCommand `cmd:"" help:"Write docs/CAPACITY.md from the measured figures."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("jxload"), kong.Description("Fleets, checks and measurements on loopback."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run(&c))
}
