package main

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"junctioncross/capacity"
)

type capacityCommand struct {
	Docs string `default:"docs" help:"Directory of the page, its figures and plots."`
}

// Run writes the page CAPACITY.md and its plots from the newest figures.
func (c *capacityCommand) Run(*commands) error {
	f, err := capacity.ReadFigures(filepath.Join(c.Docs, "figures"))
	if err != nil {
		return err
	}
	page, err := capacity.Page(f)
	if err != nil {
		return err
	}
	plots := filepath.Join(c.Docs, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return errors.Wrap(err, "plots")
	}
	if err := capacity.Plots(f, plots); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(c.Docs, "CAPACITY.md"), []byte(page), 0o644), "page")
}
