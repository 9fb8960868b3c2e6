package ibisnode

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	rankStep  = 60 * time.Millisecond  // between the tries of two daemons
	weakRank  = 700 * time.Millisecond // for VMs that are much weaker than the strongest
	weakPower = 0.5                    // of the strongest VM's power, below which a VM is weak
	rankSlots = 8                      // of daemons that know no others
	weakCores = 0.3                    // power below which such a daemon is weak
)

// rank is how long this daemon waits before it tries to lead, so that not all try at once. Strong VMs come
// first: a leader on a weak one would slow down all.
func (n *Node) rank(gone string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := n.member()
	if len(n.members) == 0 {
		d := time.Duration(own.hash()%rankSlots) * rankStep
		if own.Power < weakCores {
			d += weakRank
		}
		return d
	}
	strongest := own.Power
	before := 0
	for _, m := range n.members {
		if m.Name == gone || m.Name == own.Name {
			continue
		}
		strongest = max(strongest, m.Power)
		if m.Power > own.Power || m.Power == own.Power && m.hash() < own.hash() {
			before++
		}
	}
	d := time.Duration(before) * rankStep
	if own.Power < weakPower*strongest {
		d += weakRank
	}
	return d
}

func (m member) hash() uint64 { return xxhash.Sum64String(m.Name) }

func (n *Node) member() member {
	return member{Name: n.set.Name, Address: n.set.Address, Power: n.set.Power, Started: n.startedMS}
}

func (n *Node) setMembers(all []member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = all
}

func (n *Node) learnLeader(row leaderRow) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if row.Epoch > n.known.Epoch {
		n.known = row
	}
}

func (n *Node) knownLeader() leaderRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known
}

// shareMembers tells the linked daemons of each other when something has changed.
func (t *term) shareMembers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.membersChanged {
		return
	}
	t.membersChanged = false
	all := []member{t.n.member()}
	for l := range t.links {
		all = append(all, l.member)
	}
	t.n.setMembers(all)
	for l := range t.links {
		l.out.put(&frame{Members: all})
	}
}

// Members is the number of daemons that this one knows of, itself included.
func (n *Node) Members() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members)
}
