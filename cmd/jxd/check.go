package main

import (
	"fmt"

	"junctioncross/config"
)

type checkCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file."`
	Serve    bool   `help:"The file is one for jxd serve."`
}

// Run reads and checks the settings file; the error names every mistake with its line.
func (c *checkCommand) Run() error {
	if err := c.load(); err != nil {
		return err
	}
	fmt.Println(c.Settings + ": ok")
	return nil
}

// load reads the file as jxd serve does, or as jxd run does.
func (c *checkCommand) load() error {
	if c.Serve {
		_, err := config.LoadHosted(c.Settings)
		return err
	}
	_, err := config.Load(c.Settings)
	return err
}
