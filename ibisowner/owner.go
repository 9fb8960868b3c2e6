// Package ibisowner owns backend servers: it claims them, queues and places requests on them, starts
// tasks, renews their leases and reports their ends to the holders of request shards.
//
// One goroutine, the loop, owns the queue, the fleet and all tasks. For every server one goroutine polls
// and one renews; the calls of holders run on goroutines of their own.
//
// Usage:
//
//	o, stop := ibisowner.New(cfg)
//	defer stop()
//	o.SetServers(ctx, vms)
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
	"ibiscrank/ibisloop"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisplace"
	"ibiscrank/ibisqueue"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("owner")

// Times and bounds of an owner.
const (
	StartWindow   = 2 * time.Second  // from a clock reading to the latest start
	ReserveFor    = 10 * time.Second // a reservation whose start has not come
	startTimeout  = 1500 * time.Millisecond
	startTries    = 3
	closedFor     = 2 * time.Minute
	tickInterval  = 100 * time.Millisecond
	loopQueue     = 4096
	OrphanRenewal = 60 * time.Second // an owner without any news renews no longer than this
)

// Pauses between rounds of the queue.
const (
	roundPause    = 5 * time.Millisecond
	roundPauseMax = 100 * time.Millisecond
	roundCost     = 4 // times the last round's duration, so that rounds take a fifth of the loop at most
)

// Ledger holds this daemon's allotments of the teams' upper limits.
type Ledger interface {
	TryUse(team string, r ibiswork.Resources) bool
	Use(team string, r ibiswork.Resources)
	Free(team string, r ibiswork.Resources)
	Want(team string, r ibiswork.Resources)
	// Lose frees the use of a task that goes on under another owner; it may not be used again here.
	Lose(team string, r ibiswork.Resources)
}

// Directory tells who holds a shard.
type Directory interface {
	Holder(shard int) (h ibiswire.Holder, address string, ok bool)
}

// Config is what New needs.
type Config struct {
	Self      string // incarnation
	Lease     time.Duration
	Shards    int
	Dial      func(address string) (ibisserver.Server, func())
	Pool      *ibisrpc.Pool
	Ledger    Ledger
	Directory Directory
	Snapshot  func() *ibisconfig.Snapshot
	HasNews   func(time.Time) bool
	Metrics   metrics.Registry
}

// Owner owns some backend servers.
type Owner struct {
	cfg    Config
	loop   *ibisloop.Loop
	ctx    context.Context
	wg     sync.WaitGroup
	load   atomic.Pointer[ibispeer.Load]
	newsAt atomic.Int64 // Unix nanoseconds of the last time HasNews held

	// Owned by loop.
	fleet    ibisplace.Fleet
	queue    ibisqueue.Queue
	guard    ibisaside.Guard
	sizes    ibisestimate.Estimator
	services ibisplace.Services
	servers  map[string]*server
	items    map[ibiswork.ID]*item
	tasks    map[ibisserver.TaskID]*task
	closed   map[ibiswork.ID]closedAttempt
	epochs   []int64 // highest known of each shard
	outbox   map[ibisserver.TaskID]*outgoing
	moved    map[ibiswork.ID]time.Time // requests with a task that another owner reports, and until when to remember
	draining bool

	blocked     map[string]blocked // by team
	again       []*item            // partial items to be queued again after the round
	inRound     bool               // the queue is being offered
	stale       []ibiswork.ID      // dropped during the round, to be taken out of the queue after it
	preemptedAt time.Time
	limitedAt   time.Time
	fleetUsed   map[string]ibiswork.Resources // by team, from digests

	started   metrics.Meter
	wake      chan struct{}
	roundWake chan struct{}
}

type closedAttempt struct {
	attempt int
	until   time.Time
}

// New starts an owner without servers; the second result ends its goroutines and leaves the tasks
// running under their leases.
func New(cfg Config) (*Owner, func()) {
	loop, stopLoop := ibisloop.New(loopQueue)
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	o := &Owner{
		cfg: cfg, loop: loop, ctx: ctx,
		servers: make(map[string]*server), items: make(map[ibiswork.ID]*item),
		tasks: make(map[ibisserver.TaskID]*task), closed: make(map[ibiswork.ID]closedAttempt), blocked: make(map[string]blocked),
		epochs: make([]int64, cfg.Shards), outbox: make(map[ibisserver.TaskID]*outgoing), moved: make(map[ibiswork.ID]time.Time),
		wake: make(chan struct{}, 1), roundWake: make(chan struct{}, 1), started: metrics.NewRegisteredMeter("TasksStarted", cfg.Metrics),
	}
	o.load.Store(&ibispeer.Load{})
	o.newsAt.Store(time.Now().UnixNano())
	o.wg.Add(3)
	go o.ticks()
	go o.rounds()
	go o.reports()
	return o, func() {
		cancel()
		o.wg.Wait()
		stopLoop()
	}
}

// Load is a short account of the owned servers, at most one tick old.
func (o *Owner) Load() ibispeer.Load { return *o.load.Load() }

// Drain stops the owner from taking new requests; those that are queued are given back.
func (o *Owner) Drain(ctx context.Context) error {
	return o.loop.Do(ctx, func() {
		o.draining = true
		for _, it := range o.items {
			if it.state == waiting {
				o.dropItem(it, ibiswork.Refuse(ibiswork.CodeDraining, "the owner is draining"))
			}
		}
	})
}

func (o *Owner) ticks() {
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

// tick drops what has run out of time, looks for lapsed servers, and publishes the load.
func (o *Owner) tick(now time.Time) {
	if o.cfg.HasNews(now) {
		o.newsAt.Store(now.UnixNano())
	}
	for _, q := range o.queue.Expired(now) {
		if it := o.items[q.ID]; it != nil {
			o.dropItem(it, ibiswork.Refuse(ibiswork.CodeDeadline, "the deadline passed before there was a place"))
		}
	}
	for _, it := range o.items {
		if it.state == waiting && !o.fleet.EverFits(it.req.Resources) {
			o.dropItem(it, ibiswork.Refuse(ibiswork.CodeOverloaded, "no backend server of this owner is large enough any more"))
			continue
		}
		if (it.state == reserved || (it.partial && it.state == waiting)) && now.After(it.keepUntil) {
			o.dropItem(it, nil)
		}
	}
	for id, c := range o.closed {
		if now.After(c.until) {
			delete(o.closed, id)
		}
	}
	for id, until := range o.moved {
		if now.After(until) {
			delete(o.moved, id)
		}
	}
	for _, s := range o.servers {
		o.checkLapse(s, now)
		o.flushForgets(s)
	}
	o.refreshClosed(now)
	o.round(now)
	o.preempt(now)
	o.curbOveruse()
	o.enforceLimits(now)
	o.publishLoad()
}

// publishLoad makes the account that peers are sent.
func (o *Owner) publishLoad() {
	l := &ibispeer.Load{Capacity: o.fleet.Capacity(), Used: o.fleet.Used(), Queued: o.queue.Len()}
	for name, s := range o.servers {
		if !s.claimed {
			continue
		}
		l.Servers++
		if f, ok := o.fleet.Server(name); ok && !f.Closed {
			l.Largest = l.Largest.Max(f.Capacity.Sub(f.Used))
			l.Biggest = l.Biggest.Max(f.Capacity)
		}
	}
	used := o.usedByTeam()
	queued := make(map[string]int)
	for _, it := range o.items {
		if it.state == waiting {
			queued[it.req.Team]++
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

// usedByTeam adds up what the counted tasks take.
func (o *Owner) usedByTeam() map[string]ibiswork.Resources {
	used := make(map[string]ibiswork.Resources)
	for _, t := range o.tasks {
		if t.counted {
			used[t.meta.Team] = used[t.meta.Team].Add(t.size)
		}
	}
	return used
}

// SetShares gives the queue the shares in force and the use of each team in the whole fleet.
func (o *Owner) SetShares(ctx context.Context, snap *ibisconfig.Snapshot, used map[string]ibiswork.Resources, total ibiswork.Resources, owners int) error {
	return o.loop.Do(ctx, func() {
		own := o.usedByTeam()
		for name, t := range snap.Teams {
			o.queue.SetTeam(name, t.Share, used[name])
			o.queue.SetLocal(name, own[name], owners)
		}
		o.queue.SetCapacity(total)
		o.fleetUsed = used
	})
}

// RaiseEpoch records that a shard has a holder with this epoch; what an earlier holder has queued is
// dropped.
func (o *Owner) RaiseEpoch(ctx context.Context, shard int, epoch int64) error {
	return o.loop.Do(ctx, func() { o.raiseEpoch(shard, epoch) })
}

func (o *Owner) raiseEpoch(shard int, epoch int64) {
	if shard < 0 || shard >= len(o.epochs) || o.epochs[shard] >= epoch {
		return
	}
	o.epochs[shard] = epoch
	for _, it := range o.items {
		if it.from.Shard == shard && it.from.Epoch < epoch && it.state != starting {
			o.dropItem(it, ibiswork.Refuse(ibiswork.CodeStale, "the shard has a newer holder"))
		}
	}
}

// checkHolder refuses a message of a holder that has been replaced.
func (o *Owner) checkHolder(h ibiswire.Holder) error {
	if h.Shard < 0 || h.Shard >= len(o.epochs) {
		return ibiswork.Refuse(ibiswork.CodeBadRequest, "shard %d is outside 0 to %d", h.Shard, len(o.epochs)-1)
	}
	if h.Epoch < o.epochs[h.Shard] {
		return ibiswork.Refuse(ibiswork.CodeStale, "shard %d has a holder with epoch %d, above %d", h.Shard, o.epochs[h.Shard], h.Epoch)
	}
	o.raiseEpoch(h.Shard, h.Epoch)
	return nil
}
