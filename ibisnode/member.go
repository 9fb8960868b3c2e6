package ibisnode

import (
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
	return member{Name: n.settings.Name, Address: n.settings.Address, Power: n.settings.Power, Started: n.startedMS}
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
	}
}

// knownLeader returns the latest leader that this daemon knows of; its epoch is 0 when there is none.
func (n *Node) knownLeader() leaderRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latestLeader
}

// broadcastMembers sends the list of members to all linked daemons if it has changed.
func (t *term) broadcastMembers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.membersChanged {
		return
	}
	t.membersChanged = false
	members := []member{t.n.member()}
	for l := range t.links {
		members = append(members, l.member)
	}
	t.n.setMembers(members)
	for l := range t.links {
		l.out.put(&frame{Members: members})
	}
}

// MemberCount is the number of daemons that this one knows of, itself included; 0 before it has led or linked.
func (n *Node) MemberCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members)
}
