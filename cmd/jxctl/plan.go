package main

import (
	"fmt"
	"strings"
)

type planCommand struct {
	ID string `arg:"" help:"Id of an intent to plan, or of a plan to show."`
}

// Run makes the plan of an intent, or shows a plan, and prints it.
func (p *planCommand) Run(c *commands) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	get := client.MakePlan
	if strings.HasPrefix(p.ID, "p-") {
		get = client.Plan
	}
	plan, err := get(p.ID)
	if err != nil {
		return err
	}
	fmt.Printf("plan %s on revision %d: %s\n", plan.ID, plan.Base, plan.Why)
	printLines("changes:", plan.Changes)
	printLines("effects:", plan.Effects)
	fmt.Println("next: jxctl confirm " + plan.ID)
	return nil
}
