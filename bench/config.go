package bench

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"junctioncross/fleet"
	"junctioncross/operator"
	"junctioncross/revision"
	"junctioncross/standin"
)

const (
	// configChanges is the number of changes in the undisturbed run. Runs with a fault make a third of them.
	configChanges = 12
	// changeInterval is the time between two changes. propagationTime is how long the last change has to come into force on
	// every instance.
	changeInterval  = 300 * time.Millisecond
	propagationTime = 2500 * time.Millisecond
	// partitionTime is how long a domain is partitioned from everything outside it.
	partitionTime = 20 * time.Second
	// slowKVLatencyMS is the latency of each call to the slow key-value service, in milliseconds.
	slowKVLatencyMS = 400
)

// controlSpec describes a fleet that gets no requests. All domains have the same size, and the engines of a domain share one
// process.
func controlSpec(domains, entries, engines int) fleet.Spec {
	spec := fleet.DefaultSpec()
	spec.Domains, spec.Entries, spec.Engines, spec.Services = nil, nil, nil, nil
	for d := range domains {
		spec.Domains = append(spec.Domains, fmt.Sprint("d", d))
		spec.Entries = append(spec.Entries, entries)
	}
	for range engines {
		spec.Engines = append(spec.Engines, "a")
	}
	spec.SharedEngines = true
	spec.LayerLoad = 100 * time.Microsecond
	return spec
}

// Config measures how long an accepted configuration takes to come into force on every instance: undisturbed, with a slow
// key-value service, and with one domain partitioned from that service or from everything outside the domain. It also counts
// the rounds in which conflicting plans were not accepted exactly once, and the instances' reverts to an earlier revision.
func Config(bin string, p *Printer) error {
	const domains, entries = 7, 15
	spec := controlSpec(domains, entries, 0)
	spec.Proxied = true
	f, err := fleet.Start(spec, bin)
	if err != nil {
		return err
	}
	defer f.Stop()
	p.Figure("instances", domains*entries, "processes")
	b := &configBench{fleet: f, printer: p, weight: 1}
	for _, step := range []func() error{b.measureUndisturbed, b.measureSlowKV, b.measureKVCut, b.measurePartition, b.countDoubleAccepts} {
		if err := step(); err != nil {
			return err
		}
	}
	reverts, err := countReverts(f)
	p.Figure("reverts", float64(reverts), "count")
	return err
}

// configBench holds the state of one Config run.
type configBench struct {
	fleet   *fleet.Fleet
	printer *Printer
	// weight is the group weight set by the last plan. It grows with each plan, so that each one is a change.
	weight float64
}

// acceptedChange is a confirmed revision and the time from which its delays are measured.
type acceptedChange struct {
	revision revision.Number
	at       time.Time
}

// confirmChange confirms one change and returns its revision with the time before the confirmation was sent.
func (b *configBench) confirmChange() (acceptedChange, error) {
	b.weight++
	plan, err := b.fleet.Propose("bench", fleet.ShareChange("counter", b.weight))
	if err != nil {
		return acceptedChange{}, err
	}
	client, err := b.fleet.Operator(b.fleet.Entries()[0])
	if err != nil {
		return acceptedChange{}, err
	}
	at := time.Now()
	entry, err := client.Confirm(plan.ID)
	return acceptedChange{revision: entry.Revision, at: at}, err
}

// confirmChanges confirms count changes one after the other and waits until the last one has had time to come into force.
func (b *configBench) confirmChanges(count int) ([]acceptedChange, error) {
	var out []acceptedChange
	for range count {
		a, err := b.confirmChange()
		if err != nil {
			return nil, err
		}
		out = append(out, a)
		time.Sleep(changeInterval)
	}
	time.Sleep(propagationTime)
	return out, nil
}

// printDelays prints how long the changes took to come into force on the instances of the first named domain, or of all
// domains if none is named.
func (b *configBench) printDelays(name string, changes []acceptedChange, domains ...string) error {
	delays, missing, err := delaysOf(b.fleet, changes, domains)
	if err != nil {
		return err
	}
	b.printer.Durations(name, delays)
	b.printer.Figure(name+"_missing", float64(missing), "count")
	return nil
}

func (b *configBench) measureUndisturbed() error {
	all, err := b.confirmChanges(configChanges)
	if err != nil {
		return err
	}
	return b.printDelays("config_in_force_ms", all)
}

func (b *configBench) measureSlowKV() error {
	if err := fleet.Post(b.fleet.KVAddr(), "/faults", standin.KVFault{SlowMS: slowKVLatencyMS}); err != nil {
		return err
	}
	all, err := b.confirmChanges(configChanges / 3)
	if err != nil {
		return err
	}
	if err := fleet.Post(b.fleet.KVAddr(), "/faults", standin.KVFault{}); err != nil {
		return err
	}
	return b.printDelays("config_slow_kv_ms", all)
}

// measureKVCut partitions the last domain from the key-value service and the instance list, but not from other instances.
func (b *configBench) measureKVCut() error {
	domain := b.lastDomain()
	b.fleet.Proxies().KV(domain).Cut()
	b.fleet.Proxies().List(domain).Cut()
	time.Sleep(time.Second)
	all, err := b.confirmChanges(configChanges / 3)
	if err != nil {
		return err
	}
	return b.printDelays("config_kv_cut_ms", all, domain)
}

// measurePartition keeps the last domain partitioned from everything outside it for partitionTime and measures how long,
// after the partition has healed, the domain takes to apply the revision that was confirmed meanwhile. It relies on
// measureKVCut, which has cut the domain from the key-value service and the list.
func (b *configBench) measurePartition() error {
	domain := b.lastDomain()
	b.forEachPeerOutside(domain, func(name string) { b.fleet.Proxies().Peer(name).Cut() })
	start := time.Now()
	a, err := b.confirmChange()
	if err != nil {
		return err
	}
	time.Sleep(partitionTime - time.Since(start))
	b.forEachPeerOutside(domain, func(name string) { b.fleet.Proxies().Peer(name).Heal() })
	if err := b.fleet.Proxies().KV(domain).Heal(); err != nil {
		return err
	}
	if err := b.fleet.Proxies().List(domain).Heal(); err != nil {
		return err
	}
	healed := time.Now()
	time.Sleep(propagationTime)
	delays, missing, err := delaysOf(b.fleet, []acceptedChange{{revision: a.revision, at: healed}}, []string{domain})
	b.printer.Figure("catch_up_ms_max", millis(quantile(delays, 1)), "ms")
	b.printer.Figure("catch_up_missing", float64(missing), "count")
	return err
}

// forEachPeerOutside calls do with the name of each instance of the other domains. Once the proxies of all these instances
// are cut, the domain reaches none of them. In the other direction, only an operator's status command makes calls into the
// domain.
func (b *configBench) forEachPeerOutside(domain string, do func(name string)) {
	for _, e := range b.fleet.Entries() {
		if e.Domain != domain {
			do(e.Name)
		}
	}
}

func (b *configBench) lastDomain() string {
	domains := b.fleet.Spec().Domains
	return domains[len(domains)-1]
}

// countDoubleAccepts confirms conflicting plans at the same time on different instances and counts the rounds that did not
// accept exactly one of them.
func (b *configBench) countDoubleAccepts() error {
	const rounds = 5
	doubles := 0
	for range rounds {
		accepted, err := b.confirmConflicting()
		if err != nil {
			return err
		}
		if accepted != 1 {
			doubles++
		}
	}
	b.printer.Figure("double_accepts", float64(doubles), "count")
	return nil
}

// confirmConflicting runs one round and returns the number of accepted plans.
func (b *configBench) confirmConflicting() (int, error) {
	entries := b.fleet.Entries()
	const planCount = 4
	plans := make([]revision.Plan, planCount)
	for i := range plans {
		b.weight++
		var err error
		if plans[i], err = b.fleet.Propose("rival", fleet.ShareChange("quotes", b.weight)); err != nil {
			return 0, err
		}
	}
	results := make([]error, planCount)
	var all sync.WaitGroup
	for i := range plans {
		all.Go(func() {
			client, err := b.fleet.Operator(entries[i*len(entries)/planCount])
			if err == nil {
				_, err = client.Confirm(plans[i].ID)
			}
			results[i] = err
		})
	}
	all.Wait()
	accepted := 0
	for _, err := range results {
		var refused *operator.FailureError
		switch {
		case err == nil:
			accepted++
		case !errors.As(err, &refused):
			return 0, err
		}
	}
	return accepted, nil
}
