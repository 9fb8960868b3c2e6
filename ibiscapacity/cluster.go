package ibiscapacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibishttp"
	"ibiscrank/ibisserver"
	"ibiscrank/ibissettings"
	"ibiscrank/ibistable"
)

const (
	operatorKey  = "capacity-operator-key"
	readyTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// daemon is a daemon process. It keeps its addresses and settings across a restart.
type daemon struct {
	address      string // of its HTTP interface, IP:PORT
	settingsFile string
	cmd          *exec.Cmd
}

// cluster is a set of processes on loopback: daemons, and one process that simulates the table service, the VM
// list and the backend servers.
type cluster struct {
	bin, dir    string       // directories of the programs and of the settings files
	http        *http.Client // without a key
	operator    *http.Client // with the operator's key
	simulator   *exec.Cmd
	daemons     []*daemon
	config      *ibisconfig.Store
	changeCount int      // number of configuration changes so far, for their IDs
	addresses   struct { // decoded from the output of ibisstandin
		Table, VMList string
		Servers       []ibisserver.VM
	}
}

// bearerTransport sends a key as the bearer token of every request.
type bearerTransport struct {
	http.RoundTripper
	key string
}

// RoundTrip sets the Authorization header and sends the request.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+b.key)
	return b.RoundTripper.RoundTrip(r)
}

// startCluster starts a cluster and waits until it is ready. The programs ibiscrank and ibisstandin are in the
// directory bin. The second result stops the processes and removes their files.
func startCluster(ctx context.Context, bin string, daemons, servers, slots int) (*cluster, func(), error) {
	dir, err := os.MkdirTemp("", "ibiscapacity")
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	t := ibishttp.NewTransport(64)
	c := &cluster{bin: bin, dir: dir, http: &http.Client{Transport: t}, operator: &http.Client{Transport: bearerTransport{t, operatorKey}}}
	if err := c.startProcesses(ctx, daemons, servers, slots); err != nil {
		c.stop()
		return nil, nil, err
	}
	return c, c.stop, nil
}

// startProcesses starts the simulator, reads its addresses from the first line of its output, starts the
// daemons and waits until the cluster is ready.
func (c *cluster) startProcesses(ctx context.Context, daemons, servers, slots int) error {
	c.simulator = exec.Command(filepath.Join(c.bin, "ibisstandin"), "all", "--table=127.0.0.1:0", "--vm-list=127.0.0.1:0",
		"--listen-base=127.0.0.1:0", "--count="+strconv.Itoa(servers), "--slots="+strconv.Itoa(slots))
	out, err := c.simulator.StdoutPipe()
	if err != nil {
		return Error.Wrap(err)
	}
	if err := c.simulator.Start(); err != nil {
		return Error.Wrap(err)
	}
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err != nil {
		return Error.Wrap(err)
	}
	if err := json.Unmarshal(line, &c.addresses); err != nil {
		return Error.Wrap(err)
	}
	c.config = ibisconfig.NewStore(ibistable.NewClient(c.addresses.Table, nil))
	for i := range daemons {
		d, err := c.newDaemon(i)
		if err != nil {
			return err
		}
		if err := c.startDaemon(d); err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
	}
	return c.awaitReady(ctx)
}

// The ports of daemons lie below the ephemeral port range, so that no outgoing connection takes the port of a
// daemon that is down before it restarts.
const (
	firstPort = 12000
	portCount = 9000
)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address, nil
		}
	}
	return "", Error.New("no free port on 127.0.0.1 from %d to %d", firstPort, firstPort+portCount-1)
}

// newDaemon writes the settings file of daemon i. It doesn't start the daemon.
func (c *cluster) newDaemon(i int) (*daemon, error) {
	var addr [2]string
	for j := range addr {
		var err error
		if addr[j], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	s := ibissettings.Settings{
		Listen: addr[0], PeerListen: addr[1], FailureDomain: fmt.Sprintf("fd-%d", i%3+1), LogLevel: "error",
		Table: c.addresses.Table, VMList: c.addresses.VMList, OperatorKeyHash: string(ibisconfig.HashKey(operatorKey)),
	}
	b, err := json.Marshal(s)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d := &daemon{address: addr[0], settingsFile: filepath.Join(c.dir, fmt.Sprintf("daemon-%d.json", i))}
	return d, Error.Wrap(os.WriteFile(d.settingsFile, b, 0o600))
}

// startDaemon starts the process of d.
func (c *cluster) startDaemon(d *daemon) error {
	d.cmd = exec.Command(filepath.Join(c.bin, "ibiscrank"), "serve", d.settingsFile)
	d.cmd.Stderr = os.Stderr // the log level is error
	return Error.Wrap(d.cmd.Start())
}

// kill sends SIGKILL to a process and waits for its exit.
func kill(cmd *exec.Cmd) {
	if cmd == nil || cmd.Process == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL) // fails if the process has already exited
	_ = cmd.Wait()                          // the error only says how the process ended
}

func (c *cluster) stop() {
	for _, d := range c.daemons {
		kill(d.cmd)
	}
	kill(c.simulator)
	c.http.CloseIdleConnections()
	_ = os.RemoveAll(c.dir) // what is left lies in the directory for temporary files
}

// overview returns the overview that d serves to operators.
func (c *cluster) overview(ctx context.Context, d *daemon) (ibisadmin.Overview, error) {
	var o ibisadmin.Overview
	err := c.call(ctx, c.operator, http.MethodGet, "http://"+d.address+"/v1/admin/overview", nil, &o)
	return o, err
}

// awaitReady waits until the last daemon reports that all daemons are serving and that every backend server
// that is not gone is claimed by a daemon.
func (c *cluster) awaitReady(ctx context.Context) error {
	return await(ctx, "all daemons serve and all servers are claimed", func() bool {
		o, err := c.overview(ctx, c.daemons[len(c.daemons)-1])
		if err != nil {
			return false
		}
		serving, live, listed := 0, 0, 0
		for _, d := range o.Daemons {
			if d.State == "Serving" && d.Answers {
				serving++
			}
		}
		for _, s := range o.Servers {
			if s.State == ibisadmin.ServerGone {
				continue
			}
			listed++
			if s.State == ibisadmin.ServerLive {
				live++
			}
		}
		return serving == len(c.daemons) && live == listed && listed > 0
	})
}

// await polls a condition until it holds, for at most readyTimeout.
func await(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !holds() {
		if pause(ctx, pollInterval) != nil {
			return Error.New("condition not met within %v: %s", readyTimeout, what)
		}
	}
	return nil
}

// pause waits for d. It returns the error of ctx when ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// change applies a change to the configuration in the table and returns the new version.
func (c *cluster) change(ctx context.Context, ch ibisconfig.Change) (int64, error) {
	c.changeCount++
	ch.ID = fmt.Sprintf("capacity-change-%d", c.changeCount)
	ch.Operator, ch.BasedOn, ch.At = "capacity", ibisconfig.NoCondition, time.Now()
	res, err := c.config.Apply(ctx, ch)
	return res.Version, Error.Wrap(err)
}

// awaitConfig waits until every daemon has at least this version of the configuration.
func (c *cluster) awaitConfig(ctx context.Context, version int64) error {
	for _, d := range c.daemons {
		err := await(ctx, fmt.Sprintf("configuration version %d in force at daemon %s", version, d.address), func() bool {
			var v ibisadmin.ConfigView
			return c.call(ctx, c.operator, http.MethodGet, "http://"+d.address+"/v1/admin/config", nil, &v) == nil && v.Version >= version
		})
		if err != nil {
			return err
		}
	}
	return nil
}
