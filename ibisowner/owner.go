// Package ibisowner manages the backend servers that this daemon owns: it claims them, queues and places
// requests on them, starts tasks, renews the tasks' leases and reports task outcomes to the holders of
// request shards. Package ibisdaemon runs one owner in every daemon.
//
// A server is claimed with an epoch. It rejects calls with a lower epoch than the highest one it has seen,
// which fences off previous owners. A holder is the daemon that holds a shard of the requests, with an epoch
// of its own; calls from a stale holder are refused. A server that is set aside, by an operator or after
// repeated failures (see ibisaside), or whose failure domain is evacuated, gets no new work; its running tasks continue.
//
// A request has one task or several. A holder makes one or more attempts at it, each of which is placed and
// started at one or more owners. A place is the capacity that is kept on a server for one task. The tasks of a
// gang run all together or not at all; its places are reserved one by one if it spans several owners.
//
// One goroutine, the loop, owns the queue, the fleet and all tasks. Each server has one goroutine that
// claims and polls it and one that renews leases; calls from holders run on their own goroutines.
//
// Usage:
//
//	o, stop := ibisowner.New(cfg)
//	defer stop()
//	err := o.SetServers(ctx, vms, nil)
//	reply, err := o.Place(ctx, req)
package ibisowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"ibiscrank/ibisaside"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibisestimate"
	"ibiscrank/ibisevacuation"
	"ibiscrank/ibisloop"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisplace"
	"ibiscrank/ibisqueue"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// Error is the error class of this package.
var Error = errs.Class("owner")

// Timeouts and limits of an owner.
const (
	// StartWindow is the time from a reading of the server's clock to the latest start. A server that has been
	// silent for longer gets no new work.
	StartWindow        = 2 * time.Second
	ReservationTimeout = 10 * time.Second        // a reservation is dropped when its start has not arrived by then
	startTimeout       = 1500 * time.Millisecond // of Start and Control calls to a server
	maxStartCalls      = 3                       // Start calls for one task while its outcome is unknown
	closedTTL          = 2 * time.Minute         // closed attempts and moved requests are remembered for this long
	tickInterval       = 100 * time.Millisecond
	loopQueueLength    = 4096
	// MaxRenewalWithoutContact is the time without contact (see Config) after which an owner stops renewing leases.
	MaxRenewalWithoutContact = 60 * time.Second
)

// Pauses between placement rounds.
const (
	minRoundPause    = 5 * time.Millisecond
	maxRoundPause    = 100 * time.Millisecond
	roundPauseFactor = 4 // times the last round's duration; unless maxRoundPause limits it, rounds take at most a fifth of the time
)

// Ledger accounts for the part of each team's upper limit that is allotted to this daemon.
type Ledger interface {
	// TryUse counts r as used and returns true if it fits in the allotment.
	TryUse(team string, r ibiswork.Resources) bool
	// Use counts r as used even beyond the allotment, for tasks that already run.
	Use(team string, r ibiswork.Resources)
	// Free returns r to the allotment.
	Free(team string, r ibiswork.Resources)
	// RecordDemand records that r was refused for lack of allotment.
	RecordDemand(team string, r ibiswork.Resources)
	// ReleaseClaimed stops counting a task whose backend server another owner has claimed; its allotment must
	// not be reused here.
	ReleaseClaimed(team string, r ibiswork.Resources)
}

// Directory returns the current holder of a shard and its address, or ok false when it is unknown.
type Directory interface {
	Holder(shard int) (h ibiswire.Holder, address string, ok bool)
}

// Config holds the settings and dependencies of an Owner.
type Config struct {
	Self       string                                           // incarnation ID of this daemon
	Lease      time.Duration                                    // length of a task's lease
	Shards     int                                              // number of request shards
	Dial       func(address string) (ibisserver.Server, func()) // returns a client and a function that closes it
	Pool       *ibisrpc.Pool
	Ledger     Ledger
	Directory  Directory
	Snapshot   func() *ibisconfig.Snapshot
	HasContact func(time.Time) bool // whether there is recent contact with the table service or half of the daemons
	Metrics    metrics.Registry     // nil for a registry of its own
}

// Owner manages the backend servers that this daemon owns.
type Owner struct {
	cfg         Config
	loop        *ibisloop.Loop
	ctx         context.Context
	wg          sync.WaitGroup
	load        atomic.Pointer[ibispeer.Load]
	lastContact atomic.Int64 // Unix nanoseconds of the last tick at which HasContact returned true

	// Owned by loop.
	fleet          ibisplace.Fleet
	queue          ibisqueue.Queue
	guard          ibisaside.Guard
	estimator      ibisestimate.Estimator
	services       ibisplace.Services
	servers        map[string]*server
	placements     map[ibiswork.ID]*placement
	tasks          map[ibisserver.TaskID]*task
	closedAttempts map[ibiswork.ID]closedAttempt
	shardEpochs    []int64 // highest known holder epoch by shard
	outbox         map[ibisserver.TaskID]*pendingReport
	moved          map[ibiswork.ID]time.Time // when to forget requests with tasks that another owner reports
	draining       bool

	evacuations        ibisevacuation.Set
	evacuationsVersion int64     // of the configuration that evacuations was read from
	createdAt          time.Time // zero of the times in evacuations
	startNotSentLogged time.Time

	blocked          map[string]blocked // by team
	requeue          []*placement       // partial placements to queue again after the round
	inRound          bool               // the queue is offering placements
	removeAfterRound []ibiswork.ID      // dropped during the round, to remove from the queue after it
	preemptCheckedAt time.Time
	limitsCheckedAt  time.Time
	fleetUsed        map[string]ibiswork.Resources // by team, from the peers' digests

	started       metrics.Meter
	startsRefused metrics.Counter // by an evacuation
	reportWake    chan struct{}
	roundWake     chan struct{}
}

// closedAttempt is the highest attempt at a request that may no longer be placed or started here.
type closedAttempt struct {
	attempt int
	until   time.Time
}

// New starts an owner without servers. The returned function stops its goroutines; running tasks continue
// until their leases expire.
func New(cfg Config) (*Owner, func()) {
	loop, stopLoop := ibisloop.New(loopQueueLength)
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	o := &Owner{
		cfg: cfg, loop: loop, ctx: ctx,
		servers: make(map[string]*server), placements: make(map[ibiswork.ID]*placement),
		tasks: make(map[ibisserver.TaskID]*task), closedAttempts: make(map[ibiswork.ID]closedAttempt), blocked: make(map[string]blocked),
		shardEpochs: make([]int64, cfg.Shards), outbox: make(map[ibisserver.TaskID]*pendingReport), moved: make(map[ibiswork.ID]time.Time),
		reportWake: make(chan struct{}, 1), roundWake: make(chan struct{}, 1), started: metrics.NewRegisteredMeter("TasksStarted", cfg.Metrics),
		createdAt: time.Now(), startsRefused: metrics.NewRegisteredCounter("StartsRefusedEvacuated", cfg.Metrics),
	}
	o.load.Store(&ibispeer.Load{})
	o.lastContact.Store(time.Now().UnixNano())
	o.wg.Add(3)
	go o.tickLoop()
	go o.roundLoop()
	go o.reportLoop()
	return o, func() {
		cancel()
		o.wg.Wait()
		stopLoop()
	}
}

// Load returns a summary of the owned servers for peers, at most one tick (100 ms) old.
func (o *Owner) Load() ibispeer.Load { return *o.load.Load() }

// Drain makes the owner refuse new requests and refuses those that are queued, so that holders place them
// elsewhere.
func (o *Owner) Drain(ctx context.Context) error {
	return o.loop.Do(ctx, func() {
		o.draining = true
		for _, p := range o.placements {
			if p.state == waiting {
				o.dropPlacement(p, ibiswork.Refuse(ibiswork.CodeDraining, "the owner is draining"))
			}
		}
	})
}

func (o *Owner) tickLoop() {
	defer o.wg.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-tick.C:
		}
		if err := o.loop.Do(o.ctx, func() { o.tick(time.Now()) }); err != nil {
			return
		}
	}
}

// tick drops expired state, checks servers for expired leases, runs a placement round, preempts tasks, enforces
// limits and publishes the load.
func (o *Owner) tick(now time.Time) {
	if o.cfg.HasContact(now) {
		o.lastContact.Store(now.UnixNano())
	}
	for _, q := range o.queue.Expired(now) {
		if p := o.placements[q.ID]; p != nil {
			o.dropPlacement(p, ibiswork.Refuse(ibiswork.CodeDeadline, "the deadline can no longer be met: no backend server had room in time"))
		}
	}
	for _, p := range o.placements {
		if p.state == waiting && !o.fleet.EverFits(p.req.Resources) {
			o.dropPlacement(p, ibiswork.Refuse(ibiswork.CodeOverloaded, "no backend server of this owner is large enough any more for one task of the request"))
			continue
		}
		if (p.state == reserved || (p.partial && p.state == waiting)) && now.After(p.keepUntil) {
			o.dropPlacement(p, nil)
		}
	}
	for id, c := range o.closedAttempts {
		if now.After(c.until) {
			delete(o.closedAttempts, id)
		}
	}
	for id, until := range o.moved {
		if now.After(until) {
			delete(o.moved, id)
		}
	}
	for _, s := range o.servers {
		o.checkLeaseExpiry(s, now)
		o.flushForgetQueue(s)
	}
	o.updateClosed(now)
	o.round(now)
	o.preempt(now)
	o.reduceOveruse()
	o.enforceLimits(now)
	o.publishLoad()
}

// publishLoad updates the summary that is sent to peers.
func (o *Owner) publishLoad() {
	l := &ibispeer.Load{Capacity: o.fleet.Capacity(), Used: o.fleet.Used(), Queued: o.queue.Len()}
	for name, s := range o.servers {
		if !s.claimed {
			continue
		}
		l.Servers++
		f, ok := o.fleet.Server(name)
		if ok && o.evacuated(s) {
			l.LargestEvacuated = l.LargestEvacuated.Max(f.Capacity)
		}
		if ok && !f.Closed {
			l.LargestFree = l.LargestFree.Max(f.Capacity.Sub(f.Used))
			l.LargestCapacity = l.LargestCapacity.Max(f.Capacity)
		}
	}
	used := o.usedByTeam()
	queued := make(map[string]int)
	for _, p := range o.placements {
		if p.state == waiting {
			queued[p.req.Team]++
		}
	}
	for team, r := range used {
		l.Teams = append(l.Teams, ibispeer.TeamUse{Team: team, Used: r, Queued: queued[team]})
		delete(queued, team)
	}
	for team, n := range queued {
		l.Teams = append(l.Teams, ibispeer.TeamUse{Team: team, Queued: n})
	}
	o.load.Store(l)
}

// usedByTeam sums the counted resources of tasks by team.
func (o *Owner) usedByTeam() map[string]ibiswork.Resources {
	used := make(map[string]ibiswork.Resources)
	for _, t := range o.tasks {
		if t.counted {
			used[t.meta.Team] = used[t.meta.Team].Add(t.size)
		}
	}
	return used
}

// SetShares passes to the queue the current weight of each team, the teams' use in the whole fleet (used),
// the capacity of the whole fleet (total) and the number of owners.
func (o *Owner) SetShares(ctx context.Context, snap *ibisconfig.Snapshot, used map[string]ibiswork.Resources, total ibiswork.Resources, owners int) error {
	return o.loop.Do(ctx, func() {
		own := o.usedByTeam()
		for name, t := range snap.Teams {
			o.queue.SetTeam(name, t.Share, used[name])
			o.queue.SetLocalUsage(name, own[name], owners)
		}
		o.queue.SetCapacity(total)
		o.fleetUsed = used
	})
}

// RaiseEpoch records the epoch of a shard's holder. Requests that a stale holder has queued or reserved are
// dropped.
func (o *Owner) RaiseEpoch(ctx context.Context, shard int, epoch int64) error {
	return o.loop.Do(ctx, func() { o.raiseEpoch(shard, epoch) })
}

func (o *Owner) raiseEpoch(shard int, epoch int64) {
	if shard < 0 || shard >= len(o.shardEpochs) || o.shardEpochs[shard] >= epoch {
		return
	}
	o.shardEpochs[shard] = epoch
	for _, p := range o.placements {
		if p.from.Shard == shard && p.from.Epoch < epoch && p.state != starting {
			o.dropPlacement(p, ibiswork.Refuse(ibiswork.CodeStale, "the shard has a holder with a higher epoch"))
		}
	}
}

// validateHolder refuses calls from a stale holder and records a higher epoch.
func (o *Owner) validateHolder(h ibiswire.Holder) error {
	if h.Shard < 0 || h.Shard >= len(o.shardEpochs) {
		return ibiswork.Refuse(ibiswork.CodeBadRequest, "shard %d is outside 0 to %d", h.Shard, len(o.shardEpochs)-1)
	}
	if h.Epoch < o.shardEpochs[h.Shard] {
		return ibiswork.Refuse(ibiswork.CodeStale, "shard %d has a holder with epoch %d, the call has epoch %d", h.Shard, o.shardEpochs[h.Shard], h.Epoch)
	}
	o.raiseEpoch(h.Shard, h.Epoch)
	return nil
}
