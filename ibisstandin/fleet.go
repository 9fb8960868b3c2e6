package ibisstandin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/gorilla/mux"

	"ibiscrank/ibishttp"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

// FleetConfig is what a fleet is told when it is made.
type FleetConfig struct {
	ListenBase     string             // address of the first server, the next ones follow; "127.0.0.1:0" when empty
	Count          int                // of servers
	Capacity       ibiswork.Resources // of each server
	FailureDomains []string           // dealt out in turn; "fd-1" when empty
	RackSize       int                // servers in each rack; zero puts a failure domain into one rack
	UsageLagMS     int64
	VMLagMS        int64
}

// Clocks of the servers in a fleet differ from each other and from the wall clock.
const (
	firstClockMS = 1_000_000
	clockStepMS  = 777_777
)

// Fleet is many backend servers in one process, each on a port of its own, and the list of their VMs.
type Fleet struct {
	vms    *VMs
	order  []*host
	byName map[string]*host
}

// host is one backend server with its listener.
type host struct {
	vm     ibisserver.VM
	server *Server
	clk    Clock

	mu   sync.Mutex
	http *http.Server // nil while the VM is lost
}

// NewFleet makes the servers and listens. A nil clk stands for the system's clock. The clean-up closes all.
func NewFleet(cfg FleetConfig, clk Clock) (*Fleet, func(), error) {
	if cfg.ListenBase == "" {
		cfg.ListenBase = "127.0.0.1:0"
	}
	if len(cfg.FailureDomains) == 0 {
		cfg.FailureDomains = []string{"fd-1"}
	}
	f := &Fleet{byName: map[string]*host{}}
	var vms []ibisserver.VM
	for i := range cfg.Count {
		h, err := newHost(cfg, i, clk)
		if err != nil {
			f.close()
			return nil, nil, err
		}
		f.order = append(f.order, h)
		f.byName[h.vm.Name] = h
		vms = append(vms, h.vm)
	}
	f.vms = NewVMs(vms, clk)
	lag := cfg.VMLagMS
	f.vms.Change(VMChange{LagMS: &lag})
	return f, f.close, nil
}

func newHost(cfg FleetConfig, i int, clk Clock) (*host, error) {
	address, err := nthAddress(cfg.ListenBase, i)
	if err != nil {
		return nil, err
	}
	domain := cfg.FailureDomains[i%len(cfg.FailureDomains)]
	rack := 0
	if cfg.RackSize > 0 {
		rack = i / len(cfg.FailureDomains) / cfg.RackSize
	}
	h := &host{clk: orSystem(clk), vm: ibisserver.VM{
		Name:          fmt.Sprintf("server-%03d", i),
		Address:       address,
		FailureDomain: domain,
		Rack:          fmt.Sprintf("%s-rack-%d", domain, rack),
		State:         ibisserver.Live,
	}}
	h.server, _ = NewServer(ServerConfig{
		Name:          h.vm.Name,
		FailureDomain: h.vm.FailureDomain,
		Rack:          h.vm.Rack,
		Capacity:      cfg.Capacity,
		ClockStartMS:  firstClockMS + int64(i)*clockStepMS,
		UsageLagMS:    cfg.UsageLagMS,
	}, clk)
	return h, h.listen()
}

// nthAddress is the i-th address from base; port 0 stays 0.
func nthAddress(base string, i int) (string, error) {
	ip, port, err := net.SplitHostPort(base)
	if err != nil {
		return "", Error.Wrap(err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return "", Error.Wrap(err)
	}
	if n == 0 {
		i = 0
	}
	return net.JoinHostPort(ip, strconv.Itoa(n+i)), nil
}

// listen serves the host at its address, which becomes definite if its port was 0.
func (h *host) listen() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.http != nil {
		return nil
	}
	l, err := net.Listen("tcp", h.vm.Address)
	if err != nil {
		return Error.Wrap(err)
	}
	h.vm.Address = l.Addr().String()
	h.http = &http.Server{Handler: h.server.Handler()}
	go h.http.Serve(l) //nolint:errcheck // it ends when the server is closed
	return nil
}

// cut closes the listener and every connection.
func (h *host) cut() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.http != nil {
		_ = h.http.Close() // nothing is left to do with a listener that does not close
		h.http = nil
	}
}

// lose ends the VM with all its tasks.
func (h *host) lose() {
	h.cut()
	h.server.SetFaults(ServerFaults{})
	h.server.LoseVM(h.server.Clock() + clockStepMS)
}

func (f *Fleet) close() {
	for _, h := range f.order {
		h.cut()
		h.server.close()
	}
}

// VMs is the servers' names and addresses, whatever the list of VMs shows.
func (f *Fleet) VMs() []ibisserver.VM {
	var vms []ibisserver.VM
	for _, h := range f.order {
		vms = append(vms, h.vm)
	}
	return vms
}

// VMList is the list of VMs, which shows changes with a lag.
func (f *Fleet) VMList() *VMs { return f.vms }

// Server is the backend server of this name, or nil.
func (f *Fleet) Server(name string) *Server {
	if h := f.byName[name]; h != nil {
		return h.server
	}
	return nil
}

// LoseVM ends a VM with all its tasks and closes its connections. The list of VMs learns nothing of it.
func (f *Fleet) LoseVM(name string) error {
	h := f.byName[name]
	if h == nil {
		return Error.New("no server %q", name)
	}
	h.lose()
	return nil
}

// StartVM serves a lost VM again, empty, at its former address.
func (f *Fleet) StartVM(name string) error {
	h := f.byName[name]
	if h == nil {
		return Error.New("no server %q", name)
	}
	return h.listen()
}

// FleetFaults is the body of a POST to a fleet's /faults: it replaces the faults of the named servers, or
// of all when it names none.
type FleetFaults struct {
	Servers []string     `json:"Servers,omitempty"`
	Faults  ServerFaults `json:"Faults"`
}

// SetFaults replaces faults.
func (f *Fleet) SetFaults(ff FleetFaults) error {
	names := ff.Servers
	if len(names) == 0 {
		for _, h := range f.order {
			names = append(names, h.vm.Name)
		}
	}
	for _, name := range names {
		s := f.Server(name)
		if s == nil {
			return Error.New("no server %q", name)
		}
		s.SetFaults(ff.Faults)
	}
	return nil
}

// Stats is the counts of every server.
func (f *Fleet) Stats() []ServerStats {
	var all []ServerStats
	for _, h := range f.order {
		all = append(all, h.server.Stats())
	}
	return all
}

// History is the whole history of every server, one after the other.
func (f *Fleet) History() []Entry {
	all := []Entry{}
	for _, h := range f.order {
		all = append(all, h.server.History(0).Entries...)
	}
	return all
}

// Handler serves the list of VMs and what concerns the fleet as a whole: /faults, /stats, /history, and
// POST /lose and /start with the query parameter "name". None of it suffers the faults of the servers.
func (f *Fleet) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle(ibisserver.PathVMs, f.vms)
	r.HandleFunc(PathFaults, f.serveFaults).Methods(http.MethodPost)
	r.HandleFunc(PathStats, func(w http.ResponseWriter, _ *http.Request) {
		ibishttp.WriteJSON(w, http.StatusOK, f.Stats())
	})
	r.HandleFunc(PathHistory, func(w http.ResponseWriter, _ *http.Request) {
		ibishttp.WriteJSON(w, http.StatusOK, HistoryReply{Entries: f.History()})
	})
	r.HandleFunc("/lose", serveNamed(f.LoseVM)).Methods(http.MethodPost)
	r.HandleFunc("/start", serveNamed(f.StartVM)).Methods(http.MethodPost)
	return r
}

func (f *Fleet) serveFaults(w http.ResponseWriter, r *http.Request) {
	var ff FleetFaults
	err := ibishttp.ReadJSON(w, r, &ff)
	if err == nil {
		err = f.SetFaults(ff)
	}
	if err != nil {
		badRequest(w, err)
		return
	}
	ibishttp.WriteJSON(w, http.StatusOK, ff)
}

func serveNamed(do func(name string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := do(r.URL.Query().Get("name")); err != nil {
			badRequest(w, err)
			return
		}
		ibishttp.WriteJSON(w, http.StatusOK, struct{}{})
	}
}
