package config

import "time"

// Hosted is the settings file of jxd serve, which runs in front of a platform's backend servers.
type Hosted struct {
	Instance HostedInstance `yaml:"instance"`
	Listen   HostedListen   `yaml:"listen"`
	Store    HostedStore    `yaml:"store"`
	Memory   HostedMemory   `yaml:"memory"`
	Keys     HostedKeys     `yaml:"keys"`
	Repeats  HostedRepeats  `yaml:"repeats"`
	Stop     HostedStop     `yaml:"stop"`
	Engines  HostedEngines  `yaml:"engines"`
	Servers  HostedServers  `yaml:"servers"`
	Relays   HostedRelays   `yaml:"relays"`
	// Quarantine keeps requests from servers that have ended under them.
	Quarantine HostedQuarantine `yaml:"quarantine"`
	Log        Log              `yaml:"log"`
}

// HostedInstance says which entry instance this process is.
type HostedInstance struct {
	// Name is unique in the fleet.
	Name string `yaml:"name" validate:"required"`
	// Domain is the failure domain that the instance stands in.
	Domain string `yaml:"domain" validate:"required"`
	// Power is the processor power of the instance against that of others; the most powerful of a domain is its relay.
	Power float64 `yaml:"power" validate:"min=0"`
}

// HostedListen holds the addresses that the instance answers on.
type HostedListen struct {
	// Callers is the IP number and port for callers.
	Callers string `yaml:"callers" validate:"ipport"`
	// Readiness is the IP number and port of the balancer's check.
	Readiness string `yaml:"readiness" validate:"ipport"`
	// Metrics is the IP number and port of counters, distributions and profiles.
	Metrics string `yaml:"metrics" validate:"ipport"`
	// Peers is the IP number and UDP port for other instances; without one there are no relays.
	Peers string `yaml:"peers" validate:"omitempty,ipport"`
	// ReadyPath is the path of the balancer's check.
	ReadyPath string `yaml:"ready_path" validate:"required"`
}

// HostedStore says where the platform's store is.
type HostedStore struct {
	// Addr is the IP number and port of the store.
	Addr string `yaml:"addr" validate:"ipport"`
}

// HostedMemory bounds the process.
type HostedMemory struct {
	// Megabytes is the memory that the process may use; the runtime collects garbage harder as it comes near.
	Megabytes int `yaml:"megabytes" validate:"min=32"`
}

// HostedKeys says how strictly keys that were taken away are refused.
type HostedKeys struct {
	// Strict makes an instance that cannot confirm the keys refuse requests that need one.
	Strict bool `yaml:"strict"`
	// RevokeTime is how long after its removal a key may still be accepted.
	RevokeTime time.Duration `yaml:"revoke_time" validate:"min=0s,max=10m"`
}

// HostedRepeats is the limit on sending requests again, which all instances share.
type HostedRepeats struct {
	// Window is the time over which requests and repeats are counted.
	Window time.Duration `yaml:"window" validate:"min=1s,max=10m"`
	// Share is the number of repeats for each request.
	Share float64 `yaml:"share" validate:"min=0,max=1"`
	// Slack is the number of repeats that are allowed besides.
	Slack float64 `yaml:"slack" validate:"min=0"`
}

// HostedStop says how the instance stops.
type HostedStop struct {
	// Grace is the time from the signal to the end of the process.
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=1h"`
}

// HostedEngines says how chained engines behave.
type HostedEngines struct {
	// StallTime is how long a path stands still for a part that is gone before it is cut.
	StallTime time.Duration `yaml:"stall_time" validate:"min=100ms,max=1m"`
	// DrainTime is how long a server that leaves goes on with what passes it.
	DrainTime time.Duration `yaml:"drain_time" validate:"min=0s,max=1h"`
}

// HostedServers says what backend servers of all kinds may ask of an instance.
type HostedServers struct {
	// LongestBackOff bounds the time for which a server that turns a request away may want nothing from the instance. The platform's pages
	// name no bound; this one keeps a server that names an absurd time from being left out for good.
	LongestBackOff time.Duration `yaml:"longest_back_off" validate:"min=1s,max=24h"`
}

// HostedRelays says when one instance of each domain watches the store for the others.
type HostedRelays struct {
	// From is the number of instances from which relays are used; with fewer, each watches the store itself. A domain keeps at most as many
	// records of instances in the store, and room for 24 in any case.
	From int `yaml:"from" validate:"min=2"`
	// ApplyTime is how long after its acceptance a configuration may not be in force yet; below 3s no relays are used.
	ApplyTime time.Duration `yaml:"apply_time" validate:"min=1s,max=1m"`
}

// HostedQuarantine says which requests are sent to no server any more.
type HostedQuarantine struct {
	// Ends is the number of servers that must have ended under a request, which its caller has sent several times.
	Ends int `yaml:"ends" validate:"min=2,max=100"`
	// EndsOfOne is the same for a request that came once. What a server ran when it ended goes on at the next one together, so that
	// many share some ends with the request that caused them.
	EndsOfOne int `yaml:"ends_of_one" validate:"min=2,max=100"`
	// Keep is how long such an end counts; it counts for half of that at least. The platform's store keeps nothing for longer than 10m.
	Keep time.Duration `yaml:"keep" validate:"min=10s,max=10m"`
	// Most is the number of requests of which ends are kept; those with the fewest ends are forgotten first.
	Most int `yaml:"most" validate:"min=16,max=1000000"`
}

// DefaultHosted returns the settings that hold where the file is silent.
func DefaultHosted() Hosted {
	return Hosted{
		Instance:   HostedInstance{Power: 1},
		Listen:     HostedListen{ReadyPath: "/ready"},
		Memory:     HostedMemory{Megabytes: 256},
		Keys:       HostedKeys{RevokeTime: 5 * time.Second},
		Repeats:    HostedRepeats{Window: 10 * time.Second, Share: 0.2, Slack: 100},
		Stop:       HostedStop{Grace: 10 * time.Second},
		Engines:    HostedEngines{StallTime: 2 * time.Second, DrainTime: 2 * time.Second},
		Servers:    HostedServers{LongestBackOff: time.Hour},
		Relays:     HostedRelays{From: 24, ApplyTime: 3 * time.Second},
		Quarantine: HostedQuarantine{Ends: 3, EndsOfOne: 4, Keep: 10 * time.Minute, Most: 4096},
		Log:        defaultLog(),
	}
}

// LoadHosted reads the settings file of jxd serve; the error lists every mistake with file, line, key and what is accepted.
func LoadHosted(path string) (*Hosted, error) { return load(path, ParseHosted) }

// ParseHosted reads the settings of jxd serve from YAML; name stands for the file in errors.
func ParseHosted(name string, body []byte) (*Hosted, error) {
	return decode(name, body, DefaultHosted())
}
