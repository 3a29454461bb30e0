package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"junctioncross/config"
	"junctioncross/intent"
	"junctioncross/keys"
	"junctioncross/member"
	"junctioncross/operator"
	"junctioncross/ports"
)

// OperatorName is the name in the operator's certificate of a fleet.
const OperatorName = "operator"

// Entry is one entry instance of a fleet; Callers, Ops, Peers and Health are the addresses of its listeners.
type Entry struct {
	Process *Process
	Name    string
	Domain  string
	Callers string
	Ops     string
	Peers   string
	Health  string
	// advertised is the address under which other instances reach Peers.
	advertised string
}

// Engine is one model engine of a fleet.
type Engine struct {
	Process    *Process
	Name       string
	Domain     string
	Kind       string
	Addr       string
	linkMicros float64
	// advertised is the address under which entry instances reach the engine.
	advertised string
}

// Service is one process of a plain service.
type Service struct {
	Process *Process
	Name    string
	Addr    string
}

// Fleet is a running fleet.
type Fleet struct {
	spec        Spec
	bin         string
	dir         string
	starter     *starter
	proxies     *Proxies
	kvAddr      string
	listAddr    string
	weightsAddr string
	entries     []*Entry
	engines     []*Engine
	services    []*Service
}

// Start starts every process of a fleet with the programs in bin, applies its first configuration and waits until it serves;
// on an error everything that was started is stopped.
func Start(spec Spec, bin string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "jxfleet-")
	if err != nil {
		return nil, errors.Wrap(err, "fleet: directory")
	}
	f := &Fleet{spec: spec, bin: bin, dir: dir, starter: newStarter(dir), proxies: newProxies(spec.Proxied)}
	for _, step := range []func() error{f.startPlatform, f.startEngines, f.startServices, f.startEntries, f.configure, f.AwaitServing} {
		if err := step(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Stop ends every process of the fleet and removes its files, unless JX_KEEP is set in the environment.
func (f *Fleet) Stop() {
	f.starter.stopAll()
	f.proxies.close()
	if os.Getenv("JX_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// Dir returns the directory of logs, settings and keys.
func (f *Fleet) Dir() string { return f.dir }

// Entries returns the entry instances.
func (f *Fleet) Entries() []*Entry { return f.entries }

// Engines returns the model engines.
func (f *Fleet) Engines() []*Engine { return f.engines }

// Services returns the processes of plain services.
func (f *Fleet) Services() []*Service { return f.services }

// KVAddr returns the address of the key-value service.
func (f *Fleet) KVAddr() string { return f.kvAddr }

// Proxies returns the proxies between the fleet's processes.
func (f *Fleet) Proxies() *Proxies { return f.proxies }

// Spec returns the description the fleet was started from.
func (f *Fleet) Spec() Spec { return f.spec }

func (f *Fleet) program(name string) string { return filepath.Join(f.bin, name) }

func (f *Fleet) startPlatform() error {
	addrs, err := ports.Free(3)
	if err != nil {
		return err
	}
	f.kvAddr, f.listAddr, f.weightsAddr = addrs[0], addrs[1], addrs[2]
	fake := f.program("jxfake")
	if _, err := f.starter.start("kv", fake, "kv", "--listen", f.kvAddr); err != nil {
		return err
	}
	if _, err := f.starter.start("list", fake, "list", "--listen", f.listAddr, "--lag", f.spec.ListLag.String()); err != nil {
		return err
	}
	_, err = f.starter.start("weights", fake, "weights", "--listen", f.weightsAddr, "--per-layer", f.spec.LayerLoad.String())
	return err
}

func (f *Fleet) startEngines() error {
	addrs, err := ports.Free(len(f.spec.Domains) * len(f.spec.Engines))
	if err != nil {
		return err
	}
	for _, domain := range f.spec.Domains {
		first := len(f.engines)
		for i, kind := range f.spec.Engines {
			e := &Engine{Name: fmt.Sprintf("%s-%s%d", domain, kind, i), Domain: domain, Kind: kind, Addr: addrs[len(f.engines)]}
			if n := len(f.spec.LinkMicros); n > 0 {
				e.linkMicros = f.spec.LinkMicros[i%n]
			}
			if e.advertised, err = f.proxies.engineAddr(e); err != nil {
				return err
			}
			f.engines = append(f.engines, e)
		}
		if err := f.startDomainEngines(f.engines[first:]); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startDomainEngines(engines []*Engine) error {
	if f.spec.SharedEngines && len(engines) > 0 {
		return f.startEngineProcess(engines...)
	}
	for _, e := range engines {
		if err := f.startEngineProcess(e); err != nil {
			return err
		}
	}
	return nil
}

// StartEngine starts the process of an engine again.
func (f *Fleet) StartEngine(e *Engine) error { return f.startEngineProcess(e) }

// startEngineProcess starts one process that runs the given engines, all with the kind and the link of the first.
func (f *Fleet) startEngineProcess(engines ...*Engine) error {
	k := f.kind(engines[0].Kind)
	args := []string{
		"engine", "--weights", f.weightsAddr, "--layer-micros", fmt.Sprint(k.LayerMicros),
		"--sequence-micros", fmt.Sprint(k.SequenceMicros), "--max-batch", fmt.Sprint(k.MaxBatch),
		"--link", time.Duration(engines[0].linkMicros * float64(time.Microsecond)).String(),
	}
	for _, e := range engines {
		args = append(args, "--listen", e.Addr, "--name", e.Name)
	}
	p, err := f.starter.start(engines[0].Name, f.program("jxfake"), args...)
	for _, e := range engines {
		e.Process = p
	}
	return err
}

func (f *Fleet) kind(name string) intent.Kind {
	for _, k := range f.spec.Kinds {
		if k.Name == name {
			return k
		}
	}
	return intent.Kind{}
}

func (f *Fleet) startServices() error {
	for _, s := range f.spec.Services {
		addrs, err := ports.Free(s.Count)
		if err != nil {
			return err
		}
		for i, addr := range addrs {
			name := fmt.Sprintf("%s-%d", s.Name, i)
			p, err := f.starter.start(name, f.program("jxfake"), "service", "--listen", addr, "--name", s.Name)
			if err != nil {
				return err
			}
			f.services = append(f.services, &Service{Process: p, Name: s.Name, Addr: addr})
		}
	}
	return nil
}

func (f *Fleet) startEntries() error {
	for d, domain := range f.spec.Domains {
		for i := range f.spec.Entries[d] {
			addrs, err := ports.Free(4)
			if err != nil {
				return err
			}
			e := &Entry{
				Name: fmt.Sprintf("%s-%d", domain, i), Domain: domain,
				Callers: addrs[0], Ops: addrs[1], Peers: addrs[2], Health: addrs[3],
			}
			if e.advertised, err = f.proxies.peerAddr(e); err != nil {
				return err
			}
			f.entries = append(f.entries, e)
		}
	}
	if err := f.makeKeys(); err != nil {
		return err
	}
	if err := f.SetList(nil); err != nil {
		return err
	}
	for _, e := range f.entries {
		if err := f.StartEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) keyDir() string { return filepath.Join(f.dir, "keys") }

func (f *Fleet) makeKeys() error {
	now := time.Now()
	a, err := keys.NewAuthority(now)
	if err != nil {
		return err
	}
	if err := a.Write(f.keyDir()); err != nil {
		return err
	}
	for _, e := range f.entries {
		if err := a.Issue(f.keyDir(), keys.NewIdentity(keys.RoleInstance, e.Domain, e.Name), now); err != nil {
			return err
		}
	}
	return a.Issue(f.keyDir(), keys.NewIdentity(keys.RoleOperator, "", OperatorName), now)
}

// SetList replaces the platform's list of instances by all entry instances and engines of the fleet; those named in leaving
// are marked as leaving.
func (f *Fleet) SetList(leaving map[string]bool) error {
	var listed []member.ListedInstance
	for _, e := range f.entries {
		listed = append(listed, member.ListedInstance{
			Name: e.Name, Addr: e.advertised, Domain: e.Domain, Role: member.RoleEntry, Leaving: leaving[e.Name],
		})
	}
	for _, e := range f.engines {
		listed = append(listed, member.ListedInstance{
			Name: e.Name, Addr: e.Addr, Domain: e.Domain, Role: member.RoleBackend, Leaving: leaving[e.Name],
		})
	}
	return Post(f.listAddr, member.PathInstances, listed)
}

// StartEntry writes the settings of an entry instance and starts its process, for the first time or again.
func (f *Fleet) StartEntry(e *Entry) error {
	settings := config.Default()
	settings.Instance = config.Instance{Name: e.Name, Domain: e.Domain}
	settings.Listen = config.Listen{Callers: e.Callers, Operators: e.Ops, Peers: e.Peers, Health: e.Health}
	if e.advertised != e.Peers {
		settings.Listen.Advertised = e.advertised
	}
	kv, list, err := f.proxies.platformAddrs(e.Domain, f.kvAddr, f.listAddr)
	if err != nil {
		return err
	}
	settings.Platform = config.Platform{KV: kv, Instances: list}
	settings.Keys = config.Keys{
		Authority:   filepath.Join(f.keyDir(), keys.FileAuthority),
		Certificate: filepath.Join(f.keyDir(), e.Name+".pem"),
		Key:         filepath.Join(f.keyDir(), e.Name+"-key.pem"),
	}
	settings.Limits.QueueWait = f.spec.QueueWait
	body, err := yaml.Marshal(settings)
	if err != nil {
		return errors.Wrap(err, "fleet: settings")
	}
	path := filepath.Join(f.dir, e.Name+".yaml")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return errors.Wrap(err, "fleet: settings")
	}
	e.Process, err = f.starter.start(e.Name, f.program("jxd"), "run", path)
	return err
}

// Operator returns an operator's client of an entry instance.
func (f *Fleet) Operator(e *Entry) (*operator.Client, error) {
	certs, err := keys.NewCertReloader(keys.Files{
		Authority:   filepath.Join(f.keyDir(), keys.FileAuthority),
		Certificate: filepath.Join(f.keyDir(), OperatorName+".pem"),
		Key:         filepath.Join(f.keyDir(), OperatorName+"-key.pem"),
	})
	if err != nil {
		return nil, err
	}
	return operator.NewClient(e.Ops, certs), nil
}
