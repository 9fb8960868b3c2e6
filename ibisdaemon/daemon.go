// Package ibisdaemon assembles the daemon that runs on every entry VM, a VM that accepts requests of callers:
// it connects the HTTP interfaces, the holder of request shards, the owner of backend servers and the
// exchange with peers. Command ibiscrank runs it. Package ibisnode implements the other daemon, which schedules
// the jobs of a cell.
//
// Usage:
//
//	settings, err := ibissettings.Load("daemon.json")
//	err = ibisdaemon.Run(ctx, settings)
package ibisdaemon

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"
	"go.uber.org/fx"

	"ibiscrank/ibisallot"
	"ibiscrank/ibisburn"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibisholder"
	"ibiscrank/ibishttp"
	"ibiscrank/ibisincarnation"
	"ibiscrank/ibisjournal"
	"ibiscrank/ibisowner"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisroute"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibissettings"
	"ibiscrank/ibistable"
	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("daemon")

// Timeouts and intervals of starting, stopping and table calls.
const (
	registerRetry = 500 * time.Millisecond
	tableTimeout  = 3 * time.Second
	startTimeout  = 24 * time.Hour // in effect unlimited: a daemon waits until the table service is reachable
	stopMargin    = 10 * time.Second
)

// Run runs the daemon until ctx ends, then drains it. When the other daemons find it unresponsive and revoke
// its incarnation, it starts again as a new incarnation.
func Run(ctx context.Context, s ibissettings.Settings) error {
	for ctx.Err() == nil {
		revoked := make(chan struct{}, 1)
		if err := runOnce(ctx, s, revoked); err != nil {
			return err
		}
	}
	return nil
}

// runOnce runs one incarnation until ctx ends or the incarnation is revoked.
func runOnce(ctx context.Context, s ibissettings.Settings, revoked chan struct{}) error {
	lifecycle := newStateMachine()
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(time.Duration(s.DrainMS)*time.Millisecond+stopMargin),
		fx.Supply(s, lifecycle, revokedChan(revoked), runContext{ctx}),
		fx.Provide(
			metrics.NewRegistry, newTable, newVMList, newPool, newIncarnation, newConfig, newJournal, newLedger,
			newBurn, newDaemonCount, newNode, newFrontend,
		),
		fx.Invoke(func(*frontend) {}),
	)
	if err := app.Err(); err != nil {
		if ctx.Err() != nil {
			return nil // stopped before the table service could be reached
		}
		return Error.Wrap(err)
	}
	startCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return Error.Wrap(err)
	}
	select {
	case <-ctx.Done():
	case <-revoked:
		lifecycle.fire("Revoke")
	}
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	return Error.Wrap(app.Stop(stopCtx))
}

// runContext ends when the daemon is asked to stop.
type runContext struct{ context.Context }

// revokedChan receives a value when the incarnation has been revoked.
type revokedChan chan struct{}

// onStop makes the application call clean, the clean-up function of a constructor, when it stops.
func onStop(lc fx.Lifecycle, clean func()) {
	lc.Append(fx.Hook{OnStop: func(context.Context) error { clean(); return nil }})
}

func newTable(s ibissettings.Settings, r metrics.Registry) (ibistable.Table, ibistable.Objects) {
	c := ibistable.NewClient(s.Table, nil, ibishttp.WithMeter(ibishttp.NewMeter("Table", r)))
	return c, c.Objects()
}

func newVMList(lc fx.Lifecycle, s ibissettings.Settings) ibisserver.VMList {
	c, stop := ibisserver.NewVMClient(s.VMList)
	onStop(lc, stop)
	return c
}

func newPool(lc fx.Lifecycle, r metrics.Registry) *ibisrpc.Pool {
	p, stop := ibisrpc.NewPool(r)
	onStop(lc, stop)
	return p
}

// newIncarnation registers this incarnation of the daemon and retries until the table service is reachable.
func newIncarnation(run runContext, s ibissettings.Settings, lifecycle *stateMachine, t ibistable.Table, revoked revokedChan) (*ibisincarnation.Incarnation, error) {
	row := ibisincarnation.Row{
		ID: uuid.Must(uuid.NewV7()).String(), Address: s.Advertise, HTTPAddress: s.AdvertiseHTTP,
		FailureDomain: s.FailureDomain, Region: s.Region, StartedAt: time.Now(), State: ibisincarnation.Live,
	}
	for {
		ctx, cancel := context.WithTimeout(run, tableTimeout)
		inc, err := ibisincarnation.Register(ctx, t, row)
		cancel()
		if err == nil {
			log.WithFields(log.Fields{"incarnation": row.ID, "address": row.Address}).Info("IncarnationRegistered")
			lifecycle.fire("Register")
			return inc, nil
		}
		log.WithField("error", err).Warn("IncarnationNotRegistered")
		select {
		case <-run.Done():
			return nil, Error.Wrap(run.Err())
		case <-time.After(registerRetry):
		}
	}
}

func newConfig(s ibissettings.Settings, t ibistable.Table) *ibisconfig.Store {
	return ibisconfig.NewStore(t).WithBootstrap(ibisconfig.KeyHash(s.OperatorKeyHash))
}

// newJournal opens the journal. The commit interval grows with the number of daemons, so that all daemons
// together stay below StoreWritesPerSecond.
func newJournal(lc fx.Lifecycle, s ibissettings.Settings, t ibistable.Table, inc *ibisincarnation.Incarnation, count *daemonCount) *ibisjournal.Journal {
	interval := func() time.Duration {
		minInterval := time.Duration(s.CommitMS) * time.Millisecond
		return max(minInterval, time.Duration(count.get())*time.Second/time.Duration(s.StoreWritesPerSecond))
	}
	j, stop := ibisjournal.Open(t, inc.Fence(), inc.ID(), ibisjournal.WithInterval(interval))
	onStop(lc, stop)
	return j
}

func newLedger(t ibistable.Table, inc *ibisincarnation.Incarnation) *ibisallot.Ledger {
	return ibisallot.NewLedger(t, inc.Fence(), inc.ID())
}

func newBurn() *ibisburn.Recorder { return new(ibisburn.Recorder) }

// node is the daemon apart from its listeners: its connections, its state and its loops.
type node struct {
	settings   ibissettings.Settings
	lifecycle  *stateMachine
	table      ibistable.Table
	objects    ibistable.Objects
	vmlist     ibisserver.VMList
	pool       *ibisrpc.Pool
	inc        *ibisincarnation.Incarnation
	config     *ibisconfig.Store
	journal    *ibisjournal.Journal
	ledger     *ibisallot.Ledger
	burn       *ibisburn.Recorder
	registry   metrics.Registry
	peers      *ibispeer.Peers
	owner      *ibisowner.Owner
	holder     *ibisholder.Holder
	router     *ibisroute.Router
	configRead *configReadTime
	vms        *vmTracker
	wakeSync   chan struct{} // wakes syncAllotments before its next interval

	revocations revocations
}

// nodeParams lists the dependencies of newNode.
type nodeParams struct {
	fx.In
	Settings  ibissettings.Settings
	Lifecycle *stateMachine
	Table     ibistable.Table
	Objects   ibistable.Objects
	VMList    ibisserver.VMList
	Pool      *ibisrpc.Pool
	Inc       *ibisincarnation.Incarnation
	Config    *ibisconfig.Store
	Journal   *ibisjournal.Journal
	Ledger    *ibisallot.Ledger
	Burn      *ibisburn.Recorder
	Registry  metrics.Registry
	Revoked   revokedChan
	Count     *daemonCount
}

func newNode(lc fx.Lifecycle, p nodeParams) *node {
	n := &node{
		settings: p.Settings, lifecycle: p.Lifecycle, table: p.Table, objects: p.Objects, vmlist: p.VMList, pool: p.Pool, inc: p.Inc, config: p.Config,
		journal: p.Journal, ledger: p.Ledger, burn: p.Burn, registry: p.Registry,
		configRead: new(configReadTime), vms: new(vmTracker), wakeSync: make(chan struct{}, 1),
	}
	n.startHolder(lc)
	n.startOwner(lc)
	n.startPeers(lc, p.Revoked)
	p.Count.peers.Store(n.peers)
	n.router = ibisroute.New(ibisroute.Config{Self: n.inc.ID(), Shards: n.settings.Shards, Local: n.holder, Pool: n.pool, View: n.view})
	n.startLoops(lc)
	return n
}

// view returns this daemon's view of all daemons. It has no members until the heartbeats have started.
func (n *node) view() *ibispeer.View {
	if n.peers == nil {
		return &ibispeer.View{Self: n.inc.ID(), Revoked: map[string]bool{}}
	}
	return n.peers.View()
}

// hasContact reports whether this daemon has recently had contact with the table service or with half of the
// daemons.
func (n *node) hasContact(now time.Time) bool { return n.peers != nil && n.peers.HasContact(now) }

func (n *node) startHolder(lc fx.Lifecycle) {
	h, stop := ibisholder.New(ibisholder.Config{
		Self: n.inc.ID(), Shards: n.settings.Shards, Table: n.table, Fence: n.inc.Fence(), Journal: n.journal, Objects: n.objects, Pool: n.pool,
		View: n.view, Snapshot: n.config.Snapshot, VMs: n.vms.list,
		DuplicateWindow: time.Duration(n.settings.DuplicateWindowMS) * time.Millisecond, MaxInProgress: n.settings.MaxQueued,
		Metrics: n.registry, RequestEnded: n.recordOutcome, ShardAcquired: n.raiseEpoch,
	})
	n.holder = h
	onStop(lc, stop)
}

func (n *node) startOwner(lc fx.Lifecycle) {
	meter := ibishttp.WithMeter(ibishttp.NewMeter("Servers", n.registry))
	o, stop := ibisowner.New(ibisowner.Config{
		Self: n.inc.ID(), Lease: time.Duration(n.settings.LeaseMS) * time.Millisecond, Shards: n.settings.Shards,
		Dial: func(addr string) (ibisserver.Server, func()) { return ibisserver.NewClient(addr, meter) },
		Pool: n.pool, Ledger: wakingLedger{n.ledger, n.wakeSync}, Directory: n.holder, Snapshot: n.config.Snapshot,
		HasContact: n.hasContact, Metrics: n.registry,
	})
	n.owner = o
	onStop(lc, stop)
}

func (n *node) startPeers(lc fx.Lifecycle, revoked revokedChan) {
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	row := ibisincarnation.Row{
		ID: n.inc.ID(), Address: n.settings.Advertise, HTTPAddress: n.settings.AdvertiseHTTP,
		FailureDomain: n.settings.FailureDomain, Region: n.settings.Region, State: ibisincarnation.Live,
	}
	p, stop := ibispeer.Start(ibispeer.Config{
		Self: row, Table: n.table, Fence: n.inc.Fence(), Pool: n.pool, Seeds: n.settings.Peers,
		Heartbeat: ms(n.settings.HeartbeatMS), RevokeAfter: ms(n.settings.RevokeAfterMS), CutOff: ms(n.settings.CutOffMS),
	}, ibispeer.Hooks{
		State: n.lifecycle.State, Load: n.owner.Load, ConfigVersion: func() int64 { return n.config.Snapshot().Version },
		Denied: n.config.Denied, HeartbeatReceived: n.onHeartbeat, MembersChanged: n.onMembershipChange, ConfigReadAt: n.configRead.last,
		Revoked: func() {
			select {
			case revoked <- struct{}{}:
			default:
			}
		},
	})
	n.peers = p
	onStop(lc, stop)
}

// recordOutcome counts an ended request for the burn report.
func (n *node) recordOutcome(r ibiswork.Request, waited time.Duration, ok bool) {
	if team, known := n.config.Snapshot().Teams[r.Team]; known {
		n.burn.Observe(time.Now(), team, r.Class, waited, ok)
	}
}

// raiseEpoch tells this daemon's owner the epoch of a shard that some daemon has acquired, so that the owner
// refuses calls of previous holders.
func (n *node) raiseEpoch(shard int, epoch int64) {
	if n.owner == nil {
		return
	}
	if err := n.owner.RaiseEpoch(context.Background(), shard, epoch); err != nil {
		log.WithField("error", err).Debug("EpochNotRaised")
	}
}
