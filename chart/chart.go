package chart

import (
	"embed"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

//go:embed *.yaml
var files embed.FS

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

// Chart is a set of states with the transitions between them.
type Chart struct {
	name        string
	initial     State
	final       map[State]bool
	transitions map[State]map[Event]State
}

type file struct {
	Initial     State                     `yaml:"initial"`
	Final       []State                   `yaml:"final"`
	Transitions map[State]map[Event]State `yaml:"transitions"`
}

// Load reads the chart of that name from the embedded files and checks it.
func Load(name string) (*Chart, error) {
	body, err := files.ReadFile(name + ".yaml")
	if err != nil {
		return nil, errors.Wrap(err, "chart: read")
	}
	return Parse(name, body)
}

// MustLoad is Load for charts that ship with the program; it panics when the chart is broken.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of the embedded charts.
func Names() []string {
	entries, _ := files.ReadDir(".")
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name()[:len(e.Name())-len(".yaml")])
	}
	return names
}

// Parse reads a chart and returns an error for states that cannot be reached or left.
func Parse(name string, body []byte) (*Chart, error) {
	var f file
	if err := yaml.UnmarshalWithOptions(body, &f, yaml.Strict()); err != nil {
		return nil, errors.Wrapf(err, "chart %s", name)
	}
	c := &Chart{name: name, initial: f.Initial, final: map[State]bool{}, transitions: f.Transitions}
	for _, s := range f.Final {
		c.final[s] = true
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Chart) validate() error {
	reached := c.reachable()
	for from, events := range c.transitions {
		if !reached[from] {
			return errors.Errorf("chart %s: state %s cannot be reached", c.name, from)
		}
		if c.final[from] && len(events) > 0 {
			return errors.Errorf("chart %s: final state %s has transitions", c.name, from)
		}
	}
	for s := range reached {
		if !c.final[s] && len(c.transitions[s]) == 0 {
			return errors.Errorf("chart %s: state %s cannot be left", c.name, s)
		}
	}
	for s := range c.final {
		if !reached[s] {
			return errors.Errorf("chart %s: final state %s cannot be reached", c.name, s)
		}
	}
	return nil
}

func (c *Chart) reachable() map[State]bool {
	seen := map[State]bool{c.initial: true}
	queue := []State{c.initial}
	for len(queue) > 0 {
		for _, to := range c.transitions[queue[0]] {
			if !seen[to] {
				seen[to] = true
				queue = append(queue, to)
			}
		}
		queue = queue[1:]
	}
	return seen
}

// Machine is one run through a chart.
type Machine struct {
	chart *Chart
	state State
}

// New returns a Machine in the chart's initial state.
func New(c *Chart) *Machine { return &Machine{chart: c, state: c.initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Done reports whether the state is final.
func (m *Machine) Done() bool { return m.chart.final[m.state] }

// Can reports whether the event has a transition from the current state.
func (m *Machine) Can(e Event) bool {
	_, ok := m.chart.transitions[m.state][e]
	return ok
}

// Fire moves along the event's transition; the error says that there is none.
func (m *Machine) Fire(e Event) error {
	to, ok := m.chart.transitions[m.state][e]
	if !ok {
		return fmt.Errorf("chart %s: event %s in state %s", m.chart.name, e, m.state)
	}
	m.state = to
	return nil
}
