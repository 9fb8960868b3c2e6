package ibisnode

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	candidateDelay = 60 * time.Millisecond  // between the attempts of two daemons to acquire leadership
	weakDelay      = 700 * time.Millisecond // added on weak VMs
	weakPowerRatio = 0.5                    // part of the strongest VM's power below which a VM is weak
	delaySlots     = 8                      // number of delays to choose from, by hash of the name, while no other daemon is known
	weakPowerCores = 0.3                    // power below which a VM is weak while no other daemon is known
)

// candidacyDelay is how long this daemon waits before it tries to acquire leadership, so that not all daemons
// try at once. Strong VMs go first: a leader on a weak one would slow down the whole cell. The previous leader
// is left out of the order.
func (n *Node) candidacyDelay(formerLeader string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := n.member()
	if len(n.members) == 0 {
		d := time.Duration(own.hash()%delaySlots) * candidateDelay
		if own.Power < weakPowerCores {
			d += weakDelay
		}
		return d
	}
	strongest := own.Power
	ahead := 0
	for _, m := range n.members {
		if m.Name == formerLeader || m.Name == own.Name {
			continue
		}
		strongest = max(strongest, m.Power)
		if m.Power > own.Power || m.Power == own.Power && m.hash() < own.hash() {
			ahead++
		}
	}
	d := time.Duration(ahead) * candidateDelay
	if own.Power < weakPowerRatio*strongest {
		d += weakDelay
	}
	return d
}

func (m member) hash() uint64 { return xxhash.Sum64String(m.Name) }

func (n *Node) member() member {
	return member{Name: n.settings.Name, Address: n.settings.Address, Power: n.settings.Power, Started: n.startedMS, FailureDomain: n.settings.FailureDomain}
}

// setMembers records the daemons of the cell, as named by the leader.
func (n *Node) setMembers(list []member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = list
}

// recordLeader remembers a leader if its epoch is the highest so far.
func (n *Node) recordLeader(row leaderRow) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if row.Epoch > n.latestLeader.Epoch {
		n.latestLeader = row
		n.leaderChanges = append(n.leaderChanges, n.clock.Now())
	}
}

// knownLeader returns the latest leader that this daemon knows of; its epoch is 0 when there is none.
func (n *Node) knownLeader() leaderRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latestLeader
}

// changeMembers applies a change of the list of members.
func (n *Node) changeMembers(c *memberChange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	replaced := func(m member) bool {
		return slices.Contains(c.Gone, m.Name) || slices.ContainsFunc(c.Changed, func(o member) bool { return o.Name == m.Name })
	}
	n.members = append(slices.DeleteFunc(slices.Clone(n.members), replaced), c.Changed...)
}

// broadcastMembers tells the linked daemons how the list of members has changed since it last did. A daemon that is
// newly linked gets the whole list.
func (t *term) broadcastMembers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.membersChanged {
		return
	}
	t.membersChanged = false
	current := map[string]member{t.n.settings.Name: t.n.member()}
	for l := range t.links {
		current[l.Name] = l.member
	}
	var change memberChange
	for name, m := range current {
		if t.knownMembers[name] != m {
			change.Changed = append(change.Changed, m)
		}
	}
	for name := range t.knownMembers {
		if _, ok := current[name]; !ok {
			change.Gone = append(change.Gone, name)
		}
	}
	t.knownMembers = current
	members := slices.Collect(maps.Values(current))
	t.n.setMembers(members)
	for l := range t.links {
		switch {
		case !l.toldMembers:
			l.out.put(&frame{Members: members})
			l.toldMembers = true
		case len(change.Changed)+len(change.Gone) > 0:
			l.out.put(&frame{MemberChanges: []memberChange{change}})
		}
	}
}

// MemberCount is the number of daemons that this one knows of, itself included; 0 before it has led or linked.
func (n *Node) MemberCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members)
}
