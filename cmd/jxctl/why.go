package main

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"junctioncross/explain"
)

// logFiles are the log files that a command reads.
type logFiles struct {
	Logs []string `arg:"" optional:"" type:"existingfile" help:"Log files of any number of instances; standard input when there are none."`
}

// read returns the lines of all log files; it reports to standard error how many were skipped.
func (f *logFiles) read() ([]explain.Line, error) {
	if len(f.Logs) == 0 {
		lines, _, err := explain.Read(os.Stdin)
		return lines, err
	}
	var all []explain.Line
	for _, name := range f.Logs {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "jxctl: open log")
		}
		lines, skipped, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
		if skipped > 0 {
			fmt.Fprintf(os.Stderr, "%s: %d lines are not JSON and were left out\n", name, skipped)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// printMatches reads the logs and has write print the lines on one request or instance; it fails if there are none.
func (f *logFiles) printMatches(write func(out io.Writer, lines []explain.Line, name string) bool, kind, name string) error {
	lines, err := f.read()
	if err != nil {
		return err
	}
	if !write(os.Stdout, lines, name) {
		return errors.Errorf("jxctl: no line of %s %s", kind, name)
	}
	return nil
}

type whyCommand struct {
	Request string `arg:"" help:"Id of the request."`
	logFiles
}

// Run prints what happened to one request, and why.
func (c *whyCommand) Run() error { return c.printMatches(explain.Why, "request", c.Request) }

type timelineCommand struct {
	Instance string `arg:"" help:"Name of the instance."`
	logFiles
}

// Run prints the log lines of an instance that belong to no request: what it did and what it knew of the fleet.
func (c *timelineCommand) Run() error {
	return c.printMatches(explain.Timeline, "instance", c.Instance)
}
