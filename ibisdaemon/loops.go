package ibisdaemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"ibiscrank/ibisallot"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibisshard"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// Intervals of the daemon's loops.
const (
	vmInterval    = 1 * time.Second
	allotInterval = 500 * time.Millisecond
	allotSpacing  = 50 * time.Millisecond
	shareInterval = 250 * time.Millisecond
	newsInterval  = 250 * time.Millisecond
	cleanInterval = 2 * time.Second
	pullTimeout   = 2 * time.Second
)

// daemonCount tells how many daemons there are, for what they divide among them.
type daemonCount struct {
	peers atomic.Pointer[ibispeer.Peers]
}

func newDaemonCount() *daemonCount { return &daemonCount{} }

func (c *daemonCount) get() int {
	if p := c.peers.Load(); p != nil {
		return max(len(p.View().Members), 1)
	}
	return 1
}

// newsTimes remembers when the configuration was last read from the store.
type newsTimes struct{ config atomic.Int64 }

func (t *newsTimes) configAt() time.Time       { return time.Unix(0, t.config.Load()) }
func (t *newsTimes) heardConfig(now time.Time) { t.config.Store(now.UnixNano()) }

// vmTracker keeps the newest list of VMs.
type vmTracker struct {
	vms atomic.Pointer[[]ibisserver.VM]
}

func (t *vmTracker) list() []ibisserver.VM {
	if p := t.vms.Load(); p != nil {
		return *p
	}
	return nil
}

// wakingLedger starts a round of allotments at once when a request has to wait for one.
type wakingLedger struct {
	*ibisallot.Ledger
	kick chan struct{}
}

// RecordDemand records demand and wakes the round.
func (l wakingLedger) RecordDemand(team string, r ibiswork.Resources) {
	l.Ledger.RecordDemand(team, r)
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// startLoops runs the periodic work until the daemon stops.
func (n *node) startLoops(lc fx.Lifecycle) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	run := func(every time.Duration, wake <-chan struct{}, f func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			repeat(ctx, every, wake, f)
		}()
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			run(time.Duration(n.settings.ConfigPollMS)*time.Millisecond, nil, n.pollConfig)
			run(vmInterval, nil, n.pollVMs)
			run(allotInterval, n.kick, n.syncAllotments)
			run(shareInterval, nil, n.shareRound)
			run(newsInterval, nil, func(context.Context) { n.checkNews() })
			run(cleanInterval, nil, n.cleanUp)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			wg.Wait()
			return nil
		},
	})
}

// repeat calls f at once, then at every interval or when woken.
func repeat(ctx context.Context, every time.Duration, wake <-chan struct{}, f func(context.Context)) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-wake:
			time.Sleep(allotSpacing)
		}
	}
}

func (n *node) pollConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := n.config.Poll(ctx); err != nil {
		log.WithField("error", err).Debug("ConfigNotRead")
		return
	}
	n.news.heardConfig(time.Now())
	if len(n.config.Denied()) > 0 {
		if err := n.config.WriteDenied(ctx, time.Now()); err != nil {
			log.WithField("error", err).Warn("WithdrawalNotWritten")
		}
	}
}

// checkNews moves the incarnation between serving and cut off.
func (n *node) checkNews() {
	switch state := n.life.State(); {
	case n.hasContact(time.Now()):
		if state != serving && n.config.Snapshot().Version >= 0 && n.news.config.Load() > 0 {
			n.life.fire("Learn")
		}
	case state == serving:
		n.life.fire("Lose")
	}
}

// learned takes in what a heartbeat of another daemon brought.
func (n *node) learned(m ibispeer.Member, denied []ibisconfig.KeyHash) {
	n.config.MergeDenied(denied)
	if m.Digest.ConfigVersion <= n.config.Snapshot().Version {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		snap, err := ibisrpc.Call[ibisconfig.Snapshot](ctx, n.pool, m.Digest.Row.Address, ibiswire.MethodSnapshot, &ibiswire.SnapshotRequest{})
		if err == nil {
			n.config.Adopt(snap)
		}
	}()
}

// changed follows a change of the set of daemons.
func (n *node) changed(v *ibispeer.View) {
	n.holder.Wake()
	if n.revocations.grew(v.Revoked) {
		if err := n.owner.DaemonRevoked(context.Background()); err != nil {
			log.WithField("error", err).Debug("RevocationNotTold")
		}
	}
	n.divideServers(context.Background())
}

// revocations remembers which incarnations are known to be revoked.
type revocations struct {
	mu   sync.Mutex
	seen map[string]bool
}

// grew reports whether revoked has an incarnation that no earlier call had.
func (r *revocations) grew(revoked map[string]bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil {
		r.seen = make(map[string]bool)
	}
	before := len(r.seen)
	for id := range revoked {
		r.seen[id] = true
	}
	return len(r.seen) > before
}

func (n *node) pollVMs(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	vms, err := n.vmlist.VMs(callCtx)
	if err != nil {
		log.WithField("error", err).Debug("VMListNotRead")
		return
	}
	n.vms.vms.Store(&vms)
	n.divideServers(ctx)
}

// divideServers tells the owner which backend servers are its own by the present view.
func (n *node) divideServers(ctx context.Context) {
	state := n.life.State()
	if n.peers == nil || (state != serving && state != draining) {
		return
	}
	ids := n.view().IDs()
	gone := make(map[string]bool)
	var own []ibisserver.VM
	for _, vm := range n.vms.list() {
		if vm.State == ibisserver.Gone {
			gone[vm.Name] = true
			continue
		}
		if ibisshard.Rendezvous(vm.Name, ids) == n.inc.ID() {
			own = append(own, vm)
		}
	}
	if err := n.owner.SetServers(ctx, own, gone); err != nil {
		log.WithField("error", err).Debug("ServersNotSet")
	}
}

func (n *node) syncAllotments(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	snap := n.config.Snapshot()
	limits := make(map[string]ibiswork.Resources, len(snap.Teams))
	for name, t := range snap.Teams {
		limits[name] = t.UpperLimit
	}
	var live []string
	for _, m := range n.view().Members {
		live = append(live, m.ID())
	}
	if err := n.ledger.Sync(ctx, limits, live); err != nil {
		log.WithField("error", err).Debug("AllotmentsNotSynced")
	}
}

// shareRound gives the owner's queue the use of each team in the whole fleet, from the digests.
func (n *node) shareRound(ctx context.Context) {
	used := make(map[string]ibiswork.Resources)
	var total ibiswork.Resources
	owners := 0
	for _, m := range n.view().Members {
		load := m.Digest.Load
		if m.ID() == n.inc.ID() {
			load = n.owner.Load()
		}
		total = total.Add(load.Capacity)
		if load.Servers > 0 {
			owners++
		}
		for _, t := range load.Teams {
			used[t.Team] = used[t.Team].Add(t.Used)
		}
	}
	if err := n.owner.SetShares(ctx, n.config.Snapshot(), used, total, max(owners, 1)); err != nil {
		log.WithField("error", err).Debug("SharesNotSet")
	}
}
