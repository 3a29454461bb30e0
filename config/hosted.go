package config

import (
	"time"

	"github.com/pkg/errors"
)

// Hosted is the content of the settings file of jxd serve, which runs in front of a platform's backend servers.
type Hosted struct {
	Instance HostedInstance `yaml:"instance"`
	Listen   HostedListen   `yaml:"listen"`
	Store    HostedStore    `yaml:"store"`
	Memory   HostedMemory   `yaml:"memory"`
	// Processor and Network are what the instance may use of its machine; a missing limit is not watched.
	Processor HostedProcessor `yaml:"processor"`
	Network   HostedNetwork   `yaml:"network"`
	Keys      HostedKeys      `yaml:"keys"`
	Repeats   HostedRepeats   `yaml:"repeats"`
	Stop      HostedStop      `yaml:"stop"`
	Engines   HostedEngines   `yaml:"engines"`
	Servers   HostedServers   `yaml:"servers"`
	Relays    HostedRelays    `yaml:"relays"`
	// Quarantine defines when a request is no longer sent to any server, because servers have terminated while they ran it.
	Quarantine HostedQuarantine `yaml:"quarantine"`
	// Admission defines which requests are refused first while the room of a service is short.
	Admission HostedAdmission `yaml:"admission"`
	Log       Log             `yaml:"log"`
}

// HostedInstance identifies the entry instance that this process is.
type HostedInstance struct {
	// Name is the name of the instance, unique in the fleet.
	Name string `yaml:"name" validate:"required"`
	// Domain is the failure domain that the instance belongs to.
	Domain string `yaml:"domain" validate:"required"`
	// Power is the processing power of the instance relative to other instances; the most powerful instance of a domain is its
	// relay.
	Power float64 `yaml:"power" validate:"min=0"`
}

// HostedListen holds the addresses that the instance listens on.
type HostedListen struct {
	// Callers is the IP address and port for callers.
	Callers string `yaml:"callers" validate:"ipport"`
	// Readiness is the IP address and port of the load balancer's readiness check.
	Readiness string `yaml:"readiness" validate:"ipport"`
	// Metrics is the IP address and port of counters, histograms and profiles.
	Metrics string `yaml:"metrics" validate:"ipport"`
	// Peers is the IP address and UDP port for other instances; without it no relays are used.
	Peers string `yaml:"peers" validate:"omitempty,ipport"`
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string `yaml:"ready_path" validate:"required"`
}

// HostedStore holds the address of the platform's store.
type HostedStore struct {
	// Addr is the IP address and port of the store.
	Addr string `yaml:"addr" validate:"ipport"`
}

// HostedMemory limits the memory of the process.
type HostedMemory struct {
	// Megabytes is the memory that the process may use, in megabytes; near this limit the runtime collects garbage more often.
	Megabytes int `yaml:"megabytes" validate:"min=32"`
}

// HostedProcessor limits the processor time of the process.
type HostedProcessor struct {
	// Cores is the processor time that the instance gets, in seconds a second; 0 means that it is not known.
	Cores float64 `yaml:"cores" validate:"min=0,max=4096"`
}

// HostedNetwork limits the traffic of the instance.
type HostedNetwork struct {
	// Megabits is the rate of the instance's network link in each direction, in megabits a second; 0 means that it is not known.
	Megabits float64 `yaml:"megabits" validate:"min=0,max=10000000"`
}

// HostedKeys defines how strictly revoked keys are refused.
type HostedKeys struct {
	// Strict makes an instance that cannot confirm that its keys are up to date refuse the requests that need a key.
	Strict bool `yaml:"strict"`
	// RevokeTime is how long a key may still be accepted after its removal.
	RevokeTime time.Duration `yaml:"revoke_time" validate:"min=0s,max=10m"`
}

// HostedRepeats limits the retries (repeats) of requests; the limit holds for all instances together.
type HostedRepeats struct {
	// Window is the length of the sliding window in which requests and retries are counted.
	Window time.Duration `yaml:"window" validate:"min=1s,max=10m"`
	// Share is the number of retries that are allowed per request.
	Share float64 `yaml:"share" validate:"min=0,max=1"`
	// Slack is the number of retries that are allowed in a window in addition to Share.
	Slack float64 `yaml:"slack" validate:"min=0"`
}

// HostedStop defines how the instance shuts down.
type HostedStop struct {
	// Grace is the time from the stop signal to the end of the process.
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=1h"`
}

// HostedEngines describes the behaviour of chained engines, which the instance relies on.
type HostedEngines struct {
	// StallTime is how long a path stalls, because one of its servers is gone, before it is cut.
	StallTime time.Duration `yaml:"stall_time" validate:"min=100ms,max=1m"`
	// DrainTime is how long a leaving server keeps running the streams that pass through it.
	DrainTime time.Duration `yaml:"drain_time" validate:"min=0s,max=1h"`
}

// HostedServers limits what backend servers of all kinds may demand of an instance.
type HostedServers struct {
	// LongestBackOff is the maximum time for which a server that refuses a request may ask for no new requests (back-off). The
	// platform's documentation specifies no maximum; this one keeps a server that names an absurdly long time from being excluded
	// for good.
	LongestBackOff time.Duration `yaml:"longest_back_off" validate:"min=1s,max=24h"`
}

// HostedRelays defines when one instance of each domain, the relay, watches the store for the others.
type HostedRelays struct {
	// From is the number of instances from which on relays are used; with fewer, each instance watches the store itself. A domain
	// keeps at most this many registration records in the store, and at least 24 slots for records in any case.
	From int `yaml:"from" validate:"min=2"`
	// ApplyTime is how long after its acceptance a configuration may take to be in force; below 3s no relays are used.
	ApplyTime time.Duration `yaml:"apply_time" validate:"min=1s,max=1m"`
}

// HostedQuarantine defines which requests are quarantined, that is, no longer sent to any server.
type HostedQuarantine struct {
	// Ends is the number of servers that must have terminated while they ran a request for it to be quarantined, if its caller
	// has sent it several times; and the number of servers and of requests for a part of their prompts to be quarantined.
	Ends int `yaml:"ends" validate:"min=2,max=100"`
	// EndsOfOne is the same for a request that was sent once. The requests that a server ran when it terminated continue together
	// on the next server, so many of them share some ends with the request that caused them.
	EndsOfOne int `yaml:"ends_of_one" validate:"min=2,max=100"`
	// Keep is how long such an end counts at most; it counts for at least half of that. The platform's store keeps no entry for
	// longer than 10m.
	Keep time.Duration `yaml:"keep" validate:"min=10s,max=10m"`
	// Most is the maximum number of requests, and of parts of prompts, whose ends are kept; those with the fewest ends are dropped first.
	Most int `yaml:"most" validate:"min=16,max=1000000"`
}

// HostedAdmission defines which requests for a chained service are refused first while its room is short.
type HostedAdmission struct {
	// Ranks refuses the least urgent requests first, on all instances alike; it has an effect only on services whose routes or
	// accounts have different priorities.
	Ranks bool `yaml:"ranks"`
	// Accounts divides the room fairly among the client accounts of requests that are equally urgent.
	Accounts bool `yaml:"accounts"`
	// Parts are requests for parts of the room. Each names a route or an account (route, account), the greatest part of the room
	// (ceiling, from 0 to 1), the part that it gets before others (guarantee, from 0 to 1; not more than 1 in sum), and for an
	// account its weight among the accounts (weight, 1 if it is missing).
	Parts []HostedPart `yaml:"parts" validate:"dive"`
}

// HostedPart is a request for a part of the room of the services of a route, or of those that an account uses.
type HostedPart struct {
	// Route is the name of a route, and Account that of a client account; one of them is given.
	Route   *string `yaml:"route"`
	Account *string `yaml:"account"`
	// Ceiling is the greatest part of the room, from 0 to 1; 1 if it is missing.
	Ceiling *float64 `yaml:"ceiling" validate:"omitempty,min=0,max=1"`
	// Guarantee is the part of the room that is given before others get any, from 0 to Ceiling.
	Guarantee float64 `yaml:"guarantee" validate:"min=0,max=1"`
	// Weight is the weight of an account among the accounts; 1 if it is missing.
	Weight *float64 `yaml:"weight" validate:"omitempty,min=0.001,max=1000"`
}

// DefaultHosted returns the defaults for settings that are missing in the file.
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
		Admission:  HostedAdmission{Ranks: true},
		Log:        defaultLog(),
	}
}

// LoadHosted reads and checks the settings file of jxd serve. The error lists all mistakes, each with file, line, key and the
// accepted values.
func LoadHosted(path string) (*Hosted, error) { return load(path, ParseHosted) }

// ParseHosted reads and checks settings of jxd serve in YAML; errors show name as the file name.
func ParseHosted(name string, body []byte) (*Hosted, error) {
	settings, err := decode(name, body, DefaultHosted())
	if err != nil {
		return nil, err
	}
	if err := checkParts(settings.Admission.Parts); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return settings, nil
}
