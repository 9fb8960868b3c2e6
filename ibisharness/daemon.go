package ibisharness

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibishttp"
	"ibiscrank/ibisserver"
	"ibiscrank/ibissettings"
)

// Daemon is one daemon of a cluster. It can be stopped and started again with the same settings.
type Daemon struct {
	t            testing.TB
	Name         string
	Index        int
	Settings     ibissettings.Settings
	proc         *process
	program      string
	settingsFile string
	logFile      string
	http         *http.Client

	// The links are nil unless Options.Proxies is set.
	TableLink   *Link
	VMListLink  *Link
	PeerLink    *Link            // connections of all peers to this daemon
	ServerLinks map[string]*Link // by name of the backend server
}

// newDaemon allocates the addresses of a daemon and, if Options.Proxies is set, creates its links. It does not
// start the daemon.
func newDaemon(c *Cluster, i int) *Daemon {
	name := "daemon-" + strconv.Itoa(i)
	d := &Daemon{
		t: c.t, Name: name, Index: i, program: filepath.Join(c.binDir, "ibiscrank"),
		settingsFile: filepath.Join(c.logDir, name+".json"), logFile: filepath.Join(c.logDir, name+".log"),
		http: &http.Client{Transport: ibishttp.NewTransport(2)},
		Settings: ibissettings.Settings{
			Listen:          freeAddress(c.t),
			PeerListen:      freeAddress(c.t),
			FailureDomain:   "fd-" + strconv.Itoa(i%3+1),
			Table:           c.Platform.Table,
			VMList:          c.Platform.VMList,
			OperatorKeyHash: string(ibisconfig.HashKey(OperatorKey)),
		},
	}
	c.t.Cleanup(func() {
		d.proc.kill()
		d.http.CloseIdleConnections()
		showLogOnFailure(c.t, name, d.logFile)
	})
	if c.opt.Proxies {
		d.createLinks(c)
	}
	return d
}

// createLinks creates the daemon's links and points its settings at them.
func (d *Daemon) createLinks(c *Cluster) {
	d.TableLink = newLink(d.t, d.Name+"-table", "", trimScheme(c.Platform.Table))
	d.PeerLink = newLink(d.t, d.Name+"-peer", "", d.Settings.PeerListen)
	d.ServerLinks = map[string]*Link{}
	for _, vm := range c.Platform.Servers {
		d.ServerLinks[vm.Name] = newLink(d.t, d.Name+"-"+vm.Name, "", vm.Address)
	}
	vmList := httptest.NewServer(d.vmListHandler(c.Platform.VMList))
	d.t.Cleanup(vmList.Close)
	d.VMListLink = newLink(d.t, d.Name+"-vms", "", trimScheme(vmList.URL))
	d.Settings.Table = "http://" + d.TableLink.Address()
	d.Settings.VMList = "http://" + d.VMListLink.Address()
	d.Settings.Advertise = d.PeerLink.Address()
}

// vmListHandler serves the VM list of listURL, in which the address of each VM is replaced by that of this
// daemon's link to it.
func (d *Daemon) vmListHandler(listURL string) http.Handler {
	client, closeClient := ibisserver.NewVMClient(listURL)
	d.t.Cleanup(closeClient)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vms, err := client.VMs(r.Context())
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for i, vm := range vms {
			if l := d.ServerLinks[vm.Name]; l != nil {
				vms[i].Address = l.Address()
			}
		}
		ibishttp.WriteJSON(w, http.StatusOK, ibisserver.VMsReply{VMs: vms})
	})
}

// writeSettings writes the settings file, which lists the other daemons of c as peers. They must have their
// addresses already.
func (d *Daemon) writeSettings(c *Cluster) {
	for _, peer := range c.Daemons {
		switch {
		case peer == d:
		case peer.Settings.Advertise != "":
			d.Settings.Peers = append(d.Settings.Peers, peer.Settings.Advertise)
		default:
			d.Settings.Peers = append(d.Settings.Peers, peer.Settings.PeerListen)
		}
	}
	if c.opt.Settings != nil {
		c.opt.Settings(d.Index, &d.Settings)
	}
	b, err := json.MarshalIndent(d.Settings, "", "  ")
	assert.NilError(d.t, err)
	assert.NilError(d.t, os.WriteFile(d.settingsFile, b, 0o600))
}

// URL returns the base URL of the daemon's client API.
func (d *Daemon) URL() string { return "http://" + d.Settings.Listen }

// Start starts the daemon, which must not be running.
func (d *Daemon) Start() {
	d.t.Helper()
	assert.Assert(d.t, !d.proc.running(), "%s is already running", d.Name)
	d.proc, _ = startProcess(d.t, d.Name, d.logFile, false, d.program, "serve", d.settingsFile)
}

// AwaitReady waits until the daemon accepts requests.
func (d *Daemon) AwaitReady() {
	d.t.Helper()
	Await(d.t, ReadyTimeout, d.Name+" is ready", func() (bool, any) {
		if !d.proc.running() {
			d.t.Fatalf("%s has exited: %v", d.Name, d.proc.err)
		}
		return respondsOK(d.http, d.URL()+"/v1/ready")
	})
}

// Ready reports whether the daemon accepts requests now.
func (d *Daemon) Ready() bool {
	ok, _ := respondsOK(d.http, d.URL()+"/v1/ready")
	return ok
}

// Restart starts the daemon again and waits until it is ready.
func (d *Daemon) Restart() {
	d.t.Helper()
	d.Start()
	d.AwaitReady()
}

// Running reports whether the process has not exited yet.
func (d *Daemon) Running() bool { return d.proc.running() }

// PID returns the ID of the process that was started last.
func (d *Daemon) PID() int { return d.proc.cmd.Process.Pid }

// Kill sends SIGKILL and waits for the exit, which simulates the loss of the daemon's VM.
func (d *Daemon) Kill() { d.proc.kill() }

// Pause sends SIGSTOP, which stops all threads of the daemon until Resume.
func (d *Daemon) Pause() { d.proc.signal(syscall.SIGSTOP) }

// Resume continues a paused daemon.
func (d *Daemon) Resume() { d.proc.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which starts a graceful shutdown.
func (d *Daemon) Terminate() { d.proc.signal(syscall.SIGTERM) }

// AwaitExit waits until the process has exited and returns the error of its exit status, or an error on
// timeout.
func (d *Daemon) AwaitExit() error { return d.proc.await() }

// CountLogged returns how often text occurs in the daemon's log, over all its incarnations.
func (d *Daemon) CountLogged(text string) int {
	d.t.Helper()
	b, err := os.ReadFile(d.logFile)
	assert.NilError(d.t, err)
	return strings.Count(string(b), text)
}

// Links returns all links of the daemon except the one to the VM list.
func (d *Daemon) Links() []*Link {
	links := []*Link{d.TableLink, d.PeerLink}
	for _, l := range d.ServerLinks {
		links = append(links, l)
	}
	return links
}
