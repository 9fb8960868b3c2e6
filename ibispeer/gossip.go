package ibispeer

import (
	"slices"
	"sort"
	"time"
)

// Limits of one heartbeat round, so that its cost does not grow with the number of daemons.
const (
	Fanout     = 6  // heartbeats sent in each round
	MaxDigests = 12 // other daemons described, and revocations listed, in one heartbeat
)

// fullHeartbeatInterval is the interval between full heartbeats to the same daemon, which add the use of each
// team and the liveness of other daemons. If a quarter of RevokeAfter is shorter, that applies instead, so that
// silence is detected in time.
const fullHeartbeatInterval = 1 * time.Second

// nextRound builds the heartbeats of one round, by address. Up to Fanout other daemons all get one. With
// more, half of the targets follow this daemon in the order of IDs and the others are random, so that
// updates reach every daemon within few rounds.
func (p *Peers) nextRound() map[string]*Gossip {
	p.refreshDigest()
	round := make(map[string]*Gossip)
	ids := p.otherIDs()
	if len(ids) == 0 {
		for _, addr := range p.cfg.Seeds {
			round[addr] = p.buildHeartbeat("")
		}
		return round
	}
	targets := ids
	if len(ids) > Fanout {
		targets = nil
		first := sort.SearchStrings(ids, p.cfg.Self.ID)
		for i := range Fanout / 2 {
			targets = append(targets, ids[(first+i)%len(ids)])
		}
		for range Fanout - Fanout/2 {
			targets = append(targets, ids[p.rand.IntN(len(ids))])
		}
	}
	now := time.Now()
	for _, id := range targets {
		m := p.members[id]
		if now.Sub(m.DirectContact) < p.cfg.Heartbeat/2 {
			continue // the member has just started an exchange and got the newest state in the reply
		}
		if addr := m.Digest.Row.Address; round[addr] == nil {
			round[addr] = p.buildHeartbeat(id)
		}
	}
	return round
}

func (p *Peers) otherIDs() []string {
	ids := make([]string, 0, len(p.members))
	for id := range p.members {
		if id != p.cfg.Self.ID {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// refreshDigest replaces the digest of this daemon and publishes the view.
func (p *Peers) refreshDigest() {
	p.seq++
	now := time.Now()
	self := Digest{
		Row: p.cfg.Self, Seq: p.seq, State: p.hooks.State(), ConfigVersion: p.hooks.ConfigVersion(),
		StoreHealthy: now.Sub(p.tableReadAt) < p.cfg.CutOff, Load: p.hooks.Load(),
	}
	p.members[self.Row.ID] = &Member{Digest: self, LastContact: now, DirectContact: now, TableHeartbeatAt: now}
	p.publish()
}

// buildHeartbeat builds the next heartbeat to the daemon with this ID, or to any daemon if it is empty. This
// daemon's digest comes first; only full heartbeats describe other daemons.
func (p *Peers) buildHeartbeat(to string) *Gossip {
	self, now := p.members[p.cfg.Self.ID].Digest, time.Now()
	g := &Gossip{Denied: p.hooks.Denied()}
	for id := range p.revoked {
		if len(g.Revoked) < MaxDigests {
			g.Revoked = append(g.Revoked, id)
		}
	}
	m := p.members[to]
	switch {
	case m != nil && now.Sub(m.fullSentAt) < min(fullHeartbeatInterval, p.cfg.RevokeAfter/4):
		g.Digests = []Digest{self.withoutTeams()}
	case m != nil:
		m.fullSentAt = now
		g.Digests = []Digest{self}
		p.addOthers(g, to)
	default:
		g.Digests = []Digest{self}
		p.addOthers(g, "")
	}
	return g
}

// answer merges a heartbeat and builds the reply. A sender that was unknown gets the digests of other
// daemons in place of their liveness.
func (p *Peers) answer(g *Gossip) *Gossip {
	sender, unknownSender := "", false
	if len(g.Digests) > 0 {
		sender = g.Digests[0].Row.ID
		unknownSender = p.members[sender] == nil
	}
	p.merge(g)
	p.refreshDigest()
	reply := p.buildHeartbeat(sender)
	if unknownSender {
		reply.Digests, reply.Liveness = append(reply.Digests[:1], p.mostRecent(sender)...), nil
	}
	return reply
}

// addOthers adds the liveness of the daemons with the most recent contact, and the digest of a random one of
// them for receivers that cannot reach it.
func (p *Peers) addOthers(g *Gossip, to string) {
	others := p.mostRecent(to)
	for _, d := range others {
		g.Liveness = append(g.Liveness, Liveness{ID: d.Row.ID, Seq: max(d.Seq, p.members[d.Row.ID].latestSeq)})
	}
	if n := len(others); n > 0 {
		g.Digests = append(g.Digests, others[p.rand.IntN(n)])
	}
}

// mostRecent returns the digests of the daemons with the most recent contact, without this one and the
// receiver, at most MaxDigests.
func (p *Peers) mostRecent(to string) []Digest {
	others := slices.DeleteFunc(p.otherIDs(), func(id string) bool { return id == to })
	sort.Slice(others, func(i, j int) bool { return p.members[others[i]].LastContact.After(p.members[others[j]].LastContact) })
	digests := make([]Digest, 0, MaxDigests)
	for _, id := range others[:min(len(others), MaxDigests)] {
		digests = append(digests, p.members[id].Digest)
	}
	return digests
}

// merge applies a received heartbeat to the members; its first digest is the sender's own.
func (p *Peers) merge(g *Gossip) {
	now := time.Now()
	for _, id := range g.Revoked {
		p.markRevoked(id)
	}
	for i, d := range g.Digests {
		id := d.Row.ID
		if id == p.cfg.Self.ID || p.revoked[id] {
			continue
		}
		m, ok := p.members[id]
		if !ok {
			if _, ended := p.ended[id]; ended || (i > 0 && p.populated) {
				continue // an unknown daemon is added from the table or from its own heartbeat
			}
			m = &Member{TableHeartbeatAt: now, Digest: Digest{Row: d.Row}} // it may have no heartbeat row yet
			p.members[id] = m
		}
		if d.Seq > m.Digest.Seq {
			if d.WithoutTeams {
				d.Load.Teams, d.WithoutTeams = m.Digest.Load.Teams, false
			}
			m.Digest = d
			m.recordSeq(d.Seq, now)
		}
		if i == 0 {
			m.LastContact, m.DirectContact = now, now
		}
	}
	for _, l := range g.Liveness {
		if m := p.members[l.ID]; m != nil && l.ID != p.cfg.Self.ID {
			m.recordSeq(l.Seq, now)
		}
	}
	p.populated = p.populated || len(g.Digests) > 0
	p.publish()
}
