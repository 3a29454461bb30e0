package main

import (
	"fmt"

	"junctioncross/schema"
)

type linesCommand struct{}

// Run prints the page that describes every line of the log.
func (*linesCommand) Run() error {
	page, err := schema.Reference()
	if err != nil {
		return err
	}
	fmt.Print(page)
	return nil
}
