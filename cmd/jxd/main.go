// Command jxd runs an entry instance: it answers callers, sends their requests through backend servers and takes part in the control
// of the fleet.
package main

import (
	"github.com/alecthomas/kong"
)

type commands struct {
	Run       runCommand       `cmd:"" help:"Run an entry instance until it is told to stop."`
	Serve     serveCommand     `cmd:"" help:"Run an entry instance in front of a platform's backend servers until it is told to stop."`
	Check     checkCommand     `cmd:"" help:"Check a settings file without starting."`
	Reference referenceCommand `cmd:"" help:"Print the description of every setting."`
	Lines     linesCommand     `cmd:"" help:"Print the description of every line of the log."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c, kong.Name("jxd"), kong.Description("Entry instance of junctioncross."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
