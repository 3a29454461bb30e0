package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"junctioncross/platform/fake/soak"
)

type soakCommand struct {
	First  uint64 `default:"1" help:"First seed."`
	Seeds  uint64 `default:"10" help:"Number of seeds."`
	Events int    `default:"24" help:"Faults and planned changes of each seed."`
	Domain int    `default:"2" help:"Instances in each of the two domains."`
	Logs   string `default:"out/soak" help:"Directory for settings and logs; those of seeds that found something stay."`
	Keep   bool   `help:"Keep the settings and logs of all seeds."`
}

// serviceTimeout bounds the wait for service at the start of a run and after its last fault.
const serviceTimeout = time.Minute

// Run runs the seeds one after the other and prints a line for each; it fails if any run has findings.
func (s *soakCommand) Run(c *commands) error {
	failed := 0
	for seed := s.First; seed < s.First+s.Seeds; seed++ {
		dir := filepath.Join(s.Logs, strconv.FormatUint(seed, 10))
		if err := os.MkdirAll(dir, 0o750); err != nil {
			return errors.Wrap(err, "soak")
		}
		r, err := soak.Run(soak.Options{Seed: seed, Bin: c.Bin, Dir: dir, Events: s.Events, PerDomain: s.Domain, ServiceTimeout: serviceTimeout})
		if err != nil {
			return errors.Wrap(err, "soak")
		}
		fmt.Printf("seed %d: %d requests, %d whole, %d stood still, %d broken off, %d findings, %d events\n",
			seed, r.Requests, r.Complete, r.Stalled, r.BrokenOff, len(r.Findings), len(r.Events))
		if len(r.Findings) == 0 {
			if s.Keep {
				continue
			}
			if err := os.RemoveAll(dir); err != nil {
				return errors.Wrap(err, "soak")
			}
			continue
		}
		failed++
		fmt.Println("  played:", r.Events)
		for _, f := range r.Findings {
			fmt.Println("  ", f)
		}
	}
	if failed > 0 {
		return errors.Errorf("%d seeds found something; logs in %s", failed, s.Logs)
	}
	return nil
}
