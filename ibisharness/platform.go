package ibisharness

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibishttp"
	"ibiscrank/ibisserver"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// platformCallTimeout is the timeout of one call to a simulated service.
const platformCallTimeout = 20 * time.Second

// Platform is the simulated table service, VM list and backend servers of one test, which run together in one
// process. Table, VMList and Servers are decoded from the line that the process prints at its start.
type Platform struct {
	t        testing.TB
	proc     *process
	http     *http.Client
	Table    string // URL of the table service
	VMList   string // URL of the VM list service, which also controls the backend servers
	Servers  []ibisserver.VM
	Capacity ibiswork.Resources `json:"Each"` // of each backend server; not in the printed line
}

func startPlatform(t testing.TB, binDir, logDir string, opt Options) *Platform {
	t.Helper()
	logFile := filepath.Join(logDir, "platform.log")
	proc, line := startProcess(t, "platform", logFile, true, filepath.Join(binDir, "ibisstandin"), "all",
		"--table=127.0.0.1:0", "--vm-list=127.0.0.1:0", "--listen-base=127.0.0.1:0", "--usage-lag-ms=200",
		"--count="+strconv.Itoa(opt.Servers),
		"--vm-lag-ms="+strconv.FormatInt(opt.VMLagMS, 10),
		"--milli-cpu="+strconv.FormatInt(opt.Capacity.MilliCPU, 10),
		"--memory-mb="+strconv.FormatInt(opt.Capacity.MemoryMB, 10),
		"--accelerators="+strconv.FormatInt(opt.Capacity.Accelerators, 10),
		"--slots="+strconv.FormatInt(opt.Capacity.Slots, 10))
	t.Cleanup(func() {
		proc.kill()
		showLogOnFailure(t, "platform", logFile)
	})
	p := &Platform{t: t, proc: proc, Capacity: opt.Capacity, http: &http.Client{Transport: ibishttp.NewTransport(8)}}
	t.Cleanup(p.http.CloseIdleConnections)
	assert.NilError(t, json.Unmarshal([]byte(line), p))
	return p
}

// call sends one request to a simulated service, and decodes the reply into out unless out is nil. It fails
// the test if the call does not succeed.
func (p *Platform) call(method, url string, in, out any) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), platformCallTimeout)
	defer cancel()
	r, err := ibishttp.Call(ctx, p.http, method, url, in)
	assert.NilError(p.t, err)
	assert.Equal(p.t, r.Status, http.StatusOK, "%s", r.Body)
	if out != nil {
		assert.NilError(p.t, json.Unmarshal(r.Body, out))
	}
}

// History returns the starts and ends of tasks that the backend servers recorded, merged over all servers.
func (p *Platform) History() []ibisstandin.Entry {
	p.t.Helper()
	var reply ibisstandin.HistoryReply
	p.call(http.MethodGet, p.VMList+ibisstandin.PathHistory, nil, &reply)
	return reply.Entries
}

// Stats returns the counters of each backend server.
func (p *Platform) Stats() []ibisstandin.ServerStats {
	p.t.Helper()
	var all []ibisstandin.ServerStats
	p.call(http.MethodGet, p.VMList+ibisstandin.PathStats, nil, &all)
	return all
}

// Running returns the number of tasks that run now on all backend servers.
func (p *Platform) Running() int {
	n := 0
	for _, s := range p.Stats() {
		n += s.Running
	}
	return n
}

// TableFaults replaces the injected faults of the table service. The zero value removes them.
func (p *Platform) TableFaults(f ibisstandin.TableFaults) {
	p.t.Helper()
	p.call(http.MethodPost, p.Table+ibisstandin.PathFaults, f, nil)
}

// TableStats returns the counters of the table service.
func (p *Platform) TableStats() ibisstandin.TableStats {
	p.t.Helper()
	var st ibisstandin.TableStats
	p.call(http.MethodGet, p.Table+ibisstandin.PathStats, nil, &st)
	return st
}

// ServerFaults replaces the injected faults of the named backend servers, or of all if none is named. The zero
// value removes them.
func (p *Platform) ServerFaults(f ibisstandin.ServerFaults, servers ...string) {
	p.t.Helper()
	p.call(http.MethodPost, p.VMList+ibisstandin.PathFaults, ibisstandin.FleetFaults{Servers: servers, Faults: f}, nil)
}

// SetVMState changes the state of a VM in the VM list. An unknown name has no effect.
func (p *Platform) SetVMState(name string, state ibisserver.VMState) {
	p.t.Helper()
	for _, vm := range p.Servers {
		if vm.Name == name {
			vm.State = state
			p.call(http.MethodPost, p.VMList+ibisserver.PathVMs, ibisstandin.VMChange{VMs: []ibisserver.VM{vm}}, nil)
		}
	}
}

// LoseVM stops a VM and all its tasks. The VM list does not change.
func (p *Platform) LoseVM(name string) {
	p.t.Helper()
	p.call(http.MethodPost, p.VMList+"/lose?name="+url.QueryEscape(name), nil, nil)
}

// StartVM starts a lost VM again, without its tasks.
func (p *Platform) StartVM(name string) {
	p.t.Helper()
	p.call(http.MethodPost, p.VMList+"/start?name="+url.QueryEscape(name), nil, nil)
}

func trimScheme(url string) string { return strings.TrimPrefix(url, "http://") }
