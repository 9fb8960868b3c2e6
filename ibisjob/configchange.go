package ibisjob

import (
	"reflect"
	"slices"
)

// ConfigChange turns one version of the configuration into a later one. Queues and teams are identified by their names.
type ConfigChange struct {
	Base       int64     `json:"Base,omitempty"` // version that it applies to; 0: the empty configuration
	Version    int64     `json:"Version"`        // version that it leads to
	Queues     []Queue   `json:"Queues,omitempty"`
	GoneQueues []string  `json:"GoneQueues,omitempty"`
	Teams      []Team    `json:"Teams,omitempty"`
	GoneTeams  []string  `json:"GoneTeams,omitempty"`
	Services   []Service `json:"Services,omitempty"` // all of them
	Limits     Limits    `json:"Limits"`
}

// ChangeSince returns the change from base to c, or from the empty configuration if base is nil or lists what both have
// in another order.
func (c *Config) ChangeSince(base *Config) *ConfigChange {
	if base != nil {
		change := &ConfigChange{Base: base.Version, Version: c.Version, Services: c.Services, Limits: c.Limits}
		change.Queues, change.GoneQueues = changedItems(base.Queues, c.Queues, queueName)
		change.Teams, change.GoneTeams = changedItems(base.Teams, c.Teams, teamName)
		if got, err := base.With(change); err == nil && reflect.DeepEqual(got, c) {
			return change
		}
	}
	return &ConfigChange{Version: c.Version, Queues: c.Queues, Teams: c.Teams, Services: c.Services, Limits: c.Limits}
}

// With returns the configuration that change leads to. It fails if the change applies to another version than c's.
func (c *Config) With(change *ConfigChange) (*Config, error) {
	if change.Base == 0 {
		c = &Config{}
	}
	if c.Version != change.Base || change.Version <= change.Base {
		return nil, Error.New("a change from version %d to %d can't be applied to version %d of the configuration", change.Base, change.Version, c.Version)
	}
	return &Config{
		Version: change.Version, Services: change.Services, Limits: change.Limits,
		Queues: applyItems(c.Queues, change.Queues, change.GoneQueues, queueName),
		Teams:  applyItems(c.Teams, change.Teams, change.GoneTeams, teamName),
	}, nil
}

func queueName(q *Queue) string { return q.Name }

func teamName(t *Team) string { return t.Name }

// changedItems returns the items of list that base has not or has with another content, and the names of those that
// only base has.
func changedItems[T any](base, list []T, name func(*T) string) (changed []T, gone []string) {
	old := make(map[string]*T, len(base))
	for n := range base {
		old[name(&base[n])] = &base[n]
	}
	for n := range list {
		key := name(&list[n])
		if was := old[key]; was == nil || !reflect.DeepEqual(*was, list[n]) {
			changed = append(changed, list[n])
		}
		delete(old, key)
	}
	for key := range old {
		gone = append(gone, key)
	}
	slices.Sort(gone)
	return changed, gone
}

// applyItems returns list without those that are gone, with changed items in the place of former ones of the same name
// and new ones at the end.
func applyItems[T any](list, changed []T, gone []string, name func(*T) string) []T {
	if len(list) == 0 && len(gone) == 0 {
		return changed
	}
	replaced := make(map[string]int, len(changed)) // index in changed
	for n := range changed {
		replaced[name(&changed[n])] = n
	}
	removed := make(map[string]bool, len(gone))
	for _, key := range gone {
		removed[key] = true
	}
	known := make(map[string]bool, len(list))
	out := make([]T, 0, len(list)+len(changed))
	for n := range list {
		key := name(&list[n])
		known[key] = true
		if removed[key] {
			continue
		}
		if k, ok := replaced[key]; ok {
			out = append(out, changed[k])
		} else {
			out = append(out, list[n])
		}
	}
	for n := range changed {
		if !known[name(&changed[n])] {
			out = append(out, changed[n])
		}
	}
	return out
}
