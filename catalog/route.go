package catalog

import (
	"strings"
	"time"
)

// RetryPolicy is the retry policy of a route: whether a request that may have run may be retried.
type RetryPolicy int

// The retry policies of routes.
const (
	// RetryNever is for requests that may run at most once.
	RetryNever RetryPolicy = iota
	// RetryAlways is for requests that may run any number of times.
	RetryAlways
	// RetryResume is for streams that another server may resume after the last event that was delivered.
	RetryResume
)

// Target is a service with its weight in the division of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Route determines which services handle the requests of a host and path prefix, and under which conditions.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets has at least one entry; the weights add up to more than zero.
	Targets     []Target
	RetryPolicy RetryPolicy
	// Stream is true if the answers are event streams.
	Stream bool
	// MaxAttempts is the maximum number of backend servers that one request may run on.
	MaxAttempts int
	// Timeout is the longest time that the router holds a request, from its arrival.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream, that callers expect.
	Objective time.Duration
	// PauseObjective is the longest pause between events that callers expect.
	PauseObjective time.Duration
	// Public is true if callers need no key.
	Public bool
	// Priority says how urgent requests of the route are among those that are as urgent by their account; the smaller it is, the
	// more urgent they are.
	Priority int
}

// Pick returns the service for one request, drawn by weight; random is uniform in [0, 1).
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

// MayRetry reports whether a request that may have run may be retried.
func (r *Route) MayRetry() bool { return r.RetryPolicy != RetryNever }

func (r *Route) matches(path string) bool { return strings.HasPrefix(path, r.Prefix) }
