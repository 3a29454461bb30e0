package catalog

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
)

// Account is a client account.
type Account struct {
	Name string
	// Priority says how urgent the account's requests are; the smaller it is, the more urgent they are.
	Priority int
	// Keys are the bearer keys that authenticate the account's callers.
	Keys []string
}

// Limits are the bounds on what a caller may send and on how long a connection may be idle.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Content is the input from which New builds a Catalog.
type Content struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Accounts is nil if callers need no key on any route.
	Accounts []Account
	Limits   Limits
}

// Catalog is one version of the configuration, indexed for lookups.
type Catalog struct {
	version  int64
	limits   Limits
	services map[string]*Service
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
	// keys maps each bearer key to its account; it is nil if callers need no key.
	keys map[string]*Account
	// accounts are those of the content.
	accounts []Account
}

// New validates the content and returns its Catalog; the error names what is invalid first, with the value of a figure beyond its bounds.
func New(content *Content) (*Catalog, error) {
	if err := checkFigures("limits", content.Limits.figures()); err != nil {
		return nil, err
	}
	if err := checkAccounts(content.Accounts); err != nil {
		return nil, err
	}
	c := &Catalog{
		version: content.Version, limits: content.Limits,
		services: make(map[string]*Service, len(content.Services)), hosts: map[string][]*Route{}, accounts: content.Accounts,
	}
	for i := range content.Services {
		s := &content.Services[i]
		if err := checkService(s); err != nil {
			return nil, err
		}
		c.services[s.Name] = s
	}
	for i := range content.Routes {
		r := &content.Routes[i]
		if err := c.checkRoute(r); err != nil {
			return nil, err
		}
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	c.indexKeys(content.Accounts)
	return c, nil
}

func checkService(s *Service) error {
	if s.Name == "" {
		return errors.New("catalog: service without a name")
	}
	figures := []figure{count("connections", s.MaxConnections, maxConnections)}
	if s.Engine != nil {
		figures = append(figures, s.Engine.figures()...)
	}
	return checkFigures("service "+s.Name, figures)
}

func checkAccounts(accounts []Account) error {
	for i := range accounts {
		if err := checkFigures("account "+accounts[i].Name, []figure{priorityFigure(accounts[i].Priority)}); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalog) checkRoute(r *Route) error {
	total := 0.0
	for _, t := range r.Targets {
		if c.services[t.Service] == nil {
			return errors.Errorf("catalog: route %s: unknown service %q", r.Name, t.Service)
		}
		total += t.Weight
	}
	if total <= 0 {
		return errors.Errorf("catalog: route %s: no service", r.Name)
	}
	if r.Prefix == "" || r.Prefix[0] != '/' {
		return errors.Errorf("catalog: route %s: path prefix %q", r.Name, r.Prefix)
	}
	return checkFigures("route "+r.Name, r.figures())
}

func (c *Catalog) indexKeys(accounts []Account) {
	if accounts == nil {
		return
	}
	c.keys = map[string]*Account{}
	for i := range accounts {
		for _, k := range accounts[i].Keys {
			c.keys[k] = &accounts[i]
		}
	}
}

// Version returns the version number of the configuration.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits on callers.
func (c *Catalog) Limits() Limits { return c.limits }

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Services returns all services in no particular order.
func (c *Catalog) Services() []*Service {
	out := make([]*Service, 0, len(c.services))
	for _, s := range c.services {
		out = append(out, s)
	}
	return out
}

// Routes returns all routes in no particular order.
func (c *Catalog) Routes() []*Route {
	var out []*Route
	for _, routes := range c.hosts {
		out = append(out, routes...)
	}
	return out
}

// Route returns the route of the host with the longest prefix that matches the path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if r.matches(path) {
			return r
		}
	}
	return nil
}

// RoutesTo returns the routes that send requests to a service, sorted by name.
func (c *Catalog) RoutesTo(service string) []*Route {
	var out []*Route
	for _, routes := range c.hosts {
		for _, r := range routes {
			if slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 }) {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(a, b *Route) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Accounts returns the client accounts, none if callers need no key; the caller must not change the slice.
func (c *Catalog) Accounts() []Account { return c.accounts }

// NeedsKeys reports whether callers need a key for routes that are not public.
func (c *Catalog) NeedsKeys() bool { return c.keys != nil }

// Account returns the account that the bearer key belongs to, or nil.
func (c *Catalog) Account(key string) *Account { return c.keys[key] }
