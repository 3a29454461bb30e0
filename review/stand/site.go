package main

import (
	"errors"
	"os"
	"time"
)

const (
	// service is the plain service; key is the key of the only client account.
	service = "desk"
	key     = "key-of-one"
	account = "account-one"
	host    = "review.example"
	// oncePath and repeatPath are the prefixes of the paths of requests that may run at most once, and any number of times.
	oncePath   = "/once/"
	repeatPath = "/repeat/"
	// objectiveMS and timeoutMS are those of the plain requests of the site tuul-quotes, and deadlineMS is how long their callers wait.
	objectiveMS = 150
	timeoutMS   = 1200
	deadlineMS  = 2500
	// readyTimeout bounds the start of the instances.
	readyTimeout = 20 * time.Second
	// slots is the number of requests that a server runs at once.
	slots = 6
)

// zones are the failure domains of a site, each with one instance and one server.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// site is a platform with its store, and the instances and servers of one case.
type site struct {
	out       *record
	dir       string
	store     *store
	instances []*instance
	// atEnd is called when the case is over.
	atEnd []func()
}

func newSite(out *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := newStore()
	if err != nil {
		return nil, err
	}
	s := &site{out: out, dir: dir, store: store}
	if err := s.configure(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// configure writes the configuration, in the form and with the limits of the platform's example.
func (s *site) configure() error {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "goal_ms": objectiveMS, "priority": 2,
			"service": service, "max_attempts": attempts, "public": false,
		}
	}
	return s.store.put("op/config", map[string]any{
		"version":     7,
		"route_table": []any{route("once", oncePath, "non_idempotent", 1), route("repeat", repeatPath, "idempotent", 2)},
		"services":    []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 49, "protocol": "h1", "tls": false}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{"name": account, "api_keys": []string{key}, "priority": 1}},
	})
}

// addEntry writes the entry of a backend server.
func (s *site) addEntry(id, addr, zone string) error {
	s.out.line("server %s of %s listens at %s", id, service, addr)
	return s.store.put("servers/"+id, map[string]any{
		"service": service, "address": addr, "zone": zone, "version": "v1", "slot_count": slots, "state": "ready", "cold_left_ms": 0,
		"call_seq": 1, "born": time.Now().UnixMilli(),
	})
}

// startInstances starts one instance in each zone and waits until all are ready.
func (s *site) startInstances() error {
	for _, zone := range zones {
		i, err := newInstance(s, zone)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range s.instances {
		if !i.awaitReady(readyTimeout) {
			return errors.New(i.name + " did not become ready")
		}
	}
	s.out.line("all instances are ready")
	return nil
}

// close ends everything that the case started.
func (s *site) close() {
	for _, i := range s.instances {
		i.kill()
	}
	for _, end := range s.atEnd {
		end()
	}
	s.store.close()
	_ = os.RemoveAll(s.dir)
}
