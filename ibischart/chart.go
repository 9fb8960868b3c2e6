// Package ibischart runs finite state machines whose states and transitions are defined in embedded JSON
// files, called charts. Packages ibisdaemon, ibisholder and ibisowner use it.
//
// An event that a chart does not allow in the current state is an error, which the caller logs. It never
// changes the state.
//
// Usage:
//
//	m := ibischart.New(ibischart.Task)
//	err := m.Fire("Start")
//	state := m.State()
package ibischart

import (
	"embed"
	"encoding/json"
	"fmt"

	"github.com/zeebo/errs"
)

//go:embed charts/*.json
var files embed.FS

// Error is the class of errors of this package.
var Error = errs.Class("chart")

// Transition changes the state from From to To on Event.
type Transition struct {
	From  string `json:"From"`
	Event string `json:"Event"`
	To    string `json:"To"`
}

// Chart defines a finite state machine. An event listed under Ignored for a state is allowed there and leaves
// the state unchanged.
type Chart struct {
	Name        string              `json:"Name"`
	Comment     string              `json:"Comment"`
	Initial     string              `json:"Initial"`
	Final       []string            `json:"Final"`
	Transitions []Transition        `json:"Transitions"`
	Ignored     map[string][]string `json:"Ignored"` // states by event
	// next maps a state and an event to the next state.
	next map[[2]string]string
}

// The charts of this package.
var (
	Task        = mustLoad("task")
	Lease       = mustLoad("lease")
	Incarnation = mustLoad("incarnation")
	Drain       = mustLoad("drain")
)

// All lists every chart.
var All = []*Chart{Task, Lease, Incarnation, Drain}

func mustLoad(name string) *Chart {
	b, err := files.ReadFile("charts/" + name + ".json")
	if err != nil {
		panic(err)
	}
	c := new(Chart)
	if err := json.Unmarshal(b, c); err != nil {
		panic(fmt.Sprintf("chart %s: %v", name, err))
	}
	return c
}

// UnmarshalJSON decodes a chart. It fails if two transitions, or a transition and an entry under Ignored,
// share a state and an event.
func (c *Chart) UnmarshalJSON(b []byte) error {
	// chartFields has the fields of Chart but not its methods, so that decoding does not recurse.
	type chartFields Chart
	if err := json.Unmarshal(b, (*chartFields)(c)); err != nil {
		return Error.Wrap(err)
	}
	c.next = make(map[[2]string]string)
	for _, t := range c.Transitions {
		key := [2]string{t.From, t.Event}
		if _, ok := c.next[key]; ok {
			return Error.New("%s: two transitions from state %s on event %s", c.Name, t.From, t.Event)
		}
		c.next[key] = t.To
	}
	for event, states := range c.Ignored {
		for _, s := range states {
			key := [2]string{s, event}
			if _, ok := c.next[key]; ok {
				return Error.New("%s: event %s in state %s is both ignored and the event of a transition", c.Name, event, s)
			}
			c.next[key] = s
		}
	}
	return nil
}

// Next returns the state after event in state, or an error and state itself if the event is not allowed there.
func (c *Chart) Next(state, event string) (string, error) {
	to, ok := c.next[[2]string{state, event}]
	if !ok {
		return state, Error.New("%s: event %s is not allowed in state %s", c.Name, event, state)
	}
	return to, nil
}

// States returns each state of c once, the initial one first.
func (c *Chart) States() []string {
	seen := map[string]bool{c.Initial: true}
	states := []string{c.Initial}
	for _, t := range c.Transitions {
		for _, s := range []string{t.From, t.To} {
			if !seen[s] {
				seen[s] = true
				states = append(states, s)
			}
		}
	}
	return states
}

// Events returns each event of a transition once, in order of first use.
func (c *Chart) Events() []string {
	seen := map[string]bool{}
	var events []string
	for _, t := range c.Transitions {
		if !seen[t.Event] {
			seen[t.Event] = true
			events = append(events, t.Event)
		}
	}
	return events
}

// IsFinal reports whether state is one of the final states, which no transition leaves.
func (c *Chart) IsFinal(state string) bool {
	for _, s := range c.Final {
		if s == state {
			return true
		}
	}
	return false
}

// Machine is an instance of a chart with a current state. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state string
}

// New returns a machine in the initial state of c.
func New(c *Chart) Machine { return Machine{chart: c, state: c.Initial} }

// State returns the current state.
func (m *Machine) State() string { return m.state }

// Fire applies event. If the event is not allowed in the current state, Fire returns an error and the state
// does not change.
func (m *Machine) Fire(event string) error {
	to, err := m.chart.Next(m.state, event)
	if err != nil {
		return err
	}
	m.state = to
	return nil
}
