// Package ibisnode is a daemon that serves a cell of backend servers on a platform without disks: every
// daemon takes callers' requests, one of them leads the cell, and any of them takes over from it.
//
// What lasts lies in the platform's table. The leader's row is in the same part as the cell's journal, and
// every commit is conditional on it, so that a former leader can write nothing; the row's epoch is the
// fencing token of all orders to backend servers. Links between daemons only decide who tries to lead.
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
	"ibiscrank/ibisrpc"
)

// The cell's rows in the table.
const (
	cellPart    = "cell-0"
	tableLeader = "Leader"
	leaderKey   = "Leader"
)

// Settings of a daemon.
type Settings struct {
	Name     string
	Address  string  // for links of other daemons, IP and port
	Listen   string  // where links come in, when that is not Address
	FirstRun bool    // the whole system starts for the first time
	Power    float64 // work that this VM does in a second, in cores
	RevokeMS int64   // a withdrawn key must not work for longer
	Cell     ibiscell.Settings
}

// Ports are what a daemon meets the platform through.
type Ports struct {
	Table     Table
	Directory Directory
	Servers   BackendServers
	Advisor   Advisor // nil where no queue has a policy
	Clock     Clock
	Log       log.Interface
	Registry  metrics.Registry
}

// Node is one daemon.
type Node struct {
	set       Settings
	table     Table
	directory Directory
	servers   BackendServers
	advisor   Advisor
	clock     Clock
	log       log.Interface
	registry  metrics.Registry
	advising  sync.Mutex
	startedMS int64 // Unix time
	latency   latency

	mu       sync.Mutex
	cfg      *ibisjob.Config
	keys     map[string]string // team by key
	vouchAt  ibiscell.Time     // when the read began that last confirmed cfg
	leader   *term
	follower *follower
	changed  chan struct{} // closed when leader or follower changes
	lostAt   ibiscell.Time // since when there is neither
	away     map[string]bool
	draining bool
	members  []member  // all daemons, as the last leader has named them
	known    leaderRow // the newest leader that this daemon has heard of

	vacatedAt ibiscell.Time // when this daemon last gave up the lead; owned by seek
	slowAt    atomic.Int64  // when a read of the table was last slow, or 0
}

// New makes a daemon that does nothing before Start.
func New(set Settings, p Ports) *Node {
	return &Node{
		set: set, table: p.Table, directory: p.Directory, servers: p.Servers, advisor: p.Advisor, clock: p.Clock,
		log: p.Log, registry: p.Registry, changed: make(chan struct{}), away: make(map[string]bool),
		vouchAt: neverVouched, lostAt: p.Clock.Now(), startedMS: p.Clock.UnixMS(),
	}
}

// neverVouched is so long ago that nothing read then counts as fresh.
const neverVouched = ibiscell.Time(-1 << 40)

// Start listens for links and joins the cell. The result leaves it again: a leader hands over first.
func (n *Node) Start() (stop func(), err error) {
	l, err := net.Listen("tcp", cmp.Or(n.set.Listen, n.set.Address))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	srv := ibisrpc.NewLinkServer(n.serveLink)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { n.serve(srv, l) })
	wg.Go(func() { n.seek(ctx) })
	wg.Go(func() { n.keepConfig(ctx) })
	return func() {
		cancel()
		srv.Stop()
		wg.Wait()
	}, nil
}

func (n *Node) serve(srv *grpc.Server, l net.Listener) {
	if err := srv.Serve(l); err != nil {
		n.log.WithError(err).Error("LinkServerEnded")
	}
}

func (n *Node) leading() *term {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader
}

func (n *Node) setLeader(t *term) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leader = t
	n.routeChanged()
}

func (n *Node) setFollower(f *follower) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.follower = f
	n.routeChanged()
}

func (n *Node) routeChanged() {
	if n.leader == nil && n.follower == nil {
		n.lostAt = n.clock.Now()
	}
	close(n.changed)
	n.changed = make(chan struct{})
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

// lost notes that something this daemon depends on does not answer; only the first failure is logged.
func (n *Node) lost(what string, err error) {
	n.mu.Lock()
	first := !n.away[what]
	n.away[what] = true
	n.mu.Unlock()
	if first {
		n.log.WithField("What", what).WithError(err).Warn("DependencyLost")
	}
}

func (n *Node) regained(what string) {
	n.mu.Lock()
	was := n.away[what]
	delete(n.away, what)
	n.mu.Unlock()
	if was {
		n.log.WithField("What", what).Info("DependencyBack")
	}
}
