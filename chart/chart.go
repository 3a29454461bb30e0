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

// Chart is the definition of a state machine: its states and the transitions between them.
type Chart struct {
	name        string
	initial     State
	final       map[State]bool
	transitions map[State]map[Event]State
}

// file is the format of a chart's YAML file.
type file struct {
	Initial     State                     `yaml:"initial"`
	Final       []State                   `yaml:"final"`
	Transitions map[State]map[Event]State `yaml:"transitions"`
}

// Load reads the embedded chart of the given name and validates it.
func Load(name string) (*Chart, error) {
	body, err := files.ReadFile(name + ".yaml")
	if err != nil {
		return nil, errors.Wrap(err, "chart: read")
	}
	return Parse(name, body)
}

// MustLoad is Load for charts that a test has validated; it panics if the chart is missing or invalid.
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

// Parse decodes a chart from YAML and validates it: every state must be reachable, and those without transitions must be exactly
// the final ones.
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

// reachable returns the states that can be reached from the initial one.
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

// Machine is a state machine: a chart and its current state. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// New returns a Machine in the initial state of the chart.
func New(c *Chart) *Machine { return &Machine{chart: c, state: c.initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Done reports whether the state is final.
func (m *Machine) Done() bool { return m.chart.final[m.state] }

// Can reports whether the current state has a transition for the event.
func (m *Machine) Can(e Event) bool {
	_, ok := m.chart.transitions[m.state][e]
	return ok
}

// Fire changes to the state to which the event leads; if there is no transition for it, it returns an error and keeps the state.
func (m *Machine) Fire(e Event) error {
	to, ok := m.chart.transitions[m.state][e]
	if !ok {
		return fmt.Errorf("chart %s: event %s in state %s", m.chart.name, e, m.state)
	}
	m.state = to
	return nil
}
