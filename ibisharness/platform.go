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

// platformCallTimeout bounds one call to a stand-in.
const platformCallTimeout = 20 * time.Second

// Platform is the stand-ins of one test, in one process of their own.
type Platform struct {
	t       testing.TB
	proc    *process
	http    *http.Client
	Table   string // URL of the table service
	VMList  string // URL of the list of VMs and of the fleet
	Servers []ibisserver.VM
	Each    ibiswork.Resources // capacity of each server
}

func startPlatform(t testing.TB, bin, dir string, opt Options) *Platform {
	t.Helper()
	logFile := filepath.Join(dir, "platform.log")
	proc, line := start(t, "platform", logFile, true, filepath.Join(bin, "ibisstandin"), "all",
		"--table=127.0.0.1:0", "--vm-list=127.0.0.1:0", "--listen-base=127.0.0.1:0", "--usage-lag-ms=200",
		"--count="+strconv.Itoa(opt.Servers),
		"--vm-lag-ms="+strconv.FormatInt(opt.VMLagMS, 10),
		"--milli-cpu="+strconv.FormatInt(opt.Capacity.MilliCPU, 10),
		"--memory-mb="+strconv.FormatInt(opt.Capacity.MemoryMB, 10),
		"--accelerators="+strconv.FormatInt(opt.Capacity.Accelerators, 10),
		"--slots="+strconv.FormatInt(opt.Capacity.Slots, 10))
	t.Cleanup(func() {
		proc.kill()
		showLog(t, "platform", logFile)
	})
	p := &Platform{t: t, proc: proc, Each: opt.Capacity, http: &http.Client{Transport: ibishttp.NewTransport(8)}}
	t.Cleanup(p.http.CloseIdleConnections)
	assert.NilError(t, json.Unmarshal([]byte(line), p))
	return p
}

// call makes one call to a stand-in, which must succeed.
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

// History is the merged record of all backend servers.
func (p *Platform) History() []ibisstandin.Entry {
	p.t.Helper()
	var reply ibisstandin.HistoryReply
	p.call(http.MethodGet, p.VMList+ibisstandin.PathHistory, nil, &reply)
	return reply.Entries
}

// Stats counts what each backend server has seen.
func (p *Platform) Stats() []ibisstandin.ServerStats {
	p.t.Helper()
	var all []ibisstandin.ServerStats
	p.call(http.MethodGet, p.VMList+ibisstandin.PathStats, nil, &all)
	return all
}

// Running is the number of tasks that run now on all servers.
func (p *Platform) Running() int {
	n := 0
	for _, s := range p.Stats() {
		n += s.Running
	}
	return n
}

// TableFaults replaces the faults of the table service.
func (p *Platform) TableFaults(f ibisstandin.TableFaults) {
	p.t.Helper()
	p.call(http.MethodPost, p.Table+ibisstandin.PathFaults, f, nil)
}

// TableStats counts the reads and writes of the table service.
func (p *Platform) TableStats() ibisstandin.TableStats {
	p.t.Helper()
	var st ibisstandin.TableStats
	p.call(http.MethodGet, p.Table+ibisstandin.PathStats, nil, &st)
	return st
}

// ServerFaults replaces the faults of the named servers, or of all when none is named.
func (p *Platform) ServerFaults(f ibisstandin.ServerFaults, servers ...string) {
	p.t.Helper()
	p.call(http.MethodPost, p.VMList+ibisstandin.PathFaults, ibisstandin.FleetFaults{Servers: servers, Faults: f}, nil)
}

// SetVMState changes the state of a VM in the list of VMs.
func (p *Platform) SetVMState(name string, state ibisserver.VMState) {
	p.t.Helper()
	for _, vm := range p.Servers {
		if vm.Name == name {
			vm.State = state
			p.call(http.MethodPost, p.VMList+ibisserver.PathVMs, ibisstandin.VMChange{VMs: []ibisserver.VM{vm}}, nil)
		}
	}
}

// LoseVM ends a VM with all its tasks; the list of VMs learns nothing of it.
func (p *Platform) LoseVM(name string) {
	p.t.Helper()
	p.call(http.MethodPost, p.VMList+"/lose?name="+url.QueryEscape(name), nil, nil)
}

// StartVM serves a lost VM again, empty.
func (p *Platform) StartVM(name string) {
	p.t.Helper()
	p.call(http.MethodPost, p.VMList+"/start?name="+url.QueryEscape(name), nil, nil)
}

func bare(url string) string { return strings.TrimPrefix(url, "http://") }
