package catalog

import (
	"strings"
	"time"
)

// Repeat says how often a request may run.
type Repeat int

// The kinds of repetition that a route allows.
const (
	// RepeatNever marks requests that may run at most once.
	RepeatNever Repeat = iota
	// RepeatAlways marks requests that may run any number of times.
	RepeatAlways
	// RepeatResume marks streams that another server may continue after the last event that was delivered.
	RepeatResume
)

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Route says which service answers the requests of a host and path prefix, and under which terms.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets has at least one entry; their weights add up to more than zero.
	Targets []Target
	Repeat  Repeat
	// Stream marks routes whose answers are event streams.
	Stream bool
	// MaxAttempts is the number of servers that one request may run on.
	MaxAttempts int
	// Timeout is how long a request may be held.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream, that callers expect.
	Objective time.Duration
	// PauseObjective is the longest pause between events that callers expect.
	PauseObjective time.Duration
	// Public routes need no key.
	Public   bool
	Priority int
}

// Pick returns the service for one request; random is uniform in [0, 1).
func (r *Route) Pick(random float64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := random * total
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// MayRepeat reports whether a request that may have run may be sent again.
func (r *Route) MayRepeat() bool { return r.Repeat != RepeatNever }

func (r *Route) matches(path string) bool { return strings.HasPrefix(path, r.Prefix) }
