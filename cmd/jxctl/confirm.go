package main

import (
	"fmt"
)

type confirmCommand struct {
	Plan string `arg:"" help:"Id of the plan."`
}

// Run confirms the plan; confirming the same plan twice returns the same revision.
func (p *confirmCommand) Run(c *commands) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	entry, err := client.Confirm(p.Plan)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d: plan %s confirmed by %s at %s\n", entry.Revision, entry.Plan, entry.Who, entry.When.Format("2006-01-02 15:04:05"))
	return nil
}
