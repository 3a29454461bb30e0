package main

import (
	"fmt"

	"junctioncross/config"
)

type referenceCommand struct{}

// Run prints the page that describes every setting.
func (*referenceCommand) Run() error {
	page, err := config.Reference()
	if err != nil {
		return err
	}
	fmt.Print(page)
	return nil
}
