package intent

import (
	"junctioncross/models"
)

// Model is one model that the pool can serve.
type Model struct {
	Name    string `json:"name" yaml:"name" validate:"required"`
	Layers  int    `json:"layers" yaml:"layers" validate:"min=1,max=4096"`
	Version string `json:"version" yaml:"version" validate:"required"`
}

// Group is a group of client accounts; groups share the pool in proportion to their weights.
type Group struct {
	Name   string   `json:"name" yaml:"name" validate:"required"`
	Weight float64  `json:"weight" yaml:"weight" validate:"gt=0"`
	Models []string `json:"models" yaml:"models"`
}

// Allows reports whether the group may use the model.
func (g *Group) Allows(model string) bool {
	for _, m := range g.Models {
		if m == model {
			return true
		}
	}
	return false
}

// Account is one client account; KeyHash is the SHA-256 sum of its bearer key, in hexadecimal digits.
type Account struct {
	Name    string  `json:"name" yaml:"name" validate:"required"`
	Group   string  `json:"group" yaml:"group" validate:"required"`
	Weight  float64 `json:"weight" yaml:"weight" validate:"gt=0"`
	KeyHash string  `json:"key_hash" yaml:"key_hash" validate:"len=64,hexadecimal"`
}

// Kind describes the speed of one kind of accelerator.
type Kind struct {
	Name string `json:"name" yaml:"name" validate:"required"`
	// LayerMicros is the time of one layer for an empty batch, in microseconds.
	LayerMicros float64 `json:"layer_us" yaml:"layer_us" validate:"gt=0"`
	// SequenceMicros is added for each layer and sequence of a batch, in microseconds.
	SequenceMicros float64 `json:"sequence_us" yaml:"sequence_us" validate:"gte=0"`
	MaxBatch       int     `json:"max_batch" yaml:"max_batch" validate:"min=1"`
	MaxLayers      int     `json:"max_layers" yaml:"max_layers" validate:"min=1"`
}

// Backend is one backend server that runs a model engine.
type Backend struct {
	Name   string `json:"name" yaml:"name" validate:"required"`
	Addr   string `json:"addr" yaml:"addr" validate:"ipport"`
	Domain string `json:"domain" yaml:"domain" validate:"required"`
	Kind   string `json:"kind" yaml:"kind" validate:"required"`
	// ChecksFence is false for an engine that does not check the fencing token of an order, that is, who gives it.
	ChecksFence bool `json:"checks_fence" yaml:"checks_fence"`
	// LinkMicros is the one-way delay of the server's link, in microseconds.
	LinkMicros float64 `json:"link_us" yaml:"link_us" validate:"gte=0"`
	// Retiring is true when the server takes no new work.
	Retiring bool `json:"retiring" yaml:"-"`
	// Model and Layers are the planner's placement; Model is empty while the server has none.
	Model  string        `json:"model" yaml:"-"`
	Layers models.Layers `json:"layers" yaml:"-"`
}

// CallRule says whether the calls of a plain service whose method and path prefix match may be retried (repeatable).
type CallRule struct {
	Method     string `json:"method" yaml:"method" validate:"oneof=GET POST PUT PATCH DELETE"`
	Path       string `json:"path" yaml:"path" validate:"required"`
	Repeatable bool   `json:"repeatable" yaml:"repeatable"`
}

// Service is one plain service; a call that no entry of Calls matches is not repeatable.
type Service struct {
	Name  string     `json:"name" yaml:"name" validate:"required"`
	Addrs []string   `json:"addrs" yaml:"addrs" validate:"min=1,dive,ipport"`
	Calls []CallRule `json:"calls" yaml:"calls" validate:"dive"`
}

// Document is the complete configuration that operators set.
type Document struct {
	Models   []Model   `json:"models"`
	Groups   []Group   `json:"groups"`
	Accounts []Account `json:"accounts"`
	Kinds    []Kind    `json:"kinds"`
	Backends []Backend `json:"backends"`
	Services []Service `json:"services"`
}

// Clone returns a copy that shares no slice with the document.
func (d *Document) Clone() *Document {
	c := &Document{
		Models:   append([]Model(nil), d.Models...),
		Groups:   append([]Group(nil), d.Groups...),
		Accounts: append([]Account(nil), d.Accounts...),
		Kinds:    append([]Kind(nil), d.Kinds...),
		Backends: append([]Backend(nil), d.Backends...),
		Services: append([]Service(nil), d.Services...),
	}
	for i := range c.Groups {
		c.Groups[i].Models = append([]string(nil), c.Groups[i].Models...)
	}
	return c
}

// Model returns the model of that name or nil.
func (d *Document) Model(name string) *Model {
	return find(d.Models, func(m *Model) bool { return m.Name == name })
}

// Group returns the group of that name or nil.
func (d *Document) Group(name string) *Group {
	return find(d.Groups, func(g *Group) bool { return g.Name == name })
}

// Account returns the account of that name or nil.
func (d *Document) Account(name string) *Account {
	return find(d.Accounts, func(a *Account) bool { return a.Name == name })
}

// Kind returns the kind of that name or nil.
func (d *Document) Kind(name string) *Kind {
	return find(d.Kinds, func(k *Kind) bool { return k.Name == name })
}

// Backend returns the backend server of that name or nil.
func (d *Document) Backend(name string) *Backend {
	return find(d.Backends, func(b *Backend) bool { return b.Name == name })
}

// Service returns the service of that name or nil.
func (d *Document) Service(name string) *Service {
	return find(d.Services, func(s *Service) bool { return s.Name == name })
}

func find[T any](items []T, match func(*T) bool) *T {
	for i := range items {
		if match(&items[i]) {
			return &items[i]
		}
	}
	return nil
}
