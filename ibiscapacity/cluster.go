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
	operatorKey = "capacity-operator-key"
	readyWithin = 60 * time.Second
	askEvery    = 50 * time.Millisecond
)

// daemon is one running daemon.
type daemon struct {
	listen string
	file   string
	cmd    *exec.Cmd
}

// cluster is stand-ins and daemons on loopback.
type cluster struct {
	bin, dir  string
	http      *http.Client
	operator  *http.Client
	standin   *exec.Cmd
	daemons   []*daemon
	config    *ibisconfig.Store
	changes   int
	addresses struct {
		Table, VMList string
		Servers       []ibisserver.VM
	}
}

// bearer adds a key to every call.
type bearer struct {
	http.RoundTripper
	key string
}

// RoundTrip adds the key and makes the call.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+b.key)
	return b.RoundTripper.RoundTrip(r)
}

// start starts a cluster and waits until every backend server has an owner.
func start(ctx context.Context, bin string, daemons, servers, slots int) (*cluster, func(), error) {
	dir, err := os.MkdirTemp("", "ibiscapacity")
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	t := ibishttp.NewTransport(64)
	c := &cluster{bin: bin, dir: dir, http: &http.Client{Transport: t}, operator: &http.Client{Transport: bearer{t, operatorKey}}}
	if err := c.begin(ctx, daemons, servers, slots); err != nil {
		c.stop()
		return nil, nil, err
	}
	return c, c.stop, nil
}

func (c *cluster) begin(ctx context.Context, daemons, servers, slots int) error {
	c.standin = exec.Command(filepath.Join(c.bin, "ibisstandin"), "all", "--table=127.0.0.1:0", "--vm-list=127.0.0.1:0",
		"--listen-base=127.0.0.1:0", "--count="+strconv.Itoa(servers), "--slots="+strconv.Itoa(slots))
	out, err := c.standin.StdoutPipe()
	if err != nil {
		return Error.Wrap(err)
	}
	if err := c.standin.Start(); err != nil {
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
		d, err := c.prepare(i)
		if err != nil {
			return err
		}
		if err := c.launch(d); err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
	}
	return c.awaitWhole(ctx)
}

// Ports of daemons lie below the range from which outgoing connections take theirs, so that the port of a
// daemon that is down stays free for its restart.
const (
	firstPort = 12000
	portCount = 9000
)

// freeAddress is a loopback address that nothing listens at.
func freeAddress() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address, nil
		}
	}
	return "", Error.New("no free port")
}

// prepare writes the settings of a daemon.
func (c *cluster) prepare(i int) (*daemon, error) {
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
	d := &daemon{listen: addr[0], file: filepath.Join(c.dir, fmt.Sprintf("daemon-%d.json", i))}
	return d, Error.Wrap(os.WriteFile(d.file, b, 0o600))
}

func (c *cluster) launch(d *daemon) error {
	d.cmd = exec.Command(filepath.Join(c.bin, "ibiscrank"), "serve", d.file)
	d.cmd.Stderr = os.Stderr // only errors are logged
	return Error.Wrap(d.cmd.Start())
}

// kill ends a process at once.
func kill(cmd *exec.Cmd) {
	if cmd == nil || cmd.Process == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	_ = cmd.Wait()                          // it was killed
}

func (c *cluster) stop() {
	for _, d := range c.daemons {
		kill(d.cmd)
	}
	kill(c.standin)
	c.http.CloseIdleConnections()
	_ = os.RemoveAll(c.dir) // in the directory for temporary files
}

// overview is what the daemon d tells operators.
func (c *cluster) overview(ctx context.Context, d *daemon) (ibisadmin.Overview, error) {
	var o ibisadmin.Overview
	err := c.call(ctx, c.operator, http.MethodGet, "http://"+d.listen+"/v1/admin/overview", nil, &o)
	return o, err
}

// awaitWhole waits until the last daemon sees all daemons serving and an owner for every server.
func (c *cluster) awaitWhole(ctx context.Context) error {
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

// await looks at a condition until it holds.
func await(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for !holds() {
		if pause(ctx, askEvery) != nil {
			return Error.New("not within %v: %s", readyWithin, what)
		}
	}
	return nil
}

// pause waits for d or the end of ctx.
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

// change makes one change of the configuration and returns its version.
func (c *cluster) change(ctx context.Context, ch ibisconfig.Change) (int64, error) {
	c.changes++
	ch.ID = fmt.Sprintf("capacity-change-%d", c.changes)
	ch.Operator, ch.BasedOn, ch.At = "capacity", ibisconfig.NoCondition, time.Now()
	res, err := c.config.Apply(ctx, ch)
	return res.Version, Error.Wrap(err)
}

// inForce waits until every daemon has the version.
func (c *cluster) inForce(ctx context.Context, version int64) error {
	for _, d := range c.daemons {
		err := await(ctx, "a configuration in force at "+d.listen, func() bool {
			var v ibisadmin.ConfigView
			return c.call(ctx, c.operator, http.MethodGet, "http://"+d.listen+"/v1/admin/config", nil, &v) == nil && v.Version >= version
		})
		if err != nil {
			return err
		}
	}
	return nil
}
