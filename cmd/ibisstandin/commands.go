package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"

	"ibiscrank/ibisserver"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// addresses is the JSON line that a command prints once it listens.
type addresses struct {
	Table   string          `json:"Table,omitempty"`
	VMList  string          `json:"VMList,omitempty"`
	Servers []ibisserver.VM `json:"Servers,omitempty"`
}

type tableFlags struct {
	MaxWrites int64 `help:"Maximum number of writes per second; 0 means no limit." default:"0"`
}

type fleetFlags struct {
	ListenBase     string   `help:"Address of the first backend server; the others use the ports after it. Port 0 picks free ports." default:"127.0.0.1:21000"`
	Count          int      `help:"Number of backend servers." default:"50"`
	MilliCPU       int64    `name:"milli-cpu" help:"CPU of each backend server, in thousandths of a core." default:"16000"`
	MemoryMB       int64    `name:"memory-mb" help:"Memory of each backend server, in MiB." default:"65536"`
	Accelerators   int64    `help:"Accelerators of each backend server." default:"0"`
	Slots          int64    `help:"Number of tasks that each backend server runs concurrently." default:"8"`
	FailureDomains []string `help:"Failure domains, assigned to backend servers round-robin." default:"fd-1,fd-2,fd-3"`
	RackSize       int      `help:"Backend servers in each rack." default:"8"`
	UsageLagMS     int64    `name:"usage-lag-ms" help:"Delay from the start of a task to its first usage report, in ms." default:"1000"`
	VMList         string   `name:"vm-list" help:"Address of the VM list service." default:"127.0.0.1:20001"`
	VMLagMS        int64    `name:"vm-lag-ms" help:"Delay until a change is visible in the VM list, in ms." default:"0"`
}

func (f fleetFlags) config() ibisstandin.FleetConfig {
	return ibisstandin.FleetConfig{
		ListenBase: f.ListenBase,
		Count:      f.Count,
		Capacity: ibiswork.Resources{
			MilliCPU: f.MilliCPU, MemoryMB: f.MemoryMB, Accelerators: f.Accelerators, Slots: f.Slots,
		},
		FailureDomains: f.FailureDomains,
		RackSize:       f.RackSize,
		UsageLagMS:     f.UsageLagMS,
		VMLagMS:        f.VMLagMS,
	}
}

type tableCmd struct {
	tableFlags
	Listen string `help:"Address to listen on. Port 0 picks a free port." default:"127.0.0.1:20000"`
}

// Run serves until SIGTERM or SIGINT.
func (c *tableCmd) Run() error {
	var r runner
	r.addTable(c.Listen, c.tableFlags)
	return r.run()
}

type serversCmd struct{ fleetFlags }

// Run serves until SIGTERM or SIGINT.
func (c *serversCmd) Run() error {
	var r runner
	r.addFleet(c.fleetFlags)
	return r.run()
}

type allCmd struct {
	tableFlags
	fleetFlags
	Table string `help:"Address of the table service. Port 0 picks a free port." default:"127.0.0.1:20000"`
}

// Run serves until SIGTERM or SIGINT.
func (c *allCmd) Run() error {
	var r runner
	r.addTable(c.Table, c.tableFlags)
	r.addFleet(c.fleetFlags)
	return r.run()
}

// runner collects the HTTP servers of a command and runs them. It keeps the first error, which run returns.
type runner struct {
	err     error
	addrs   addresses
	servers []*http.Server
	serve   []func() error
	cleanup []func()
}

// addTable prepares to serve a table service at address.
func (r *runner) addTable(address string, f tableFlags) {
	t := ibisstandin.NewTable(nil)
	t.SetFaults(ibisstandin.TableFaults{MaxWritesPerSecond: f.MaxWrites})
	r.addrs.Table = r.listen(address, t.Handler())
}

// addFleet starts the backend servers and prepares to serve the list of their VMs.
func (r *runner) addFleet(f fleetFlags) {
	if r.err != nil {
		return
	}
	fleet, stop, err := ibisstandin.NewFleet(f.config(), nil)
	if err != nil {
		r.err = err
		return
	}
	r.cleanup = append(r.cleanup, stop)
	r.addrs.Servers = fleet.VMs()
	r.addrs.VMList = r.listen(f.VMList, fleet.Handler())
}

// listen listens on address, prepares to serve h and returns the base URL, or "" after an error.
func (r *runner) listen(address string, h http.Handler) string {
	if r.err != nil {
		return ""
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		r.err = err
		return ""
	}
	s := &http.Server{Handler: h}
	r.servers = append(r.servers, s)
	r.serve = append(r.serve, func() error { return s.Serve(l) })
	return "http://" + l.Addr().String()
}

// run prints the addresses and serves until SIGTERM or SIGINT.
func (r *runner) run() error {
	defer r.close()
	if r.err != nil {
		return r.err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := json.NewEncoder(os.Stdout).Encode(r.addrs); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, serve := range r.serve {
		g.Go(func() error {
			if err := serve(); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	<-ctx.Done()
	r.close()
	return g.Wait()
}

// close stops the servers and releases their resources. It may be called more than once.
func (r *runner) close() {
	for _, s := range r.servers {
		_ = s.Close() // the process is exiting
	}
	for _, f := range r.cleanup {
		f()
	}
	r.cleanup = nil
}
