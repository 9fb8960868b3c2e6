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

// addresses is the line that a command prints once it listens.
type addresses struct {
	Table   string          `json:"Table,omitempty"`
	VMList  string          `json:"VMList,omitempty"`
	Servers []ibisserver.VM `json:"Servers,omitempty"`
}

type tableFlags struct {
	MaxWrites int64 `help:"Most writes a second; 0 is no bound." default:"0"`
}

type fleetFlags struct {
	ListenBase     string   `help:"Address of the first backend server; the others follow. Port 0 takes free ports." default:"127.0.0.1:21000"`
	Count          int      `help:"Number of backend servers." default:"50"`
	MilliCPU       int64    `name:"milli-cpu" help:"Processors of each, in thousandths of a core." default:"16000"`
	MemoryMB       int64    `name:"memory-mb" help:"Memory of each, in MiB." default:"65536"`
	Accelerators   int64    `help:"Accelerators of each." default:"0"`
	Slots          int64    `help:"Tasks that each runs at once." default:"8"`
	FailureDomains []string `help:"Failure domains, dealt out in turn." default:"fd-1,fd-2,fd-3"`
	RackSize       int      `help:"Backend servers in each rack." default:"8"`
	UsageLagMS     int64    `name:"usage-lag-ms" help:"From the start of a task to its first report of usage." default:"1000"`
	VMList         string   `name:"vm-list" help:"Address of the list of VMs." default:"127.0.0.1:20001"`
	VMLagMS        int64    `name:"vm-lag-ms" help:"Lag of the list of VMs." default:"0"`
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
	Listen string `help:"Address to listen at. Port 0 takes a free one." default:"127.0.0.1:20000"`
}

// Run serves until a signal ends it.
func (c *tableCmd) Run() error {
	var r runner
	r.table(c.Listen, c.tableFlags)
	return r.run()
}

type serversCmd struct{ fleetFlags }

// Run serves until a signal ends it.
func (c *serversCmd) Run() error {
	var r runner
	r.fleet(c.fleetFlags)
	return r.run()
}

type allCmd struct {
	tableFlags
	fleetFlags
	Table string `help:"Address of the table service. Port 0 takes a free one." default:"127.0.0.1:20000"`
}

// Run serves until a signal ends it.
func (c *allCmd) Run() error {
	var r runner
	r.table(c.Table, c.tableFlags)
	r.fleet(c.fleetFlags)
	return r.run()
}

// runner gathers what is to be served; it remembers the first error.
type runner struct {
	err     error
	said    addresses
	servers []*http.Server
	serve   []func() error
	cleanup []func()
}

func (r *runner) table(address string, f tableFlags) {
	t := ibisstandin.NewTable(nil)
	t.SetFaults(ibisstandin.TableFaults{MaxWritesPerSecond: f.MaxWrites})
	r.said.Table = r.listen(address, t.Handler())
}

func (r *runner) fleet(f fleetFlags) {
	if r.err != nil {
		return
	}
	fleet, stop, err := ibisstandin.NewFleet(f.config(), nil)
	if err != nil {
		r.err = err
		return
	}
	r.cleanup = append(r.cleanup, stop)
	r.said.Servers = fleet.VMs()
	r.said.VMList = r.listen(f.VMList, fleet.Handler())
}

// listen prepares to serve h and returns the base of its URLs.
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

// run prints the addresses and serves until a signal comes.
func (r *runner) run() error {
	defer r.close()
	if r.err != nil {
		return r.err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := json.NewEncoder(os.Stdout).Encode(r.said); err != nil {
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

func (r *runner) close() {
	for _, s := range r.servers {
		_ = s.Close() // the process ends
	}
	for _, f := range r.cleanup {
		f()
	}
	r.cleanup = nil
}
