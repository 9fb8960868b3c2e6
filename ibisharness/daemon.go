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

// Daemon is one daemon of a cluster, which may be started several times.
type Daemon struct {
	t        testing.TB
	Name     string
	Index    int
	Settings ibissettings.Settings
	proc     *process
	bin      string
	file     string
	log      string
	http     *http.Client

	// The links are nil unless the options ask for proxies.
	TableLink   *Link
	VMListLink  *Link
	PeerLink    *Link            // the way of all peers to this daemon
	ServerLinks map[string]*Link // by name of the backend server
}

// newDaemon chooses the addresses of a daemon.
func newDaemon(c *Cluster, i int) *Daemon {
	name := "daemon-" + strconv.Itoa(i)
	d := &Daemon{
		t: c.t, Name: name, Index: i, bin: filepath.Join(c.bin, "ibiscrank"),
		file: filepath.Join(c.dir, name+".json"), log: filepath.Join(c.dir, name+".log"),
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
		showLog(c.t, name, d.log)
	})
	if c.opt.Proxies {
		d.proxies(c)
	}
	return d
}

// proxies puts the daemon's links behind proxies.
func (d *Daemon) proxies(c *Cluster) {
	d.TableLink = newLink(d.t, d.Name+"-table", "", bare(c.Platform.Table))
	d.PeerLink = newLink(d.t, d.Name+"-peer", "", d.Settings.PeerListen)
	d.ServerLinks = map[string]*Link{}
	for _, vm := range c.Platform.Servers {
		d.ServerLinks[vm.Name] = newLink(d.t, d.Name+"-"+vm.Name, "", vm.Address)
	}
	view := httptest.NewServer(d.vmView(c.Platform.VMList))
	d.t.Cleanup(view.Close)
	d.VMListLink = newLink(d.t, d.Name+"-vms", "", bare(view.URL))
	d.Settings.Table = "http://" + d.TableLink.Address()
	d.Settings.VMList = "http://" + d.VMListLink.Address()
	d.Settings.Advertise = d.PeerLink.Address()
}

// vmView serves the list of VMs with the addresses of this daemon's links.
func (d *Daemon) vmView(list string) http.Handler {
	client, closeClient := ibisserver.NewVMClient(list)
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

// prepare writes the settings file, now that the addresses of all daemons are known.
func (d *Daemon) prepare(c *Cluster) {
	for _, o := range c.Daemons {
		switch {
		case o == d:
		case o.Settings.Advertise != "":
			d.Settings.Peers = append(d.Settings.Peers, o.Settings.Advertise)
		default:
			d.Settings.Peers = append(d.Settings.Peers, o.Settings.PeerListen)
		}
	}
	if c.opt.Settings != nil {
		c.opt.Settings(d.Index, &d.Settings)
	}
	b, err := json.MarshalIndent(d.Settings, "", "  ")
	assert.NilError(d.t, err)
	assert.NilError(d.t, os.WriteFile(d.file, b, 0o600))
}

// URL is the base of the daemon's callers' interface.
func (d *Daemon) URL() string { return "http://" + d.Settings.Listen }

// Start starts the daemon, which must not be running.
func (d *Daemon) Start() {
	d.t.Helper()
	assert.Assert(d.t, !d.proc.running(), "%s runs already", d.Name)
	d.proc, _ = start(d.t, d.Name, d.log, false, d.bin, "serve", d.file)
}

// AwaitReady waits until the daemon takes requests.
func (d *Daemon) AwaitReady() {
	d.t.Helper()
	Await(d.t, ReadyWithin, d.Name+" is ready", func() (bool, any) {
		if !d.proc.running() {
			d.t.Fatalf("%s has ended: %v", d.Name, d.proc.err)
		}
		return answers(d.http, d.URL()+"/v1/ready")
	})
}

// Ready reports whether the daemon takes requests now.
func (d *Daemon) Ready() bool {
	ok, _ := answers(d.http, d.URL()+"/v1/ready")
	return ok
}

// Restart starts the daemon again and waits until it is ready.
func (d *Daemon) Restart() {
	d.t.Helper()
	d.Start()
	d.AwaitReady()
}

// Running reports whether the process has not ended.
func (d *Daemon) Running() bool { return d.proc.running() }

// Kill ends the daemon at once, as the loss of its VM would.
func (d *Daemon) Kill() { d.proc.kill() }

// Pause stops all threads of the daemon until Resume.
func (d *Daemon) Pause() { d.proc.signal(syscall.SIGSTOP) }

// Resume lets a paused daemon go on.
func (d *Daemon) Resume() { d.proc.signal(syscall.SIGCONT) }

// Terminate asks the daemon for a graceful shutdown.
func (d *Daemon) Terminate() { d.proc.signal(syscall.SIGTERM) }

// AwaitEnd waits until the process has ended by itself and returns its exit as an error.
func (d *Daemon) AwaitEnd() error { return d.proc.await() }

// Logged counts how often the daemon's log holds a text, over all its starts.
func (d *Daemon) Logged(text string) int {
	d.t.Helper()
	b, err := os.ReadFile(d.log)
	assert.NilError(d.t, err)
	return strings.Count(string(b), text)
}

// Links lists every link of the daemon but that to the list of VMs.
func (d *Daemon) Links() []*Link {
	links := []*Link{d.TableLink, d.PeerLink}
	for _, l := range d.ServerLinks {
		links = append(links, l)
	}
	return links
}
