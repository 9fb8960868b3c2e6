// Package ibispeer maintains a daemon's view of its peers. It exchanges heartbeats that carry digests, reads
// the rows of incarnations from the table, and revokes daemons that have become unresponsive. Package
// ibisdaemon runs it in every daemon; packages ibisholder, ibisowner and ibisroute use the view.
//
// The view is only a hint about which daemon should act; no safety property depends on it. A takeover is safe
// because the revocation is a conditional write after which the revoked daemon can write nothing more.
//
// Usage:
//
//	p, stop := ibispeer.Start(ibispeer.Config{Self: row, Table: t, Fence: inc.Fence(), Pool: pool, Heartbeat: 250 * time.Millisecond}, hooks)
//	defer stop()
//	view := p.View()
package ibispeer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisincarnation"
	"ibiscrank/ibisloop"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibistable"
	"ibiscrank/ibiswire"
)

// Error is the class of errors of this package.
var Error = errs.Class("peer")

// Intervals, timeouts and limits of the heartbeats to peers and to the table.
const (
	TableHeartbeatInterval   = 1 * time.Second // least interval between two table heartbeats of one daemon
	tableHeartbeatsPerSecond = 20              // of all daemons together
	heartbeatTimeout         = 1 * time.Second
	tableTimeout             = 2 * time.Second
	isolationFactor          = 3 // times RevokeAfter, for a daemon that reaches the table service but not its peers
	maxHeartbeatRows         = 10000
	endedRetention           = 10 * time.Minute // of the IDs of ended incarnations, in memory
)

// Config holds the parameters of Start.
type Config struct {
	Self        ibisincarnation.Row
	Table       ibistable.Table
	Fence       ibistable.Write // condition of every write of this daemon
	Pool        *ibisrpc.Pool
	Heartbeat   time.Duration // interval between heartbeat rounds
	RevokeAfter time.Duration // silence after which a daemon is revoked
	CutOff      time.Duration // age above which a contact or a read of the table no longer counts as recent
	Seeds       []string      // addresses of first contact while no other daemon is known
}

// Hooks connect Peers to the rest of the daemon. They are called from several goroutines.
type Hooks struct {
	State             func() string                      // returns the state of the incarnation's state chart
	Load              func() Load                        // returns the load of the owned backend servers
	ConfigVersion     func() int64                       // returns the active configuration version
	Denied            func() []ibisconfig.KeyHash        // returns the withdrawn keys to spread
	HeartbeatReceived func(Member, []ibisconfig.KeyHash) // handles a heartbeat of this member and its denied keys
	MembersChanged    func(*View)                        // handles a change of the set of members
	Revoked           func()                             // handles the revocation of this incarnation
	// ConfigReadAt returns when the configuration was last read from the table.
	ConfigReadAt func() time.Time
}

// Peers exchanges heartbeats and maintains the view.
type Peers struct {
	cfg         Config
	hooks       Hooks
	loop        *ibisloop.Loop
	view        atomic.Pointer[View]
	members     map[string]*Member // owned by loop
	revoked     map[string]bool    // owned by loop
	ended       map[string]time.Time
	tableReadAt time.Time
	// The last check for unresponsive daemons, and the first of the uninterrupted series of checks.
	lastCheck, observingSince time.Time
	populated                 bool
	seq                       int64
	rand                      *rand.Rand
	wg                        sync.WaitGroup
}

// Start starts the heartbeats to peers and to the table. The returned function stops them.
func Start(cfg Config, hooks Hooks) (*Peers, func()) {
	loop, stopLoop := ibisloop.New(1024)
	p := &Peers{
		cfg: cfg, hooks: hooks, loop: loop,
		members: make(map[string]*Member), revoked: make(map[string]bool), ended: make(map[string]time.Time),
		rand: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
	}
	p.view.Store(&View{Self: cfg.Self.ID, Revoked: map[string]bool{}})
	ctx, cancel := context.WithCancel(context.Background())
	p.wg.Add(2)
	go p.runHeartbeats(ctx)
	go p.runTableSync(ctx)
	return p, func() {
		cancel()
		p.wg.Wait()
		stopLoop()
	}
}

// View returns the current view. A published view is never modified.
func (p *Peers) View() *View { return p.view.Load() }

// HasContact reports whether, within CutOff, this daemon has read the configuration from the table or
// exchanged heartbeats with at least half of all known daemons, itself included. The withdrawal of a key that
// was accepted by any daemon has then reached this one.
func (p *Peers) HasContact(now time.Time) bool {
	v := p.View()
	if now.Sub(p.hooks.ConfigReadAt()) <= p.cfg.CutOff {
		return true
	}
	reachable := 1
	for _, m := range v.Members {
		if m.ID() != v.Self && now.Sub(m.DirectContact) <= p.cfg.CutOff {
			reachable++
		}
	}
	return v.Populated && 2*reachable >= len(v.Members)
}

// Heartbeat answers another daemon's heartbeat.
func (p *Peers) Heartbeat(ctx context.Context, g *Gossip) (*Gossip, error) {
	var reply *Gossip
	err := p.loop.Do(ctx, func() {
		reply = p.answer(g)
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p.notify(g)
	return reply, nil
}

func (p *Peers) runHeartbeats(ctx context.Context) {
	defer p.wg.Done()
	tick := time.NewTicker(p.cfg.Heartbeat)
	defer tick.Stop()
	for {
		var round map[string]*Gossip
		if err := p.loop.Do(ctx, func() { round = p.nextRound() }); err != nil {
			return
		}
		for addr, g := range round {
			go p.exchange(ctx, addr, g)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Broadcast sends a heartbeat to every daemon at once. It returns how many daemons have answered and how many
// there are, both including this one, or 0 and 1 if Peers has stopped or ctx has ended.
func (p *Peers) Broadcast(ctx context.Context) (answered, all int) {
	var g *Gossip
	if p.loop.Do(ctx, func() {
		p.refreshDigest()
		g = p.buildHeartbeat("")
	}) != nil {
		return 0, 1
	}
	members := p.View().Members
	var wg sync.WaitGroup
	var n atomic.Int64
	for _, m := range members {
		if m.ID() == p.cfg.Self.ID {
			n.Add(1)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if p.exchange(ctx, m.Digest.Row.Address, g) {
				n.Add(1)
			}
		}()
	}
	wg.Wait()
	return int(n.Load()), len(members)
}

// exchange sends one heartbeat, merges the reply and reports whether there was one.
func (p *Peers) exchange(ctx context.Context, addr string, g *Gossip) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := ibisrpc.Call[Gossip](ctx, p.cfg.Pool, addr, ibiswire.MethodHeartbeat, g)
	if err != nil {
		return false
	}
	if p.loop.Do(ctx, func() { p.merge(reply) }) == nil {
		p.notify(reply)
	}
	return true
}

// notify passes the sender of g and its denied keys to the HeartbeatReceived hook.
func (p *Peers) notify(g *Gossip) {
	if len(g.Digests) == 0 {
		return
	}
	if m, ok := p.View().Find(g.Digests[0].Row.ID); ok {
		p.hooks.HeartbeatReceived(m, g.Denied)
	}
}

// markRevoked removes a revoked incarnation from the members, to which it cannot return.
func (p *Peers) markRevoked(id string) {
	if p.revoked[id] {
		return
	}
	p.revoked[id] = true
	delete(p.members, id)
	if id == p.cfg.Self.ID {
		go p.hooks.Revoked()
	}
}

// publish stores a new view and calls the MembersChanged hook if the set of members changed.
func (p *Peers) publish() {
	old := p.view.Load()
	v := &View{Self: p.cfg.Self.ID, Revoked: make(map[string]bool, len(p.revoked)), TableReadAt: p.tableReadAt, Populated: p.populated}
	for id := range p.revoked {
		v.Revoked[id] = true
	}
	for _, m := range p.members {
		v.Members = append(v.Members, *m)
	}
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].ID() < v.Members[j].ID() })
	p.view.Store(v)
	if strings.Join(old.IDs(), ",") != strings.Join(v.IDs(), ",") || len(old.Revoked) != len(v.Revoked) {
		go p.hooks.MembersChanged(v)
	}
}

// tableHeartbeat is the value of a daemon's heartbeat row in the table.
type tableHeartbeat struct {
	Seq int64 `json:"Seq"`
}

const tableHeartbeatPrefix = "beat/"

// TableHeartbeatKey returns the table key of an incarnation's heartbeat row.
func TableHeartbeatKey(incarnation string) string { return tableHeartbeatPrefix + incarnation }

// runTableSync periodically writes this daemon's heartbeat to the table and reads the rows of all daemons. The
// interval grows with the number of daemons, to limit the writes of all of them together.
func (p *Peers) runTableSync(ctx context.Context) {
	defer p.wg.Done()
	for seq := int64(1); ; seq++ {
		p.syncTable(ctx, seq)
		wait := max(TableHeartbeatInterval, time.Duration(len(p.View().Members))*time.Second/tableHeartbeatsPerSecond)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// syncTable writes the heartbeat, applies the rows of all daemons, and revokes the unresponsive ones.
func (p *Peers) syncTable(ctx context.Context, seq int64) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if !p.writeTableHeartbeat(ctx, seq) {
		return
	}
	rows, err := ibisincarnation.List(ctx, p.cfg.Table)
	if err != nil {
		return
	}
	heartbeats, err := p.cfg.Table.Scan(ctx, tableHeartbeatPrefix, ibistable.PrefixEnd(tableHeartbeatPrefix), maxHeartbeatRows)
	if err != nil {
		return
	}
	var unresponsive []string
	err = p.loop.Do(ctx, func() {
		p.applyTableRows(rows, heartbeats)
		unresponsive = p.unresponsive(time.Now())
		p.publish()
	})
	if err != nil {
		return
	}
	for _, id := range unresponsive {
		p.revoke(ctx, id)
	}
}

// writeTableHeartbeat writes this daemon's heartbeat row. A conflict means that this daemon was revoked.
func (p *Peers) writeTableHeartbeat(ctx context.Context, seq int64) bool {
	value, err := json.Marshal(tableHeartbeat{Seq: seq})
	if err != nil {
		return false
	}
	_, err = p.cfg.Table.Commit(ctx, p.cfg.Fence, ibistable.Put(TableHeartbeatKey(p.cfg.Self.ID), ibistable.Any, value))
	if ibistable.Conflict.Has(err) {
		log.WithField("incarnation", p.cfg.Self.ID).Error("IncarnationRevoked")
		p.hooks.Revoked()
	}
	return err == nil
}

func (p *Peers) applyTableRows(rows []ibisincarnation.Row, heartbeats []ibistable.Row) {
	now := time.Now()
	p.tableReadAt, p.populated = now, true
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.ID] = true
		switch {
		case r.State == ibisincarnation.Revoked:
			p.markRevoked(r.ID)
		case r.State == ibisincarnation.Ended:
			delete(p.members, r.ID)
			p.ended[r.ID] = now
		case p.members[r.ID] == nil && !p.revoked[r.ID]:
			p.members[r.ID] = &Member{Digest: Digest{Row: r}, LastContact: now, TableHeartbeatAt: now}
		}
	}
	for _, hb := range heartbeats {
		m := p.members[strings.TrimPrefix(hb.Key, tableHeartbeatPrefix)]
		if m != nil && hb.Version != m.heartbeatVersion {
			m.heartbeatVersion, m.TableHeartbeatAt = hb.Version, now
		}
	}
	for id := range p.revoked {
		if !listed[id] {
			delete(p.revoked, id) // its row is deleted last, after all that it left behind
			p.ended[id] = now
		}
	}
	for id, endedAt := range p.ended {
		if now.Sub(endedAt) > endedRetention {
			delete(p.ended, id)
		}
	}
}

// unresponsive lists the daemons to revoke. These are daemons whose heartbeats reach neither their peers nor
// the table, and daemons that still reach the table service but have been out of contact with their peers for
// isolationFactor * RevokeAfter, while this daemon is in contact with more than half of all daemons,
// itself included.
//
// After a pause of this daemon or a time without the table service its data is stale, so it waits for a full
// period of uninterrupted checks before it revokes a daemon.
func (p *Peers) unresponsive(now time.Time) []string {
	silenceLimit := p.cfg.RevokeAfter + TableHeartbeatInterval
	if now.Sub(p.lastCheck) > silenceLimit {
		p.observingSince = now
	}
	p.lastCheck = now
	if now.Sub(p.observingSince) <= silenceLimit {
		return nil
	}
	reachable := 1
	for id, m := range p.members {
		if id != p.cfg.Self.ID && now.Sub(m.LastContact) < p.cfg.RevokeAfter {
			reachable++
		}
	}
	var ids []string
	for id, m := range p.members {
		if id == p.cfg.Self.ID {
			continue
		}
		sinceContact, sinceTableHeartbeat := now.Sub(m.LastContact), now.Sub(m.TableHeartbeatAt)
		dead := sinceContact > p.cfg.RevokeAfter && sinceTableHeartbeat > silenceLimit
		isolated := sinceContact > isolationFactor*p.cfg.RevokeAfter && 2*reachable > len(p.members)
		if dead || isolated {
			ids = append(ids, id)
		}
	}
	return ids
}

func (p *Peers) revoke(ctx context.Context, id string) {
	err := ibisincarnation.Revoke(ctx, p.cfg.Table, id, "silent", p.cfg.Fence)
	if err != nil {
		log.WithFields(log.Fields{"incarnation": id, "error": err}).Warn("RevocationFailed")
		return
	}
	log.WithField("incarnation", id).Info("PeerRevoked")
	_ = p.loop.Do(ctx, func() {
		p.markRevoked(id)
		p.publish()
	})
}
