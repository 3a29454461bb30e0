package fleet

import (
	"sync"

	"junctioncross/fault"
)

// Proxies holds the proxies between the processes of a fleet; without proxies every method returns the address itself.
type Proxies struct {
	proxied bool

	mu      sync.Mutex
	kv      map[string]*fault.TCP
	list    map[string]*fault.TCP
	engines map[string]*fault.TCP
	peers   map[string]*fault.UDP
}

func newFaults(proxied bool) *Proxies {
	return &Proxies{
		proxied: proxied, kv: map[string]*fault.TCP{}, list: map[string]*fault.TCP{},
		engines: map[string]*fault.TCP{}, peers: map[string]*fault.UDP{},
	}
}

// KV returns the proxy between a domain and the key-value service.
func (f *Proxies) KV(domain string) *fault.TCP { return f.kv[domain] }

// List returns the proxy between a domain and the instance list.
func (f *Proxies) List(domain string) *fault.TCP { return f.list[domain] }

// Engine returns the proxy in front of an engine.
func (f *Proxies) Engine(name string) *fault.TCP { return f.engines[name] }

// Peer returns the proxy in front of an entry instance's peers' listener.
func (f *Proxies) Peer(name string) *fault.UDP { return f.peers[name] }

func (f *Proxies) engine(e *Engine) (string, error) { return f.tcp(f.engines, e.Name, e.Addr) }

func (f *Proxies) platform(domain, kv, list string) (kvAddr, listAddr string, err error) {
	if kvAddr, err = f.tcp(f.kv, domain, kv); err != nil {
		return "", "", err
	}
	listAddr, err = f.tcp(f.list, domain, list)
	return kvAddr, listAddr, err
}

func (f *Proxies) tcp(all map[string]*fault.TCP, name, upstream string) (string, error) {
	if !f.proxied {
		return upstream, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := all[name]; p != nil {
		return p.Addr(), nil
	}
	p, err := fault.NewTCP(upstream)
	if err != nil {
		return "", err
	}
	all[name] = p
	return p.Addr(), nil
}

func (f *Proxies) entry(e *Entry) (string, error) {
	if !f.proxied {
		return e.Peers, nil
	}
	p, err := fault.NewUDP(e.Peers, uint64(len(f.peers)+1))
	if err != nil {
		return "", err
	}
	f.peers[e.Name] = p
	return p.Addr(), nil
}

func (f *Proxies) close() {
	for _, all := range []map[string]*fault.TCP{f.kv, f.list, f.engines} {
		for _, p := range all {
			p.Close()
		}
	}
	for _, p := range f.peers {
		p.Close()
	}
}
