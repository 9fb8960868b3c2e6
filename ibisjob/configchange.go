package ibisjob

import (
	"reflect"
	"slices"
)

// ConfigChange turns one version of the configuration into a later one.
type ConfigChange struct {
	Base     int64             `json:"Base,omitempty"` // version that it applies to; 0: the empty configuration
	Version  int64             `json:"Version"`        // version that it leads to
	Queues   ListChange[Queue] `json:"Queues"`
	Teams    ListChange[Team]  `json:"Teams"`
	Services []Service         `json:"Services,omitempty"` // all of them
	Limits   Limits            `json:"Limits"`
}

// ListChange turns one list of named items into another one. Items that are in both lists keep their order.
type ListChange[T any] struct {
	Items []T      `json:"Items,omitempty"` // new and changed ones
	At    []int    `json:"At,omitempty"`    // their indices in the new list, ascending; not set if the old list is empty
	Gone  []string `json:"Gone,omitempty"`  // names of the items that are only in the old list
}

// ChangeSince returns the change from base to c. It is the change from the empty configuration if base is nil or lists
// what both have in another order.
func (c *Config) ChangeSince(base *Config) *ConfigChange {
	if base != nil {
		change := &ConfigChange{
			Base: base.Version, Version: c.Version, Services: c.Services, Limits: c.Limits,
			Queues: newListChange(base.Queues, c.Queues, queueName), Teams: newListChange(base.Teams, c.Teams, teamName),
		}
		if got, err := base.With(change); err == nil && reflect.DeepEqual(got, c) {
			return change
		}
	}
	return &ConfigChange{
		Version: c.Version, Services: c.Services, Limits: c.Limits,
		Queues: ListChange[Queue]{Items: c.Queues}, Teams: ListChange[Team]{Items: c.Teams},
	}
}

// With returns the configuration that change leads to. It fails if the change does not apply to c.
func (c *Config) With(change *ConfigChange) (*Config, error) {
	if change.Base == 0 {
		c = &Config{}
	}
	if c.Version != change.Base || change.Version <= change.Base {
		return nil, Error.New("a change from version %d to %d can't be applied to version %d of the configuration", change.Base, change.Version, c.Version)
	}
	queues, err := change.Queues.apply(c.Queues, queueName)
	if err != nil {
		return nil, Error.New("queues: %w", err)
	}
	teams, err := change.Teams.apply(c.Teams, teamName)
	if err != nil {
		return nil, Error.New("teams: %w", err)
	}
	return &Config{Version: change.Version, Queues: queues, Teams: teams, Services: change.Services, Limits: change.Limits}, nil
}

func queueName(q *Queue) string { return q.Name }

func teamName(t *Team) string { return t.Name }

// newListChange returns the change from one list to another one.
func newListChange[T any](from, to []T, name func(*T) string) (change ListChange[T]) {
	if len(from) == 0 {
		return ListChange[T]{Items: to}
	}
	old := make(map[string]*T, len(from))
	for n := range from {
		old[name(&from[n])] = &from[n]
	}
	for n := range to {
		key := name(&to[n])
		if was := old[key]; was == nil || !reflect.DeepEqual(*was, to[n]) {
			change.Items, change.At = append(change.Items, to[n]), append(change.At, n)
		}
		delete(old, key)
	}
	for key := range old {
		change.Gone = append(change.Gone, key)
	}
	slices.Sort(change.Gone)
	return change
}

// apply returns the list that the change leads to from list.
func (c *ListChange[T]) apply(list []T, name func(*T) string) ([]T, error) {
	if len(list) == 0 {
		return c.Items, nil
	}
	if len(c.At) != len(c.Items) {
		return nil, Error.New("%d indices are given for %d items", len(c.At), len(c.Items))
	}
	replaced := make(map[string]bool, len(c.Items)+len(c.Gone))
	for n := range c.Items {
		replaced[name(&c.Items[n])] = true
	}
	for _, key := range c.Gone {
		replaced[key] = true
	}
	out, next := make([]T, 0, len(list)+len(c.Items)), 0
	insert := func() {
		for next < len(c.At) && c.At[next] == len(out) {
			out = append(out, c.Items[next])
			next++
		}
	}
	for n := range list {
		insert()
		if !replaced[name(&list[n])] {
			out = append(out, list[n])
		}
	}
	insert()
	if next < len(c.At) {
		return nil, Error.New("index %d does not follow the %d items before it", c.At[next], len(out))
	}
	return out, nil
}
