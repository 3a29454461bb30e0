package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

type intentCommand struct {
	File string `arg:"" type:"existingfile" help:"Intent in YAML."`
}

// Run sends the intent and prints its id.
func (i *intentCommand) Run(c *commands) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	body, err := os.ReadFile(i.File)
	if err != nil {
		return errors.Wrap(err, "read intent")
	}
	answer, err := client.Intent(filepath.Base(i.File), body)
	if err != nil {
		return err
	}
	printLines("intent "+answer.ID, answer.Changes)
	fmt.Println("next: jxctl plan " + answer.ID)
	return nil
}
