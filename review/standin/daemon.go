package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is a process of the system, started with the command of the deploy file.
type daemon struct {
	name                string
	frontend, readiness string
	settings            string
	command             []string
	rec                 *recorder
	mu                  sync.Mutex
	process             *exec.Cmd
	exited              chan struct{}
	leads               bool // by its log; only to aim a disturbance
	startedAt           time.Time
	ledAt               time.Time
}

// deployedCommand reads the command of the role from the deploy file.
func deployedCommand() ([]string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no line that begins with run")
}

// freePorts returns ports of loopback that nothing uses, below those that are given to outgoing channels.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range 200 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(18_000)))
		if err != nil {
			continue
		}
		defer l.Close()
		if ports = append(ports, l.Addr().(*net.TCPAddr).Port); len(ports) == n {
			return ports, nil
		}
	}
	return nil, errors.New("there are no free ports")
}

// newDaemon writes the settings of a daemon as DEPLOY.md shows them, with addresses of loopback.
func newDaemon(folder, name, zone, storeAddress, adviceAddress string, command []string, rec *recorder) (*daemon, error) {
	p, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	if p[3] > p[4] {
		p[3], p[4] = p[4], p[3]
	}
	d := &daemon{
		name: name, frontend: fmt.Sprintf("127.0.0.1:%d", p[0]), readiness: fmt.Sprintf("127.0.0.1:%d", p[1]),
		settings: filepath.Join(folder, name+".yaml"), command: command, rec: rec,
	}
	text := fmt.Sprintf(`nodeName: %q
role: "edge"
machineClass: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: %q
region: "ulaanbaatar"
zones: {ub-bayangol: "ulaanbaatar", ub-khanuul: "ulaanbaatar", ub-sukhbaatar: "ulaanbaatar"}
listenAddrs: {frontend: %q, readiness: %q, control: "127.0.0.1:%d"}
internalPorts: [%d, %d]
seeds: []
bootstrap: true
inTolerance: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4200, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform", "advice", "upkeep", "sharing"]
faultTolerance: {machines: 2, zones: 0, regionCount: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, strictRevoke: true, revokeMs: 5000, quotaWindowS: 5, quotaOverrun: 0.1, quotaSlack: 20, recoveryS: 12, holdMaxMs: 10000, stopTimeoutMs: 200, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remoteFactor: 1.5, checkpointS: 0.5, restoreMs: 600, noticeMs: 4500, migrateS: 1.5, maintenanceS: 2, fencing: false, leaseMs: 3000, thawMs: 300, pacingMs: 100, breachMs: 4000}
controlMode: "rpc"
advice: %q
platform: {address: %q, form: "table", writesPerS: 600, readsPerS: 2000, txMs: 8.0, partWritesPerS: 150, rowBytes: 65536, across: false, historyS: 20, blobBytes: 8388608, blobMs: 25.0, blobMbPerS: 80.0}
cloudApi: {address: %q, ratePerS: 60.0, duties: [], dutyPerS: 60.0}
`, name, zone, d.frontend, d.readiness, p[2], p[3], p[4], adviceAddress, storeAddress, adviceAddress)
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

func (d *daemon) start() error {
	cmd := exec.Command(d.command[0], d.command[1:]...) // the repository's own program, at loopback only
	cmd.Env = []string{"IBISCRANK_CONFIG=" + d.settings}
	for _, name := range [...]string{"PATH", "HOME", "LANG"} {
		if v, ok := os.LookupEnv(name); ok {
			cmd.Env = append(cmd.Env, name+"="+v)
		}
	}
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = w, w
	if err := cmd.Start(); err != nil {
		return err
	}
	w.Close()
	exited := make(chan struct{})
	d.mu.Lock()
	d.process, d.exited, d.leads, d.startedAt = cmd, exited, false, time.Now()
	d.mu.Unlock()
	d.rec.add("daemon", d.name, "starts", "")
	go d.readLog(r)
	go func() {
		_ = cmd.Wait() // how it ends is seen by callers
		d.rec.add("daemon", d.name, "has ended", "")
		close(exited)
	}()
	return nil
}

// readLog follows which daemon leads, so that a disturbance can be aimed.
func (d *daemon) readLog(r *os.File) {
	defer r.Close()
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		d.mu.Lock()
		switch {
		case strings.Contains(line, "Event=LeadTaken"):
			d.leads, d.ledAt = true, time.Now()
		case strings.Contains(line, "Event=LeadEnded"):
			d.leads = false
		}
		d.mu.Unlock()
	}
}

func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rec.add("trouble", d.name, "signal", sig.String())
	_ = d.process.Process.Signal(sig) // it may have ended
}

// kill ends the process and waits for that.
func (d *daemon) kill() {
	d.mu.Lock()
	process, exited := d.process, d.exited
	d.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill() // it may have ended
	<-exited
}

// ended reports whether the process has ended.
func (d *daemon) ended() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
