package fleet

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"junctioncross/config"
	"junctioncross/keys"
	"junctioncross/ports"
)

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

// startEntries writes the keys and the platform's list, and starts the entry instances.
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
	files := keys.FilesOf(f.keyDir(), e.Name)
	settings.Keys = config.Keys{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key}
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
