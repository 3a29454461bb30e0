package main

import (
	"os"

	"github.com/pkg/errors"

	"junctioncross/demo"
)

type demoCommand struct{}

// Run prints one line for each check and fails unless all are ok.
func (*demoCommand) Run(c *commands) error {
	ok, err := demo.Run(c.Bin, os.Stdout)
	if err != nil {
		return err
	}
	if !ok {
		return errors.New("not every check is ok")
	}
	return nil
}
