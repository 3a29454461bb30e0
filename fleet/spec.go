package fleet

import (
	"fmt"
	"time"

	"junctioncross/intent"
)

// Spec describes a fleet.
type Spec struct {
	// Domains are the failure domains.
	Domains []string
	// Entries is the number of entry instances in each domain, in the domains' order.
	Entries  []int
	Models   []intent.Model
	Groups   []intent.Group
	Accounts []AccountSpec
	Kinds    []intent.Kind
	// Engines lists the kinds of the engines of each domain.
	Engines  []string
	Services []ServiceSpec
	// SharedEngines runs all engines of a domain in one process, for large fleets of idle engines.
	SharedEngines bool
	// LinkMicros holds the one-way delays of the engines' links in the order of Engines, in microseconds; a shorter list is
	// repeated.
	LinkMicros []float64
	// Proxied puts fault proxies in front of the key-value service and the instance list, for each domain, and in front of
	// each engine and each entry instance's listener for other instances.
	Proxied bool
	// ListLag is how far the platform's instance list lags behind.
	ListLag time.Duration
	// LayerLoad is the time that the weight store takes for one layer.
	LayerLoad time.Duration
	// QueueWait is the instances' limit on the predicted wait of a request.
	QueueWait time.Duration
}

// AccountSpec is a client account with its bearer key.
type AccountSpec struct {
	Name   string
	Group  string
	Key    string
	Weight float64
}

// ServiceSpec is a plain service.
type ServiceSpec struct {
	Name  string
	Count int
	Calls []intent.CallRule
}

// Names in the Spec that DefaultSpec returns.
const (
	ModelCounter   = "counter-assistant"
	ModelQuotes    = "quote-writer"
	AccountCounter = "arcade"
	AccountQuotes  = "erdenet"
	KeyCounter     = "sk-arcade"
	KeyQuotes      = "sk-erdenet"
	ServiceCards   = "cards"
	ServiceBooking = "bookings"
)

// DefaultSpec returns the Spec of a fleet like that of today's two users, who have a model each: three failure domains, eight
// entry instances, engines of five kinds and plain services.
func DefaultSpec() Spec {
	return Spec{
		Domains: []string{"fukuoka", "kumamoto", "kagoshima"},
		Entries: []int{3, 3, 2},
		Models: []intent.Model{
			{Name: ModelCounter, Layers: 24, Version: "v1"},
			{Name: ModelQuotes, Layers: 32, Version: "v1"},
		},
		Groups: []intent.Group{
			{Name: "counter", Weight: 1, Models: []string{ModelCounter}},
			{Name: "quotes", Weight: 1, Models: []string{ModelQuotes}},
		},
		Accounts:  accounts(),
		Kinds:     Kinds(),
		Engines:   []string{"a", "a", "b", "b", "c", "c", "d", "e"},
		Services:  services(),
		ListLag:   5 * time.Second,
		LayerLoad: 2 * time.Millisecond,
		QueueWait: 2 * time.Second,
	}
}

// Kinds returns the five kinds of accelerators, from fast to slow.
func Kinds() []intent.Kind {
	return []intent.Kind{
		{Name: "a", LayerMicros: 150, SequenceMicros: 8, MaxBatch: 16, MaxLayers: 24},
		{Name: "b", LayerMicros: 200, SequenceMicros: 10, MaxBatch: 16, MaxLayers: 20},
		{Name: "c", LayerMicros: 250, SequenceMicros: 14, MaxBatch: 12, MaxLayers: 20},
		{Name: "d", LayerMicros: 320, SequenceMicros: 18, MaxBatch: 8, MaxLayers: 16},
		{Name: "e", LayerMicros: 400, SequenceMicros: 25, MaxBatch: 8, MaxLayers: 16},
	}
}

func accounts() []AccountSpec {
	out := []AccountSpec{
		{Name: AccountCounter, Group: "counter", Key: KeyCounter, Weight: 1},
		{Name: AccountQuotes, Group: "quotes", Key: KeyQuotes, Weight: 1},
	}
	for i := range 9 {
		out = append(out,
			AccountSpec{Name: fmt.Sprintf("title-%d", i), Group: "counter", Key: fmt.Sprintf("sk-title-%d", i), Weight: 1},
			AccountSpec{Name: fmt.Sprintf("agent-%d", i), Group: "quotes", Key: fmt.Sprintf("sk-agent-%d", i), Weight: 1})
	}
	return out
}

func services() []ServiceSpec {
	return []ServiceSpec{
		{Name: ServiceCards, Count: 2, Calls: []intent.CallRule{{Method: "GET", Path: "/", Repeatable: true}}},
		{Name: ServiceBooking, Count: 2, Calls: []intent.CallRule{
			{Method: "GET", Path: "/rates", Repeatable: true},
			{Method: "POST", Path: "/confirm", Repeatable: false},
		}},
	}
}
