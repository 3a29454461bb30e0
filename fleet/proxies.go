package fleet

import (
	"sync"

	"junctioncross/fault"
)

// Proxies holds the proxies that inject faults between the processes of a fleet. If the fleet is not proxied, there are none,
// and its processes reach each other directly.
type Proxies struct {
	proxied bool

	mu      sync.Mutex
	kv      map[string]*fault.TCP
	list    map[string]*fault.TCP
	engines map[string]*fault.TCP
	peers   map[string]*fault.UDP
}

func newProxies(proxied bool) *Proxies {
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

// Peer returns the proxy in front of an entry instance's listener for other instances.
func (f *Proxies) Peer(name string) *fault.UDP { return f.peers[name] }

// engineAddr returns the address under which entry instances reach an engine.
func (f *Proxies) engineAddr(e *Engine) (string, error) { return f.tcpAddr(f.engines, e.Name, e.Addr) }

// platformAddrs returns the addresses under which a domain reaches the key-value service and the instance list.
func (f *Proxies) platformAddrs(domain, kv, list string) (kvAddr, listAddr string, err error) {
	if kvAddr, err = f.tcpAddr(f.kv, domain, kv); err != nil {
		return "", "", err
	}
	listAddr, err = f.tcpAddr(f.list, domain, list)
	return kvAddr, listAddr, err
}

// tcpAddr returns the address of the proxy of that name, which is started if needed; without proxies it returns upstream.
func (f *Proxies) tcpAddr(all map[string]*fault.TCP, name, upstream string) (string, error) {
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

// peerAddr returns the address under which other instances reach an entry instance.
func (f *Proxies) peerAddr(e *Entry) (string, error) {
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
