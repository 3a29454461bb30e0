package config

import "time"

// Limits holds the limits on the requests and connections of callers.
type Limits struct {
	// BodyBytes is the maximum size of a request body, in bytes.
	BodyBytes int `yaml:"body_bytes" validate:"min=1024,max=67108864"`
	// RequestTime is the maximum duration of a request from start to end.
	RequestTime time.Duration `yaml:"request_time" validate:"min=100ms,max=1h"`
	// QueueWait is the maximum predicted time that a request may wait to be admitted; a request that would wait longer is
	// refused.
	QueueWait time.Duration `yaml:"queue_wait" validate:"min=1ms,max=1m"`
	// IdleTime is how long a caller's connection may stay idle.
	IdleTime time.Duration `yaml:"idle_time" validate:"min=1s,max=1h"`
	// Connections is the maximum number of callers' connections.
	Connections int `yaml:"connections" validate:"min=16,max=1000000"`
	// ClaimPartitions is the number of partitions of the claim log, the same on every instance.
	ClaimPartitions int `yaml:"claim_partitions" validate:"min=1,max=256"`
}

func defaultLimits() Limits {
	return Limits{
		BodyBytes:       1 << 20,
		RequestTime:     2 * time.Minute,
		QueueWait:       500 * time.Millisecond,
		IdleTime:        time.Minute,
		Connections:     50_000,
		ClaimPartitions: 8,
	}
}
