package ibisdaemon

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisburn"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibispeer"
	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

const collectTimeout = 2 * time.Second // for the replies of all daemons together

// registerAdmin adds the operators' routes.
func (n *node) registerAdmin(r *mux.Router) error {
	a, err := ibisadmin.New(ibisadmin.Deps{
		Config: n.config, Withdrawer: withdrawer{n}, Fleet: fleet{n}, Domains: fleet{n}, Queues: n.router, Burn: burnSource{n}, Daemon: n.inc.ID(),
	})
	if err != nil {
		return Error.Wrap(err)
	}
	a.Register(r)
	return nil
}

// metrics writes the values of all metrics as JSON.
func (n *node) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(n.registry)
}

// snapshot returns the configuration in force here, for another daemon.
func (n *node) snapshot(context.Context, *ibiswire.SnapshotRequest) (*ibisconfig.Snapshot, error) {
	return n.config.Snapshot(), nil
}

// burnCounts returns this daemon's counts for the burn report.
func (n *node) burnCounts(context.Context, *ibiswire.BurnRequest) (*ibisburn.DaemonCounts, error) {
	p := n.burn.Counts(n.inc.ID(), time.Now())
	return &p, nil
}

// burnSource collects the counts for the burn report from all daemons.
type burnSource struct{ n *node }

// Collect asks every daemon for its counts. Missing lists the daemons that did not answer in time.
func (s burnSource) Collect(ctx context.Context) (counts []ibisburn.DaemonCounts, missing []string) {
	collect(ctx, s.n, ibiswire.MethodBurn, &ibiswire.BurnRequest{}, func(m ibispeer.Member, p *ibisburn.DaemonCounts, err error) {
		if err != nil {
			missing = append(missing, m.ID())
			return
		}
		counts = append(counts, *p)
	})
	return counts, missing
}

// collect calls a method of every daemon concurrently and passes each reply to handle, one at a time.
func collect[Reply any](ctx context.Context, n *node, method string, req any, handle func(ibispeer.Member, *Reply, error)) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range n.view().Members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply, err := ibisrpc.Call[Reply](ctx, n.pool, m.Digest.Row.Address, method, req)
			mu.Lock()
			defer mu.Unlock()
			handle(m, reply, err)
		}()
	}
	wg.Wait()
}

// withdrawer makes a withdrawn key invalid at all daemons without the table service.
type withdrawer struct{ n *node }

// Withdraw denies the key here and at the other daemons. It returns nil once more than half of the daemons
// deny the key and the rest has had CutOffMS to detect that it is cut off, so that it refuses keyed requests.
func (w withdrawer) Withdraw(ctx context.Context, h ibisconfig.KeyHash) error {
	w.n.config.Deny(h)
	answered, all := w.n.peers.Broadcast(ctx)
	if 2*answered <= all {
		return ibiswork.Refuse(ibiswork.CodeUnreachable, "withdrawal of the key confirmed by only %d of %d daemons", answered, all).WithMaybeRun()
	}
	if answered < all {
		select {
		case <-time.After(time.Duration(w.n.settings.CutOffMS) * time.Millisecond):
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
	return nil
}

// fleet reports the state of the fleet to operators.
type fleet struct{ n *node }

// Overview collects the state of the backend servers from all daemons. When two daemons report the same
// server, the report of a daemon that can reach it is used.
func (f fleet) Overview(ctx context.Context) (ibisadmin.Overview, error) {
	n, now := f.n, time.Now()
	o := ibisadmin.Overview{At: now}
	owned := make(map[string]ibisadmin.BackendServer)
	answers := make(map[string]bool)
	collect(ctx, n, ibiswire.MethodServers, &ibiswire.ServersRequest{}, func(m ibispeer.Member, r *ibiswire.ServersReply, err error) {
		if err != nil {
			return
		}
		answers[m.ID()] = true
		for _, s := range r.Servers {
			if old, ok := owned[s.Name]; !ok || old.State == ibisadmin.ServerUnreachable {
				owned[s.Name] = backendServer(m.ID(), s)
			}
		}
	})
	for _, vm := range n.vms.list() {
		o.Servers = append(o.Servers, f.serverEntry(vm, owned))
	}
	for _, m := range n.view().Members {
		o.Daemons = append(o.Daemons, f.daemonEntry(m, answers[m.ID()], now))
	}
	o.Store = f.storeHealth(now)
	o.Teams = f.teamLoads()
	return o, nil
}

// FailureDomains returns the number of backend servers in each failure domain of the VM list and of the daemons, or
// false until that list has been read.
func (f fleet) FailureDomains() (servers map[string]int, ok bool) {
	vms := f.n.vms.list()
	if vms == nil {
		return nil, false
	}
	servers = make(map[string]int)
	for _, m := range f.n.view().Members {
		servers[m.Digest.Row.FailureDomain] += 0
	}
	for _, vm := range vms {
		if vm.State != ibisserver.Gone {
			servers[vm.FailureDomain]++
		}
	}
	return servers, true
}

// InForce returns the number of live daemons, and of those whose last heartbeat named this version of the
// configuration or a later one. An owner heeds its configuration at each start, so the version is in force there.
func (f fleet) InForce(version int64) (daemons, inForce int) {
	for _, m := range f.n.view().Members {
		daemons++
		v := m.Digest.ConfigVersion
		if m.ID() == f.n.inc.ID() {
			v = f.n.config.Snapshot().Version // its own digest is renewed only with the next heartbeat
		}
		if v >= version {
			inForce++
		}
	}
	return daemons, inForce
}

func backendServer(owner string, s ibiswire.ServerInfo) ibisadmin.BackendServer {
	b := ibisadmin.BackendServer{
		Name: s.Name, FailureDomain: s.FailureDomain, Rack: s.Rack, Owner: owner, Free: s.Capacity.Sub(s.Used), Used: s.Used,
		Capacity: s.Capacity, Running: s.Running, State: ibisadmin.ServerLive, SetAside: s.SetAsideReason != "", Reason: s.SetAsideReason, ByOperator: s.ByOperator,
	}
	switch {
	case s.State != ibiswire.Claimed:
		b.State = ibisadmin.ServerUnreachable
	case s.Leaving:
		b.State = ibisadmin.ServerLeaving
	}
	return b
}

// serverEntry returns the entry of a VM of the platform's list, with what its owner reports about it.
func (f fleet) serverEntry(vm ibisserver.VM, owned map[string]ibisadmin.BackendServer) ibisadmin.BackendServer {
	if vm.State == ibisserver.Gone {
		return ibisadmin.BackendServer{Name: vm.Name, FailureDomain: vm.FailureDomain, Rack: vm.Rack, State: ibisadmin.ServerGone}
	}
	if b, ok := owned[vm.Name]; ok {
		return b
	}
	// It is not known whether a server without an owner responds. A separate alert reports servers without one.
	return ibisadmin.BackendServer{Name: vm.Name, FailureDomain: vm.FailureDomain, Rack: vm.Rack, State: ibisadmin.ServerLive}
}

func (f fleet) daemonEntry(m ibispeer.Member, answers bool, now time.Time) ibisadmin.Daemon {
	d := m.Digest
	return ibisadmin.Daemon{
		Incarnation: m.ID(), Address: d.Row.HTTPAddress, FailureDomain: d.Row.FailureDomain, State: d.State,
		ConfigVersion: d.ConfigVersion, ContactAgeMS: now.Sub(m.LastContact).Milliseconds(), Answers: answers,
	}
}

// storeHealth returns the state of the table service as this daemon sees it. AwayMS is the time since the
// last read of the configuration.
func (f fleet) storeHealth(now time.Time) ibisadmin.StoreHealth {
	sinceRead := now.Sub(f.n.configRead.last())
	s := ibisadmin.StoreHealth{Reachable: sinceRead < time.Duration(f.n.settings.CutOffMS)*time.Millisecond && f.n.journal.Healthy()}
	if !s.Reachable {
		s.AwayMS = sinceRead.Milliseconds()
	}
	return s
}

// teamLoads returns the load of every team, summed over the digests of all daemons.
func (f fleet) teamLoads() []ibisadmin.TeamLoad {
	snap := f.n.config.Snapshot()
	loads := make(map[string]*ibisadmin.TeamLoad)
	totalShare := 0.0
	for name, t := range snap.Teams {
		loads[name] = &ibisadmin.TeamLoad{Name: name, UpperLimit: t.UpperLimit}
		totalShare += t.Share
	}
	var capacity ibiswork.Resources
	for _, m := range f.n.view().Members {
		capacity = capacity.Add(m.Digest.Load.Capacity)
		for _, u := range m.Digest.Load.Teams {
			if l := loads[u.Team]; l != nil {
				l.Running, l.Queued = l.Running.Add(u.Used), l.Queued+u.Queued
			}
		}
	}
	var list []ibisadmin.TeamLoad
	for name, l := range loads {
		l.RunningTasks = int(l.Running.Slots)
		l.Share = l.Running.Dominant(capacity)
		l.DeservedShare = snap.Teams[name].Share / totalShare
		list = append(list, *l)
	}
	return list
}
