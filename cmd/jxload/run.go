package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"junctioncross/fleet"
)

type runCommand struct{}

// Run starts the fleet, prints how to reach it and waits for Ctrl-C.
func (*runCommand) Run(c *commands) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	f, err := fleet.Start(fleet.DefaultSpec(), c.Bin)
	if err != nil {
		return err
	}
	defer f.Stop()
	for _, e := range f.Entries() {
		fmt.Printf("instance %-14s callers http://%s operators https://%s health http://%s\n", e.Name, e.Callers, e.Ops, e.Health)
	}
	first := f.Entries()[0]
	fmt.Printf("\nkey     %s (account %s, model %s)\n", fleet.KeyCounter, fleet.AccountCounter, fleet.ModelCounter)
	fmt.Printf("logs    %s\n", f.Dir())
	fmt.Printf("jxctl   %s/jxctl --address %s --keys %s/keys status\n\n", c.Bin, first.Ops, f.Dir())
	fmt.Printf("curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n", first.Callers, fleet.KeyCounter, fleet.ModelCounter)
	fmt.Println("running until Ctrl-C")
	<-signals
	fmt.Println("stopping")
	return nil
}
