package main

import (
	"fmt"

	"junctioncross/view"
)

type hashCommand struct {
	Key string `arg:"" help:"The client account's bearer key."`
}

// Run prints the key's hash.
func (h *hashCommand) Run(*commands) error {
	fmt.Println(view.HashKey(h.Key))
	return nil
}
