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

// Intervals of the daemon's loops and timeouts of their calls.
const (
	vmInterval      = 1 * time.Second
	allotInterval   = 500 * time.Millisecond
	allotSpacing    = 50 * time.Millisecond // from a wake-up to its round; bounds the rate of rounds
	shareInterval   = 250 * time.Millisecond
	contactInterval = 250 * time.Millisecond
	cleanInterval   = 2 * time.Second
	pullTimeout     = 2 * time.Second
)

// daemonCount is the number of daemons, for limits that the daemons share. It is 1 until the heartbeats have
// started.
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

// configReadTime is the time of the last successful read of the configuration from the table.
type configReadTime struct{ unixNano atomic.Int64 }

func (t *configReadTime) last() time.Time      { return time.Unix(0, t.unixNano.Load()) }
func (t *configReadTime) record(now time.Time) { t.unixNano.Store(now.UnixNano()) }

// vmTracker holds the latest list of VMs from the platform.
type vmTracker struct {
	vms atomic.Pointer[[]ibisserver.VM]
}

func (t *vmTracker) list() []ibisserver.VM {
	if p := t.vms.Load(); p != nil {
		return *p
	}
	return nil
}

// wakingLedger is a ledger that wakes the synchronisation of allotments as soon as a request waits for one.
type wakingLedger struct {
	*ibisallot.Ledger
	wake chan struct{}
}

// RecordDemand records demand and wakes the synchronisation of allotments.
func (l wakingLedger) RecordDemand(team string, r ibiswork.Resources) {
	l.Ledger.RecordDemand(team, r)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// startLoops runs the periodic work until the daemon stops.
func (n *node) startLoops(lc fx.Lifecycle) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	run := func(interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			repeat(ctx, interval, wake, f)
		}()
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			run(time.Duration(n.settings.ConfigPollMS)*time.Millisecond, nil, n.pollConfig)
			run(vmInterval, nil, n.pollVMs)
			run(allotInterval, n.wakeSync, n.syncAllotments)
			run(shareInterval, nil, n.updateShares)
			run(contactInterval, nil, func(context.Context) { n.checkContact() })
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

// repeat calls f at once, then after each interval and allotSpacing after each wake-up, until ctx ends.
func repeat(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
			time.Sleep(allotSpacing)
		}
	}
}

// pollConfig reads the configuration from the table and writes withdrawals of keys that are not stored yet.
func (n *node) pollConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if err := n.config.Poll(ctx); err != nil {
		log.WithField("error", err).Debug("ConfigNotRead")
		return
	}
	n.configRead.record(time.Now())
	if len(n.config.Denied()) > 0 {
		if err := n.config.ApplyWithdrawals(ctx, time.Now()); err != nil {
			log.WithField("error", err).Warn("WithdrawalNotWritten")
		}
	}
}

// checkContact moves the incarnation to cut off when it loses contact, and to serving once it has contact and
// has read the configuration at least once.
func (n *node) checkContact() {
	switch state := n.lifecycle.State(); {
	case n.hasContact(time.Now()):
		if state != serving && n.config.Snapshot().Version >= 0 && n.configRead.unixNano.Load() > 0 {
			n.lifecycle.fire("Learn")
		}
	case state == serving:
		n.lifecycle.fire("Lose")
	}
}

// onHeartbeat merges the denied keys of another daemon's heartbeat, and fetches that daemon's configuration
// when it is newer than the one in force here.
func (n *node) onHeartbeat(m ibispeer.Member, denied []ibisconfig.KeyHash) {
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

// onMembershipChange reacts to a change of the set of daemons.
func (n *node) onMembershipChange(v *ibispeer.View) {
	n.holder.Wake()
	if n.revocations.add(v.Revoked) {
		if err := n.owner.DaemonRevoked(context.Background()); err != nil {
			log.WithField("error", err).Debug("RevocationNotTold")
		}
	}
	n.assignServers(context.Background())
}

// revocations is the set of all incarnations that have been seen as revoked.
type revocations struct {
	mu   sync.Mutex
	seen map[string]bool
}

// add records the revoked incarnations and reports whether any of them is new.
func (r *revocations) add(revoked map[string]bool) bool {
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

// pollVMs reads the platform's list of VMs and reassigns the backend servers.
func (n *node) pollVMs(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	vms, err := n.vmlist.VMs(callCtx)
	if err != nil {
		log.WithField("error", err).Debug("VMListNotRead")
		return
	}
	n.vms.vms.Store(&vms)
	n.assignServers(ctx)
}

// assignServers tells the owner which backend servers are its own. The servers are divided among the daemons
// of the current view by rendezvous hashing.
func (n *node) assignServers(ctx context.Context) {
	state := n.lifecycle.State()
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

// syncAllotments synchronises this daemon's allotments under the teams' upper limits with the table.
func (n *node) syncAllotments(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
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

// updateShares tells the owner's queue how much each team uses in the whole fleet and how large the fleet is,
// from the digests of all daemons.
func (n *node) updateShares(ctx context.Context) {
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
