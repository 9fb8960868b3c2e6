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

// FleetConfig configures a fleet. Lags are in milliseconds.
type FleetConfig struct {
	ListenBase     string             // of the first server, the others follow by port; "127.0.0.1:0" if empty
	Count          int                // number of servers
	Capacity       ibiswork.Resources // of each server
	FailureDomains []string           // assigned to the servers in turn; "fd-1" if empty
	RackSize       int                // servers in each rack; zero puts each failure domain into one rack
	UsageLagMS     int64              // from the start of a task to its first usage report
	VMLagMS        int64              // until the VM list shows a change
}

// Initial readings of the servers' clocks, which differ from each other and from the wall clock.
const (
	firstClockMS = 1_000_000
	clockStepMS  = 777_777
)

// Fleet runs several backend servers in one process, each on its own port, and the list of their VMs.
type Fleet struct {
	vms    *VMs
	hosts  []*host
	byName map[string]*host
}

// host is a VM with its backend server and listener.
type host struct {
	vm     ibisserver.VM
	server *Server
	clk    Clock

	mu   sync.Mutex
	http *http.Server // nil while the VM is lost
}

// NewFleet creates the servers and starts listening. A nil clk means the system clock. The returned function closes
// the servers and their listeners. NewFleet fails with Error if an address is invalid or can't be listened on.
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
		f.hosts = append(f.hosts, h)
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
	h := &host{clk: clockOrSystem(clk), vm: ibisserver.VM{
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

// nthAddress returns base with its port increased by i. Port 0, which lets the system choose, stays 0.
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

// listen starts serving the host at its address, unless it is being served already. A port 0 in the address is
// replaced by the port that the system chose, so that the host keeps it after a restart.
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

// disconnect closes the listener and all connections.
func (h *host) disconnect() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.http != nil {
		_ = h.http.Close() // the listener is discarded, so a failure to close it needs no handling
		h.http = nil
	}
}

// loseVM simulates the loss of the VM with all its tasks. The faults of its server are cleared, and the clock of the
// server jumps as it does when a new VM starts.
func (h *host) loseVM() {
	h.disconnect()
	h.server.SetFaults(ServerFaults{})
	h.server.LoseVM(h.server.Clock() + clockStepMS)
}

func (f *Fleet) close() {
	for _, h := range f.hosts {
		h.disconnect()
		h.server.close()
	}
}

// VMs returns the VMs of all servers with their actual addresses, regardless of what the VM list shows.
func (f *Fleet) VMs() []ibisserver.VM {
	var vms []ibisserver.VM
	for _, h := range f.hosts {
		vms = append(vms, h.vm)
	}
	return vms
}

// VMList returns the VM list, which shows changes with a lag.
func (f *Fleet) VMList() *VMs { return f.vms }

// Server returns the backend server with this name, or nil if there is none.
func (f *Fleet) Server(name string) *Server {
	if h := f.byName[name]; h != nil {
		return h.server
	}
	return nil
}

// LoseVM simulates the loss of a VM: all its tasks end as Lost and its connections are closed. The VM list doesn't
// change. It fails with Error if there is no such server.
func (f *Fleet) LoseVM(name string) error {
	h := f.byName[name]
	if h == nil {
		return Error.New("server %q does not exist in the fleet", name)
	}
	h.loseVM()
	return nil
}

// StartVM starts a lost VM again, without tasks, at its former address. It fails with Error if there is no such
// server or its address can't be listened on.
func (f *Fleet) StartVM(name string) error {
	h := f.byName[name]
	if h == nil {
		return Error.New("server %q does not exist in the fleet", name)
	}
	return h.listen()
}

// FleetFaults is the body of a POST to /faults of a fleet. It replaces the faults of the named servers, or of all
// servers if it names none.
type FleetFaults struct {
	Servers []string     `json:"Servers,omitempty"`
	Faults  ServerFaults `json:"Faults"`
}

// SetFaults replaces the faults of the named servers, or of all servers if ff names none. It fails with Error at the
// first unknown name; the servers named before it then have their new faults already.
func (f *Fleet) SetFaults(ff FleetFaults) error {
	names := ff.Servers
	if len(names) == 0 {
		for _, h := range f.hosts {
			names = append(names, h.vm.Name)
		}
	}
	for _, name := range names {
		s := f.Server(name)
		if s == nil {
			return Error.New("server %q does not exist in the fleet", name)
		}
		s.SetFaults(ff.Faults)
	}
	return nil
}

// Stats returns the counters of every server.
func (f *Fleet) Stats() []ServerStats {
	var all []ServerStats
	for _, h := range f.hosts {
		all = append(all, h.server.Stats())
	}
	return all
}

// History returns the complete histories of all servers, one server after the other.
func (f *Fleet) History() []Entry {
	all := []Entry{}
	for _, h := range f.hosts {
		all = append(all, h.server.History(0).Entries...)
	}
	return all
}

// Handler serves the VM list and the control paths of the whole fleet: /faults, /stats, /history, and POST /lose and
// /start with the query parameter "name". The faults of the servers don't affect it.
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

func serveNamed(action func(name string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := action(r.URL.Query().Get("name")); err != nil {
			badRequest(w, err)
			return
		}
		ibishttp.WriteJSON(w, http.StatusOK, struct{}{})
	}
}
