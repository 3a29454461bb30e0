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
	// configChanges is the number of changes without a disturbance; runs with one make a third of them.
	configChanges = 12
	// configPause lies between two changes, and configSettle is what the last one has to arrive everywhere.
	configPause  = 300 * time.Millisecond
	configSettle = 2500 * time.Millisecond
	// configCut is how long a domain is cut from everything outside of it.
	configCut = 20 * time.Second
	// slowAnswerMS is how long a call takes to the slow key-value service.
	slowAnswerMS = 400
)

// controlSpec describes a fleet without requests: domains of alike size and engines that share one process a domain.
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

// Config measures how long an accepted configuration takes to be in force on every instance, undisturbed, with a slow
// key-value service, and with one domain cut from it.
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
	for _, step := range []func() error{b.undisturbed, b.slow, b.cutFromService, b.cutFromAll, b.conflicts} {
		if err := step(); err != nil {
			return err
		}
	}
	reverts, err := countReverts(f)
	p.Figure("reverts", float64(reverts), "count")
	return err
}

type configBench struct {
	fleet   *fleet.Fleet
	printer *Printer
	weight  float64
}

type accepted struct {
	revision revision.Number
	at       time.Time
}

// change confirms one change and returns its revision with the time before the confirmation was sent.
func (b *configBench) change() (accepted, error) {
	b.weight++
	plan, err := b.fleet.Propose("bench", fleet.ShareChange("counter", b.weight))
	if err != nil {
		return accepted{}, err
	}
	client, err := b.fleet.Operator(b.fleet.Entries()[0])
	if err != nil {
		return accepted{}, err
	}
	at := time.Now()
	entry, err := client.Confirm(plan.ID)
	return accepted{revision: entry.Revision, at: at}, err
}

func (b *configBench) changes(count int) ([]accepted, error) {
	var out []accepted
	for range count {
		a, err := b.change()
		if err != nil {
			return nil, err
		}
		out = append(out, a)
		time.Sleep(configPause)
	}
	time.Sleep(configSettle)
	return out, nil
}

// measure prints how long the revisions took on the instances of the named domains, all when none is named.
func (b *configBench) measure(name string, all []accepted, domains ...string) error {
	delays, missing, err := delaysOf(b.fleet, all, domains)
	if err != nil {
		return err
	}
	b.printer.Durations(name, delays)
	b.printer.Figure(name+"_missing", float64(missing), "count")
	return nil
}

func (b *configBench) undisturbed() error {
	all, err := b.changes(configChanges)
	if err != nil {
		return err
	}
	return b.measure("config_in_force_ms", all)
}

func (b *configBench) slow() error {
	if err := fleet.Post(b.fleet.KVAddr(), "/faults", standin.Faults{SlowMS: slowAnswerMS}); err != nil {
		return err
	}
	all, err := b.changes(configChanges / 3)
	if err != nil {
		return err
	}
	if err := fleet.Post(b.fleet.KVAddr(), "/faults", standin.Faults{}); err != nil {
		return err
	}
	return b.measure("config_slow_kv_ms", all)
}

// cutFromService cuts the last domain from the key-value service and list, but not from other instances.
func (b *configBench) cutFromService() error {
	domain := b.lastDomain()
	b.fleet.Proxies().KV(domain).Cut()
	b.fleet.Proxies().List(domain).Cut()
	time.Sleep(time.Second)
	all, err := b.changes(configChanges / 3)
	if err != nil {
		return err
	}
	return b.measure("config_kv_cut_ms", all, domain)
}

// cutFromAll cuts the last domain from everything outside it for a while; the revisions made meanwhile must arrive after.
func (b *configBench) cutFromAll() error {
	domain := b.lastDomain()
	b.eachPeerOutside(domain, func(name string) { b.fleet.Proxies().Peer(name).Cut() })
	start := time.Now()
	a, err := b.change()
	if err != nil {
		return err
	}
	time.Sleep(configCut - time.Since(start))
	b.eachPeerOutside(domain, func(name string) { b.fleet.Proxies().Peer(name).Heal() })
	if err := b.fleet.Proxies().KV(domain).Heal(); err != nil {
		return err
	}
	if err := b.fleet.Proxies().List(domain).Heal(); err != nil {
		return err
	}
	healed := time.Now()
	time.Sleep(configSettle)
	delays, missing, err := delaysOf(b.fleet, []accepted{{revision: a.revision, at: healed}}, []string{domain})
	b.printer.Figure("catch_up_ms_max", millis(quantile(delays, 1)), "ms")
	b.printer.Figure("catch_up_missing", float64(missing), "count")
	return err
}

// eachPeerOutside names the instances of every other domain: with their proxies cut, the domain reaches none of them.
// Calls from them into the domain are made by nobody but an operator's status.
func (b *configBench) eachPeerOutside(domain string, do func(name string)) {
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

// conflicts confirms rival plans at the same time on different instances and counts rounds that accepted two.
func (b *configBench) conflicts() error {
	const rounds = 5
	doubles := 0
	for range rounds {
		accepted, err := b.conflict()
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

func (b *configBench) conflict() (int, error) {
	entries := b.fleet.Entries()
	const rivals = 4
	plans := make([]revision.Plan, rivals)
	for i := range plans {
		b.weight++
		var err error
		if plans[i], err = b.fleet.Propose("rival", fleet.ShareChange("quotes", b.weight)); err != nil {
			return 0, err
		}
	}
	results := make([]error, rivals)
	var all sync.WaitGroup
	for i := range plans {
		all.Go(func() {
			client, err := b.fleet.Operator(entries[i*len(entries)/rivals])
			if err == nil {
				_, err = client.Confirm(plans[i].ID)
			}
			results[i] = err
		})
	}
	all.Wait()
	accepted := 0
	for _, err := range results {
		var refused *operator.Refused
		switch {
		case err == nil:
			accepted++
		case !errors.As(err, &refused):
			return 0, err
		}
	}
	return accepted, nil
}
