package config

import "time"

// Drain defines how the instance shuts down.
type Drain struct {
	// Notice is how long the instance keeps accepting requests after its health check starts to fail, so that the load balancer
	// notices.
	Notice time.Duration `yaml:"notice" validate:"min=0s,max=1m"`
	// Limit is how long the instance then waits for running requests to finish.
	Limit time.Duration `yaml:"limit" validate:"min=1s,max=1h"`
}

func defaultDrain() Drain { return Drain{Notice: 2 * time.Second, Limit: 2 * time.Minute} }
