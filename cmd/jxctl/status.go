package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"junctioncross/control"
)

type statusCommand struct {
	JSON bool `help:"Print JSON."`
}

// Run prints one line for each instance.
func (s *statusCommand) Run(c *commands) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	all, err := client.Status()
	if err != nil {
		return err
	}
	if s.JSON {
		return printJSON(all)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREVISION\tSILENT\tSTATE")
	for _, i := range all {
		fmt.Fprintf(w, "%s\t%s\t%d\t%dms\t%s\n", i.Name, i.Domain, i.Revision, i.SilentMS, stateOf(i))
	}
	return w.Flush()
}

// stateOf returns the text of the STATE column.
func stateOf(i control.InstanceStatus) string {
	switch {
	case i.Note != "":
		return i.Note
	case i.Leaving:
		return "leaving"
	case i.Leads:
		return "serving, gives orders"
	default:
		return "serving"
	}
}
