package config

import "time"

// Drain says how the instance stops.
type Drain struct {
	// Notice is how long the instance goes on taking requests after its health check fails, for the balancer to see it.
	Notice time.Duration `yaml:"notice" validate:"min=0s,max=1m"`
	// Limit is how long it waits for requests under way after that.
	Limit time.Duration `yaml:"limit" validate:"min=1s,max=1h"`
}

func defaultDrain() Drain { return Drain{Notice: 2 * time.Second, Limit: 2 * time.Minute} }
