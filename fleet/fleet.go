package fleet

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"junctioncross/member"
	"junctioncross/ports"
)

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
	steps := []func() error{f.startPlatform, f.startEngines, f.startServices, f.startEntries, f.configure, f.AwaitServing}
	for _, step := range steps {
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

// startPlatform starts the fakes of the key-value service, the instance list and the weight store.
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
