package main

import (
	"fmt"

	"junctioncross/config"
)

type checkCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file."`
}

// Run reads and checks the file; every mistake is printed with its line.
func (c *checkCommand) Run() error {
	if _, err := config.Load(c.Settings); err != nil {
		return err
	}
	fmt.Println(c.Settings + ": ok")
	return nil
}
