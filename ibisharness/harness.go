// Package ibisharness starts real daemons and stand-ins as separate processes for integration tests and
// brings faults about: kills, pauses, cut, delayed and silent connections, faults of the platform.
//
// Every process ends with its test. The logs of the daemons are shown when the test fails, and are kept
// in the directory that IBISCRANK_LOGS names when it is set.
//
// Usage:
//
//	c := ibisharness.New(t, ibisharness.Options{Daemons: 3, Servers: 6})
//	key := c.Team(ibisconfig.Team{Name: "tuul-floor", Share: 1, UpperLimit: ibisharness.NoLimit})
//	caller := c.Caller(key)
//	st, err := caller.Do(ctx, request, 0)
//	c.Daemons[0].Kill()
//	history := c.Platform.History()
package ibisharness

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"

	"ibiscrank/ibissettings"
	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("harness")

// NoLimit is an upper limit that no test reaches.
var NoLimit = ibiswork.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40, Slots: 1 << 40}

// OperatorKey is the key of the first operator of every cluster.
const OperatorKey = "harness-operator-key"

// ReadyWithin bounds the start of a daemon.
const ReadyWithin = 20 * time.Second

// Options says what New starts. The zero value starts three daemons and six servers without proxies.
type Options struct {
	Daemons  int
	Servers  int
	Capacity ibiswork.Resources // of each server; 4 slots, 4 cores and 4 GiB when zero
	VMLagMS  int64
	// Proxies puts each daemon's links behind proxies: Daemon.TableLink, Daemon.PeerLink, Daemon.ServerLinks.
	Proxies bool
	// Settings changes the settings of the daemon with this index before it is started.
	Settings func(i int, s *ibissettings.Settings)
}

func (o Options) withDefaults() Options {
	if o.Daemons == 0 {
		o.Daemons = 3
	}
	if o.Servers == 0 {
		o.Servers = 6
	}
	if o.Capacity.IsZero() {
		o.Capacity = ibiswork.Resources{MilliCPU: 4000, MemoryMB: 4096, Slots: 4}
	}
	return o
}

// Cluster is the daemons and the platform of one test.
type Cluster struct {
	t        testing.TB
	opt      Options
	bin      string
	dir      string
	Platform *Platform
	Daemons  []*Daemon
	Trace    *Trace // what every caller sent and got
	admin    *admin
}

// New starts the platform and the daemons and waits until every daemon is ready.
func New(t testing.TB, opt Options) *Cluster {
	t.Helper()
	log.SetHandler(discard.Default)
	c := &Cluster{t: t, opt: opt.withDefaults(), bin: binaries(t), dir: logDir(t), Trace: &Trace{}}
	c.Platform = startPlatform(t, c.bin, c.dir, c.opt)
	c.admin = newAdmin(t, c.Platform.Table)
	for i := range c.opt.Daemons {
		c.Daemons = append(c.Daemons, newDaemon(c, i))
	}
	for _, d := range c.Daemons {
		d.prepare(c)
		d.Start()
	}
	for _, d := range c.Daemons {
		d.AwaitReady()
	}
	return c
}

// logDir is where the processes of the test write their logs.
func logDir(t testing.TB) string {
	base := os.Getenv("IBISCRANK_LOGS")
	if base == "" {
		return t.TempDir()
	}
	dir := filepath.Join(base, t.Name())
	assert.NilError(t, os.MkdirAll(dir, 0o755))
	return dir
}

// Addresses lists the callers' addresses of all daemons in order.
func (c *Cluster) Addresses() []string {
	var all []string
	for _, d := range c.Daemons {
		all = append(all, d.Settings.Listen)
	}
	return all
}
