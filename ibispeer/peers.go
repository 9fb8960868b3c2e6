// Package ibispeer keeps the view that a daemon has of the others: heartbeats with digests, the rows of
// incarnations in the store, and the revocation of daemons that have gone silent.
//
// The view is a hint that decides who tries; safety never rests on it. What makes a takeover safe is the
// revocation, a conditional write, after which the revoked daemon can write nothing more.
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

// Intervals of the exchange with the store.
const (
	BeatInterval      = 1 * time.Second
	beatsPerSecond    = 20 // of all daemons together
	heartbeatTimeout  = 1 * time.Second
	storeTimeout      = 2 * time.Second
	silentFactor      = 3 // times RevokeAfter, when the store still hears a daemon that the others do not
	rowScanLimit      = 10000
	endedRowRetention = 10 * time.Minute
)

// Config is what Start needs.
type Config struct {
	Self        ibisincarnation.Row
	Table       ibistable.Table
	Fence       ibistable.Write
	Pool        *ibisrpc.Pool
	Heartbeat   time.Duration
	RevokeAfter time.Duration
	CutOff      time.Duration
	Seeds       []string // addresses to try while no daemon is known
}

// Hooks are what the rest of the daemon says and is told. All are called on other goroutines.
type Hooks struct {
	State   func() string // of the incarnation chart
	Load    func() Load   // of the owned backend servers
	Config  func() int64  // version in force
	Denied  func() []ibisconfig.KeyHash
	Learned func(Member, []ibisconfig.KeyHash) // a heartbeat came from this member
	Changed func(*View)                        // the set of members changed
	Revoked func()                             // this incarnation was revoked
	// StoreNews is the time of the last read of the configuration from the store.
	StoreNews func() time.Time
}

// Peers keeps the view.
type Peers struct {
	cfg     Config
	hooks   Hooks
	loop    *ibisloop.Loop
	view    atomic.Pointer[View]
	members map[string]*Member // owned by loop
	revoked map[string]bool    // owned by loop
	ended   map[string]time.Time
	storeAt time.Time
	// The last call of silent, and the first of those that followed each other closely.
	lookedAt, watching time.Time
	known              bool
	seq                int64
	rand               *rand.Rand
	wg                 sync.WaitGroup
}

// Start begins heartbeats; the second result ends them.
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
	go p.heartbeats(ctx)
	go p.storeRounds(ctx)
	return p, func() {
		cancel()
		p.wg.Wait()
		stopLoop()
	}
}

// View is the present picture; it is never changed after it was published.
func (p *Peers) View() *View { return p.view.Load() }

// HasContact reports whether this daemon has heard lately from the store or from half of the daemons, so
// that a withdrawal that was accepted anywhere has reached it.
func (p *Peers) HasContact(now time.Time) bool {
	v := p.View()
	if now.Sub(p.hooks.StoreNews()) <= p.cfg.CutOff {
		return true
	}
	heard := 1
	for _, m := range v.Members {
		if m.ID() != v.Self && now.Sub(m.Direct) <= p.cfg.CutOff {
			heard++
		}
	}
	return v.Known && 2*heard >= len(v.Members)
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

func (p *Peers) heartbeats(ctx context.Context) {
	defer p.wg.Done()
	tick := time.NewTicker(p.cfg.Heartbeat)
	defer tick.Stop()
	for {
		var round map[string]*Gossip
		if err := p.loop.Do(ctx, func() { round = p.round() }); err != nil {
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

// Spread sends a heartbeat to every daemon at once, and counts those that have answered, this one
// included.
func (p *Peers) Spread(ctx context.Context) (answered, all int) {
	var g *Gossip
	if p.loop.Do(ctx, func() {
		p.refresh()
		g = p.gossip("")
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

// exchange sends one heartbeat and reports whether it was answered.
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

// notify tells the rest of the daemon what the sender of g said.
func (p *Peers) notify(g *Gossip) {
	if len(g.Digests) == 0 {
		return
	}
	if m, ok := p.View().Find(g.Digests[0].Row.ID); ok {
		p.hooks.Learned(m, g.Denied)
	}
}

// forget drops a revoked incarnation for good.
func (p *Peers) forget(id string) {
	if p.revoked[id] {
		return
	}
	p.revoked[id] = true
	delete(p.members, id)
	if id == p.cfg.Self.ID {
		go p.hooks.Revoked()
	}
}

// publish makes a new view, and says so when the set of members changed.
func (p *Peers) publish() {
	old := p.view.Load()
	v := &View{Self: p.cfg.Self.ID, Revoked: make(map[string]bool, len(p.revoked)), StoreAt: p.storeAt, Known: p.known}
	for id := range p.revoked {
		v.Revoked[id] = true
	}
	for _, m := range p.members {
		v.Members = append(v.Members, *m)
	}
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].ID() < v.Members[j].ID() })
	p.view.Store(v)
	if strings.Join(old.IDs(), ",") != strings.Join(v.IDs(), ",") || len(old.Revoked) != len(v.Revoked) {
		go p.hooks.Changed(v)
	}
}

// beat is the value of a daemon's row that shows the store that it lives.
type beat struct {
	Seq int64 `json:"Seq"`
}

const beatPrefix = "beat/"

// BeatKey is the key of the row by which an incarnation shows the store that it lives.
func BeatKey(incarnation string) string { return beatPrefix + incarnation }

// storeRounds writes this daemon's beat and reads everybody's rows, again and again.
func (p *Peers) storeRounds(ctx context.Context) {
	defer p.wg.Done()
	for seq := int64(1); ; seq++ {
		p.storeRound(ctx, seq)
		wait := max(BeatInterval, time.Duration(len(p.View().Members))*time.Second/beatsPerSecond)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (p *Peers) storeRound(ctx context.Context, seq int64) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !p.writeBeat(ctx, seq) {
		return
	}
	rows, err := ibisincarnation.List(ctx, p.cfg.Table)
	if err != nil {
		return
	}
	beats, err := p.cfg.Table.Scan(ctx, beatPrefix, ibistable.PrefixEnd(beatPrefix), rowScanLimit)
	if err != nil {
		return
	}
	var silent []string
	err = p.loop.Do(ctx, func() {
		p.applyRows(rows, beats)
		silent = p.silent(time.Now())
		p.publish()
	})
	if err != nil {
		return
	}
	for _, id := range silent {
		p.revoke(ctx, id)
	}
}

// writeBeat shows that this daemon lives, and learns whether it was revoked.
func (p *Peers) writeBeat(ctx context.Context, seq int64) bool {
	value, err := json.Marshal(beat{Seq: seq})
	if err != nil {
		return false
	}
	_, err = p.cfg.Table.Commit(ctx, p.cfg.Fence, ibistable.Put(BeatKey(p.cfg.Self.ID), ibistable.Any, value))
	if ibistable.Conflict.Has(err) {
		log.WithField("incarnation", p.cfg.Self.ID).Error("IncarnationRevoked")
		p.hooks.Revoked()
	}
	return err == nil
}

func (p *Peers) applyRows(rows []ibisincarnation.Row, beats []ibistable.Row) {
	now := time.Now()
	p.storeAt, p.known = now, true
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.ID] = true
		switch {
		case r.State == ibisincarnation.Revoked:
			p.forget(r.ID)
		case r.State == ibisincarnation.Ended:
			delete(p.members, r.ID)
			p.ended[r.ID] = now
		case p.members[r.ID] == nil && !p.revoked[r.ID]:
			p.members[r.ID] = &Member{Digest: Digest{Row: r}, Heard: now, BeatAt: now}
		}
	}
	for _, b := range beats {
		m := p.members[strings.TrimPrefix(b.Key, beatPrefix)]
		if m != nil && b.Version != m.beatSeq {
			m.beatSeq, m.BeatAt = b.Version, now
		}
	}
	for id := range p.revoked {
		if !listed[id] {
			delete(p.revoked, id) // its row has been cleared away, after all that it left behind
			p.ended[id] = now
		}
	}
	for id, at := range p.ended {
		if now.Sub(at) > endedRowRetention {
			delete(p.ended, id)
		}
	}
}

// silent lists the daemons to revoke: those that neither the daemons nor the store hear, and those that
// the store hears but more than half of the daemons have not heard for longer.
//
// A daemon that was paused or without the store knows nothing of that time, so it counts anew.
func (p *Peers) silent(now time.Time) []string {
	patience := p.cfg.RevokeAfter + BeatInterval
	if now.Sub(p.lookedAt) > patience {
		p.watching = now
	}
	p.lookedAt = now
	if now.Sub(p.watching) <= patience {
		return nil
	}
	heard := 1
	for id, m := range p.members {
		if id != p.cfg.Self.ID && now.Sub(m.Heard) < p.cfg.RevokeAfter {
			heard++
		}
	}
	var ids []string
	for id, m := range p.members {
		if id == p.cfg.Self.ID {
			continue
		}
		quiet, still := now.Sub(m.Heard), now.Sub(m.BeatAt)
		dead := quiet > p.cfg.RevokeAfter && still > patience
		isolated := quiet > silentFactor*p.cfg.RevokeAfter && 2*heard > len(p.members)
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
		p.forget(id)
		p.publish()
	})
}
