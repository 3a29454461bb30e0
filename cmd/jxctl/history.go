package main

import (
	"fmt"
	"strings"
)

type historyCommand struct{}

// Run prints the confirmed plans, the newest first.
func (*historyCommand) Run(c *commands) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	entries, err := client.History()
	if err != nil {
		return err
	}
	for _, e := range entries {
		fmt.Printf("revision %d  %s  %s  plan %s: %s [%s]\n", e.Revision, e.When.Format("2006-01-02 15:04:05"), e.Who, e.Plan, e.Why, strings.Join(e.Changes, "; "))
	}
	return nil
}
