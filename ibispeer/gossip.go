package ibispeer

import (
	"slices"
	"sort"
	"time"
)

// Bounds of one heartbeat round, so that its cost stays flat however many daemons there are.
const (
	Fanout         = 6
	DigestsCarried = 12
)

// fullInterval is the time between heartbeats to the same daemon that say more than that the sender lives:
// the use of each team, and news of other daemons. It is shorter when silence is to be noticed sooner.
const fullInterval = 1 * time.Second

// round makes the heartbeats of one round by address: to all daemons while they are few, else to the next
// ones in order of IDs and some at random, so that news reaches everybody in few rounds.
func (p *Peers) round() map[string]*Gossip {
	p.refresh()
	round := make(map[string]*Gossip)
	ids := p.otherIDs()
	if len(ids) == 0 {
		for _, addr := range p.cfg.Seeds {
			round[addr] = p.gossip("")
		}
		return round
	}
	targets := ids
	if len(ids) > Fanout {
		targets = nil
		next := sort.SearchStrings(ids, p.cfg.Self.ID)
		for i := range Fanout / 2 {
			targets = append(targets, ids[(next+i)%len(ids)])
		}
		for range Fanout - Fanout/2 {
			targets = append(targets, ids[p.rand.IntN(len(ids))])
		}
	}
	now := time.Now()
	for _, id := range targets {
		m := p.members[id]
		if now.Sub(m.Direct) < p.cfg.Heartbeat/2 {
			continue // it has just sent one itself, and was answered with the newest that there is to say
		}
		if addr := m.Digest.Row.Address; round[addr] == nil {
			round[addr] = p.gossip(id)
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

// refresh makes a new digest of this daemon.
func (p *Peers) refresh() {
	p.seq++
	now := time.Now()
	self := Digest{
		Row: p.cfg.Self, Seq: p.seq, State: p.hooks.State(), ConfigVersion: p.hooks.Config(),
		StoreHealthy: now.Sub(p.storeAt) < p.cfg.CutOff, Load: p.hooks.Load(),
	}
	p.members[self.Row.ID] = &Member{Digest: self, Heard: now, Direct: now, BeatAt: now}
	p.publish()
}

// gossip is the next heartbeat to the daemon with this ID, or to any when it is empty: this daemon's digest
// first, and now and then what it knows of others.
func (p *Peers) gossip(to string) *Gossip {
	self, now := p.members[p.cfg.Self.ID].Digest, time.Now()
	g := &Gossip{Denied: p.hooks.Denied()}
	for id := range p.revoked {
		if len(g.Revoked) < DigestsCarried {
			g.Revoked = append(g.Revoked, id)
		}
	}
	m := p.members[to]
	switch {
	case m != nil && now.Sub(m.toldAt) < min(fullInterval, p.cfg.RevokeAfter/4):
		g.Digests = []Digest{self.withoutTeams()}
	case m != nil:
		m.toldAt = now
		g.Digests = []Digest{self}
		p.tellOthers(g, to)
	default:
		g.Digests = []Digest{self}
		p.tellOthers(g, "")
	}
	return g
}

// answer takes in a heartbeat and makes the one to answer it with, which tells a daemon that was not known
// of others.
func (p *Peers) answer(g *Gossip) *Gossip {
	from, stranger := "", false
	if len(g.Digests) > 0 {
		from = g.Digests[0].Row.ID
		stranger = p.members[from] == nil
	}
	p.merge(g)
	p.refresh()
	reply := p.gossip(from)
	if stranger {
		reply.Digests, reply.Pulses = append(reply.Digests[:1], p.newest(from)...), nil
	}
	return reply
}

// tellOthers adds pulses of the daemons with the newest signs of life, and the digest of one of them in
// turn for a receiver that cannot reach it.
func (p *Peers) tellOthers(g *Gossip, to string) {
	others := p.newest(to)
	for _, d := range others {
		g.Pulses = append(g.Pulses, Pulse{ID: d.Row.ID, Seq: max(d.Seq, p.members[d.Row.ID].pulse)})
	}
	if n := len(others); n > 0 {
		g.Digests = append(g.Digests, others[p.rand.IntN(n)])
	}
}

// newest lists the digests of some daemons but this one and the receiver, those with the newest signs of
// life.
func (p *Peers) newest(to string) []Digest {
	others := slices.DeleteFunc(p.otherIDs(), func(id string) bool { return id == to })
	sort.Slice(others, func(i, j int) bool { return p.members[others[i]].Heard.After(p.members[others[j]].Heard) })
	digests := make([]Digest, 0, DigestsCarried)
	for _, id := range others[:min(len(others), DigestsCarried)] {
		digests = append(digests, p.members[id].Digest)
	}
	return digests
}

// merge takes in a heartbeat; its first digest is the sender's own.
func (p *Peers) merge(g *Gossip) {
	now := time.Now()
	for _, id := range g.Revoked {
		p.forget(id)
	}
	for i, d := range g.Digests {
		id := d.Row.ID
		if id == p.cfg.Self.ID || p.revoked[id] {
			continue
		}
		m, ok := p.members[id]
		if !ok {
			if _, gone := p.ended[id]; gone || (i > 0 && p.known) {
				continue // an unknown third party is learned from the store or from itself
			}
			m = &Member{BeatAt: now, Digest: Digest{Row: d.Row}} // d itself may have no beat yet
			p.members[id] = m
		}
		if d.Seq > m.Digest.Seq {
			if d.WithoutTeams {
				d.Load.Teams, d.WithoutTeams = m.Digest.Load.Teams, false
			}
			m.Digest = d
			m.alive(d.Seq, now)
		}
		if i == 0 {
			m.Heard, m.Direct = now, now
		}
	}
	for _, b := range g.Pulses {
		if m := p.members[b.ID]; m != nil && b.ID != p.cfg.Self.ID {
			m.alive(b.Seq, now)
		}
	}
	p.known = p.known || len(g.Digests) > 0
	p.publish()
}
