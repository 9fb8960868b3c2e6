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

const collectTimeout = 2 * time.Second

func (n *node) registerAdmin(r *mux.Router) error {
	a, err := ibisadmin.New(ibisadmin.Deps{
		Config: n.config, Withdrawer: withdrawer{n}, Fleet: fleet{n}, Queues: n.router, Burn: burnSource{n}, Daemon: n.inc.ID(),
	})
	if err != nil {
		return Error.Wrap(err)
	}
	a.Register(r)
	return nil
}

// metrics writes every metric as JSON.
func (n *node) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.Encode(n.registry)
}

// snapshot gives the configuration in force here to another daemon.
func (n *node) snapshot(context.Context, *ibiswire.SnapshotRequest) (*ibisconfig.Snapshot, error) {
	return n.config.Snapshot(), nil
}

// burnPart gives this daemon's part of the report on service-level burn.
func (n *node) burnPart(context.Context, *ibiswire.BurnRequest) (*ibisburn.Part, error) {
	p := n.burn.Part(n.inc.ID(), time.Now())
	return &p, nil
}

// burnSource collects the parts of all daemons.
type burnSource struct{ n *node }

// Collect asks every daemon for its part, and lists those that did not answer.
func (s burnSource) Collect(ctx context.Context) (parts []ibisburn.Part, missing []string) {
	collect(ctx, s.n, ibiswire.MethodBurn, &ibiswire.BurnRequest{}, func(m ibispeer.Member, p *ibisburn.Part, err error) {
		if err != nil {
			missing = append(missing, m.ID())
			return
		}
		parts = append(parts, *p)
	})
	return parts, missing
}

// collect calls a method at every daemon at once and hands each reply to take, one at a time.
func collect[Reply any](ctx context.Context, n *node, method string, req any, take func(ibispeer.Member, *Reply, error)) {
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
			take(m, reply, err)
		}()
	}
	wg.Wait()
}

// withdrawer puts a withdrawal in force at all daemons without the store.
type withdrawer struct{ n *node }

// Withdraw denies the key here and at the others. It returns nil once more than half of the daemons deny
// it and those that did not answer have had the time to find that they are cut off.
func (w withdrawer) Withdraw(ctx context.Context, h ibisconfig.KeyHash) error {
	w.n.config.Deny(h)
	answered, all := w.n.peers.Spread(ctx)
	if 2*answered <= all {
		return ibiswork.Refuse(ibiswork.CodeUnreachable, "only %d of %d daemons deny the key", answered, all).WithMaybeRun()
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

// fleet tells operators the state of the fleet.
type fleet struct{ n *node }

// Overview collects what every daemon says of its backend servers.
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
		o.Servers = append(o.Servers, f.listed(vm, owned))
	}
	for _, m := range n.view().Members {
		o.Daemons = append(o.Daemons, f.daemon(m, answers[m.ID()], now))
	}
	o.Store = f.store(now)
	o.Teams = f.teams()
	return o, nil
}

func backendServer(owner string, s ibiswire.ServerInfo) ibisadmin.BackendServer {
	b := ibisadmin.BackendServer{
		Name: s.Name, FailureDomain: s.FailureDomain, Rack: s.Rack, Owner: owner, Free: s.Capacity.Sub(s.Used), Used: s.Used,
		Capacity: s.Capacity, Running: s.Running, State: ibisadmin.ServerLive, SetAside: s.Aside != "", Reason: s.Aside, ByOperator: s.ByOperator,
	}
	switch {
	case s.State != ibiswire.Claimed:
		b.State = ibisadmin.ServerUnreachable
	case s.Leaving:
		b.State = ibisadmin.ServerLeaving
	}
	return b
}

// listed is a VM of the platform's list with what its owner says of it.
func (f fleet) listed(vm ibisserver.VM, owned map[string]ibisadmin.BackendServer) ibisadmin.BackendServer {
	if vm.State == ibisserver.Gone {
		return ibisadmin.BackendServer{Name: vm.Name, FailureDomain: vm.FailureDomain, Rack: vm.Rack, State: ibisadmin.ServerGone}
	}
	if b, ok := owned[vm.Name]; ok {
		return b
	}
	// Whether a server without an owner answers is not known; its own alert says that it gets no work.
	return ibisadmin.BackendServer{Name: vm.Name, FailureDomain: vm.FailureDomain, Rack: vm.Rack, State: ibisadmin.ServerLive}
}

func (f fleet) daemon(m ibispeer.Member, answers bool, now time.Time) ibisadmin.Daemon {
	d := m.Digest
	return ibisadmin.Daemon{
		Incarnation: m.ID(), Address: d.Row.HTTPAddress, FailureDomain: d.Row.FailureDomain, State: d.State,
		ConfigVersion: d.ConfigVersion, NewsAgeMS: now.Sub(m.Heard).Milliseconds(), Answers: answers,
	}
}

func (f fleet) store(now time.Time) ibisadmin.StoreHealth {
	away := now.Sub(f.n.news.configAt())
	s := ibisadmin.StoreHealth{Reachable: away < time.Duration(f.n.settings.CutOffMS)*time.Millisecond && f.n.journal.Healthy()}
	if !s.Reachable {
		s.AwayMS = away.Milliseconds()
	}
	return s
}

// teams adds up the digests of all daemons.
func (f fleet) teams() []ibisadmin.TeamLoad {
	snap := f.n.config.Snapshot()
	loads := make(map[string]*ibisadmin.TeamLoad)
	shares := 0.0
	for name, t := range snap.Teams {
		loads[name] = &ibisadmin.TeamLoad{Name: name, UpperLimit: t.UpperLimit}
		shares += t.Share
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
		l.DeservedShare = snap.Teams[name].Share / shares
		list = append(list, *l)
	}
	return list
}
