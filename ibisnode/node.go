// Package ibisnode implements a daemon that schedules work on a cell of backend servers, on a platform
// without disks. Every daemon accepts callers' requests, one of them leads the cell, and any other can
// replace it. Package platform runs it and implements its ports.
//
// With many backend servers, the leader has other daemons make its calls to them (relays) and read the list of
// servers and the configuration (a scout). Neither decides anything.
//
// All durable state is in the platform's table. The leader row is in the same partition as the cell's journal
// and every commit is conditional on it, so that a stale leader can't write anything. The epoch in the row is
// the fencing token of all orders to backend servers. Safety rests on the table alone: the links between
// daemons carry requests and heartbeats, and only decide which daemon tries to acquire leadership.
//
// Usage:
//
//	n := ibisnode.New(ibisnode.Settings{Name: "edge-1", Address: "10.1.0.17:7420"}, ibisnode.Ports{...})
//	stop, err := n.Start()
//	if err != nil {
//		return err
//	}
//	defer stop()
//	out := n.Call(ctx, ibisnode.Request{Kind: ibisnode.Submit, ID: job.ID, Job: &job})
package ibisnode

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
	"ibiscrank/ibislimit"
	"ibiscrank/ibisrpc"
)

// Where the leader row is stored: partition, table and key.
const (
	cellPartition = "cell-0"
	tableLeader   = "Leader"
	leaderKey     = "Leader"
)

// Settings configures a daemon.
type Settings struct {
	Name      string
	Address   string  // IP and port at which other daemons reach this one
	Listen    string  // IP and port to listen on, if it differs from Address
	FirstRun  bool    // the system starts for the first time: an empty table means that there is no leader to wait for
	Power     float64 // CPU work that this VM does per second, in cores
	LinkSpeed float64 // of this VM's link, in bytes per second; 0: unknown, taken for slow
	RevokeMS  int64   // time in milliseconds within which a withdrawn key must stop working
	Cell      ibiscell.Settings

	ConfigApplyMS int64 // time in milliseconds within which a change of the configuration must be in force; 0: no bound

	FailureDomain string // of this daemon's VM
	MaxNewLinks   int    // connections for links that have not said yet which daemon has opened them; 0: no limit
	DirectServers int    // backend servers that a leader calls itself; with more, relays make the calls; 0: 64
}

// Ports are a daemon's connections to the platform.
type Ports struct {
	Table     Table
	Directory Directory
	Servers   BackendServers
	Advisor   Advisor // may be nil if no queue requires advice
	Clock     Clock
	Log       log.Interface
	Registry  metrics.Registry
}

// Node is one daemon. It leads the cell, follows the leader over a link, or looks for one.
type Node struct {
	settings  Settings
	table     Table
	directory Directory
	servers   BackendServers
	advisor   Advisor
	clock     Clock
	log       log.Interface
	registry  metrics.Registry
	adviceMu  sync.Mutex // held during a call to the advice service
	startedMS int64      // Unix time of New
	latency   latency
	heap      heapGuard

	mu                sync.Mutex
	cfg               *ibisjob.Config
	keys              map[string]string // team by key
	configConfirmedAt ibiscell.Time     // when cfg was last known to be the newest
	configReadAt      ibiscell.Time     // when the read that showed this began; later by the lag of Directory.Config
	configHeardAt     ibiscell.Time     // when configConfirmedAt last rose
	earlierConfigs    []*ibisjob.Config // replaced ones, the latest last
	ownTerm           *term             // nil unless this daemon leads
	follower          *follower         // nil unless this daemon is linked to a leader
	routeChanged      chan struct{}     // closed and replaced when ownTerm or follower changes
	noLeaderSince     ibiscell.Time     // when both ownTerm and follower last became nil
	unavailable       map[string]bool   // dependencies that failed last, by name
	draining          bool              // TransferLeadership was called
	members           []member          // all daemons, as last named by a leader
	latestLeader      leaderRow         // the leader with the highest known epoch
	leaderChanges     []ibiscell.Time   // when latestLeader has changed within replaceWindow

	// Owned by followOrLead.
	steppedDownAt    ibiscell.Time // when this daemon last gave up leadership
	recoveringSeenAt ibiscell.Time // when a leader last said that it reads the journal; 0: never

	configPartAt  atomic.Int64 // when the last part of a configuration arrived, on the node's clock; 0: never
	refusedConfig atomic.Int64 // newest version of which this daemon couldn't use a change
	configReads   atomic.Int32 // reads of the configuration that are under way

	recovering    atomic.Bool  // this daemon has acquired leadership and reads the journal
	slowReadAt    atomic.Int64 // when a read of the table was last slow, on the node's clock; 0: never
	tableFailedAt atomic.Int64 // when a read of the table by shouldReplace last failed, on the node's clock; 0: never
}

// New makes a daemon that does nothing before Start.
func New(settings Settings, p Ports) *Node {
	settings.DirectServers = cmp.Or(settings.DirectServers, defaultDirectServers)
	return &Node{
		settings: settings, table: p.Table, directory: p.Directory, servers: p.Servers, advisor: p.Advisor, clock: p.Clock,
		log: p.Log, registry: p.Registry, routeChanged: make(chan struct{}), unavailable: make(map[string]bool),
		configConfirmedAt: neverConfirmed, configReadAt: neverConfirmed, configHeardAt: neverConfirmed, noLeaderSince: p.Clock.Now(), startedMS: p.Clock.UnixMS(),
	}
}

// neverConfirmed is a time so long ago that a configuration confirmed then is too old.
const neverConfirmed = ibiscell.Time(-1 << 40)

// Start listens for links and joins the cell. The clean-up stops the daemon without a transfer of
// leadership: call TransferLeadership before it.
func (n *Node) Start() (stop func(), err error) {
	l, err := net.Listen("tcp", cmp.Or(n.settings.Listen, n.settings.Address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	limited := n.limitLinks(l)
	srv := ibisrpc.NewLinkServer(n.registry, func(ctx context.Context, s ibisrpc.Stream[frame]) error { return n.serveLink(ctx, s, limited) })
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { n.runLinkServer(srv, limited) })
	wg.Go(func() { n.followOrLead(ctx) })
	wg.Go(func() { n.readConfigWithoutLeader(ctx) })
	return func() {
		cancel()
		srv.Stop()
		wg.Wait()
	}, nil
}

// limitLinks bounds what connections to l hold before a daemon has said hello on them.
func (n *Node) limitLinks(l net.Listener) *ibislimit.Listener {
	timeout := func() time.Duration { return helloTimeout }
	return ibislimit.NewListener(l, ibislimit.Options{
		MaxUnused: n.settings.MaxNewLinks, MaxEarlyBytes: maxHelloBytes, HeaderTimeout: timeout, IdleTimeout: timeout, AckTimeout: ibisrpc.AckTimeout,
		Recorder: ibislimit.NewRecorder(n.log, n.registry),
	})
}

// runLinkServer accepts links of other daemons until srv is stopped.
func (n *Node) runLinkServer(srv *grpc.Server, l net.Listener) {
	if err := srv.Serve(l); err != nil {
		n.log.WithError(err).Error("LinkServerEnded")
	}
}

// currentTerm returns the term of this daemon, or nil when it doesn't lead.
func (n *Node) currentTerm() *term {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownTerm
}

func (n *Node) setTerm(t *term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownTerm = t
	n.notifyRouteChange()
}

func (n *Node) setFollower(f *follower) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.follower = f
	n.notifyRouteChange()
}

// notifyRouteChange wakes the calls that wait for a change of the leader. The caller holds n.mu.
func (n *Node) notifyRouteChange() {
	if n.ownTerm == nil && n.follower == nil {
		n.noLeaderSince = n.clock.Now()
	}
	close(n.routeChanged)
	n.routeChanged = make(chan struct{})
}

// sleep waits for d; it reports false when ctx has ended.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (n *Node) gauge(name string, v int) {
	metrics.GetOrRegisterGauge(name, n.registry).Update(int64(v))
}

// dependencyLost records that something this daemon depends on has failed. Only the first failure in a row is
// logged.
func (n *Node) dependencyLost(name string, err error) {
	n.mu.Lock()
	first := !n.unavailable[name]
	n.unavailable[name] = true
	n.mu.Unlock()
	if first {
		n.log.WithField("What", name).WithError(err).Warn("DependencyLost")
	}
}

// dependencyBack records a success and logs it after failures.
func (n *Node) dependencyBack(name string) {
	n.mu.Lock()
	wasUnavailable := n.unavailable[name]
	delete(n.unavailable, name)
	n.mu.Unlock()
	if wasUnavailable {
		n.log.WithField("What", name).Info("DependencyBack")
	}
}
