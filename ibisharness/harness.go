// Package ibisharness runs daemons and simulated platform services as separate processes for integration
// tests, and injects faults: killed and paused daemons; closed, delayed and silent connections; table and
// backend server failures.
//
// All processes are killed when their test ends. If the test fails, the end of each log is printed. Logs are
// written to a temporary directory, or kept in the directory given by IBISCRANK_LOGS.
//
// Usage:
//
//	c := ibisharness.New(t, ibisharness.Options{Daemons: 3, Servers: 6})
//	key := c.AddTeam(ibisconfig.Team{Name: "tuul-floor", Share: 1, UpperLimit: ibisharness.NoLimit})
//	caller := c.NewCaller(key)
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

// Error is the error class of this package.
var Error = errs.Class("harness")

// NoLimit is an upper limit high enough that no test reaches it.
var NoLimit = ibiswork.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40, Slots: 1 << 40}

// OperatorKey is the key of the first operator in every cluster.
const OperatorKey = "harness-operator-key"

// ReadyTimeout is the maximum time from the start of a daemon until it is ready.
const ReadyTimeout = 20 * time.Second

// Options configures New. The zero value starts three daemons and six backend servers without proxies.
type Options struct {
	Daemons  int
	Servers  int
	Capacity ibiswork.Resources // of each server; 4 slots, 4 cores and 4 GiB when zero
	VMLagMS  int64              // delay until the VM list shows a change, in milliseconds
	// Proxies routes each daemon's connections through Daemon.TableLink, VMListLink, PeerLink and ServerLinks.
	Proxies bool
	// Settings adjusts the settings of the daemon with index i before its first start.
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

// Cluster holds the daemons and the simulated platform of one test.
type Cluster struct {
	t        testing.TB
	opt      Options
	binDir   string
	logDir   string
	Platform *Platform
	Daemons  []*Daemon
	Trace    *Trace // submissions and final statuses of all callers
	admin    *admin
}

// New starts the platform, then the daemons, and returns once every daemon is ready.
func New(t testing.TB, opt Options) *Cluster {
	t.Helper()
	log.SetHandler(discard.Default)
	c := &Cluster{t: t, opt: opt.withDefaults(), binDir: buildPrograms(t), logDir: makeLogDir(t), Trace: &Trace{}}
	c.Platform = startPlatform(t, c.binDir, c.logDir, c.opt)
	c.admin = newAdmin(t, c.Platform.Table)
	for i := range c.opt.Daemons {
		c.Daemons = append(c.Daemons, newDaemon(c, i))
	}
	for _, d := range c.Daemons {
		d.writeSettings(c)
		d.Start()
	}
	for _, d := range c.Daemons {
		d.AwaitReady()
	}
	return c
}

// makeLogDir returns the directory for the logs of the test's processes: a directory named after the test
// under IBISCRANK_LOGS, or a temporary one if that variable is not set.
func makeLogDir(t testing.TB) string {
	base := os.Getenv("IBISCRANK_LOGS")
	if base == "" {
		return t.TempDir()
	}
	dir := filepath.Join(base, t.Name())
	assert.NilError(t, os.MkdirAll(dir, 0o755))
	return dir
}

// Addresses returns the client-facing address of each daemon, in the order of Daemons.
func (c *Cluster) Addresses() []string {
	var addresses []string
	for _, d := range c.Daemons {
		addresses = append(addresses, d.Settings.Listen)
	}
	return addresses
}
