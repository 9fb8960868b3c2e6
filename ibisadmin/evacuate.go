package ibisadmin

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

const (
	// inForceWait is how long the answer to a change of an evacuation waits for daemons to report its version. The
	// change is stored by then; heartbeats carry the version to all daemons within a few hundred milliseconds.
	inForceWait = 1 * time.Second
	// inForceInterval is the time between two looks at the versions of the daemons.
	inForceInterval = 20 * time.Millisecond
)

// Domains knows the failure domains of the deployment and the version of the configuration at each daemon.
type Domains interface {
	// FailureDomains returns the number of backend servers in each known failure domain, which is zero for those with
	// daemons only. It returns false until the platform's list of VMs has been read.
	FailureDomains() (servers map[string]int, ok bool)
	// InForce returns the number of known daemons, and how many have reported this version of the configuration or a
	// later one.
	InForce(version int64) (daemons, inForce int)
}

// DomainState is the state of one failure domain.
type DomainState struct {
	FailureDomain string                 `json:"FailureDomain"`
	Evacuation    *ibisconfig.Evacuation `json:"Evacuation,omitempty"` // nil if it is not evacuated
	Daemons       int                    `json:"Daemons"`              // known daemons
	InForce       int                    `json:"InForce"`              // those that have the evacuation in force
	Servers       []string               `json:"Servers"`              // backend servers, by name
	Running       int                    `json:"Running"`              // tasks on these servers
}

// domainStates returns the state of every failure domain that has servers or is evacuated, evacuated ones first.
func (a *Admin) domainStates(v View) []DomainState {
	states := make(map[string]*DomainState)
	find := func(name string) *DomainState {
		if states[name] == nil {
			states[name] = &DomainState{FailureDomain: name}
		}
		return states[name]
	}
	for _, s := range v.Overview.Servers {
		if s.State != ServerGone {
			d := find(s.FailureDomain)
			d.Servers, d.Running = append(d.Servers, s.Name), d.Running+s.Running
		}
	}
	for name, e := range v.Config.Evacuations {
		d := find(name)
		d.Evacuation = &e
		d.Daemons, d.InForce = a.Domains.InForce(e.Version)
	}
	var list []DomainState
	for _, name := range slices.Sorted(maps.Keys(states)) {
		list = append(list, *states[name])
	}
	slices.SortStableFunc(list, func(x, y DomainState) int { return cmp.Compare(rank(x), rank(y)) })
	return list
}

func rank(d DomainState) int {
	if d.Evacuation != nil {
		return 0
	}
	return 1
}

func (a *Admin) getEvacuations(r *http.Request, _ operator) (any, error) {
	v := a.view(r.Context())
	if v.FleetErr != "" {
		return nil, ibiswork.Refuse(ibiswork.CodeUnreachable, "failure domains: %s", v.FleetErr)
	}
	return a.domainStates(v), nil
}

// evacuate requests the evacuation of a failure domain that has backend servers.
func (a *Admin) evacuate(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	domain := mux.Vars(r)["domain"]
	servers, ok := a.Domains.FailureDomains()
	if a.Config.Snapshot().EvacuationVersion(domain) == 0 { // a repeat is accepted whatever has become of its servers
		if err := checkDomain(domain, servers, ok); err != nil {
			return ChangeReply{}, err
		}
	}
	reply, err := a.apply(r, op, req, func(c *ibisconfig.Change) { c.Evacuate = &ibisconfig.Evacuate{FailureDomain: domain} })
	if err != nil {
		return reply, err
	}
	reply = a.withInForce(r.Context(), reply)
	switch {
	case a.Config.Snapshot().EvacuationVersion(domain) == 0: // a repeat of an earlier change
		reply.InForce, reply.Warning = 0, fmt.Sprintf("the evacuation of %s has been withdrawn since", domain)
	case ok && a.domainsLeft(servers) == 0:
		reply.Warning = fmt.Sprintf("all failure domains with backend servers are evacuated (%s): nothing more is started, and new requests are refused until an evacuation is withdrawn",
			withServers(servers))
	}
	evacuationLog(op, domain, reply, servers[domain]).Info("EvacuationRequested")
	return reply, nil
}

// withdrawEvacuation ends the evacuation of a failure domain.
func (a *Admin) withdrawEvacuation(r *http.Request, op operator, req ChangeRequest) (ChangeReply, error) {
	domain := mux.Vars(r)["domain"]
	servers, _ := a.Domains.FailureDomains()
	reply, err := a.apply(r, op, req, func(c *ibisconfig.Change) {
		c.WithdrawEvacuation = &ibisconfig.WithdrawEvacuation{FailureDomain: domain}
	})
	if ibisconfig.NotFound.Has(err) {
		return reply, ibiswork.Refuse(ibiswork.CodeNotFound, "%v; failure domains with backend servers: %s", err, withServers(servers))
	}
	if err != nil {
		return reply, err
	}
	reply = a.withInForce(r.Context(), reply)
	evacuationLog(op, domain, reply, servers[domain]).Info("EvacuationWithdrawalRequested")
	return reply, nil
}

// evacuationLog describes a change of an evacuation.
func evacuationLog(op operator, domain string, reply ChangeReply, servers int) *log.Entry {
	return log.WithFields(log.Fields{
		"FailureDomain": domain, "Operator": op.Name, "Version": reply.Version, "Repeated": reply.Repeated, "Servers": servers,
		"Daemons": reply.Daemons, "InForce": reply.InForce, "Warning": reply.Warning,
	})
}

// checkDomain refuses a failure domain that is unknown or has no backend servers.
func checkDomain(domain string, servers map[string]int, ok bool) error {
	n, known := servers[domain]
	switch {
	case !ok:
		return ibiswork.Refuse(ibiswork.CodeUnreachable, "this daemon has not read the list of VMs yet, so the failure domains are not known").WithRetryAfter(storeRetryAfter)
	case !known:
		return ibiswork.Refuse(ibiswork.CodeNotFound, "there is no failure domain %q; failure domains with backend servers: %s", domain, withServers(servers))
	case n == 0:
		return ibiswork.Refuse(ibiswork.CodeBadRequest, "the failure domain %s has no backend servers; failure domains with backend servers: %s", domain, withServers(servers))
	}
	return nil
}

// withServers lists the failure domains that have backend servers.
func withServers(servers map[string]int) string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		if servers[name] > 0 {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// domainsLeft returns the number of failure domains with backend servers that are not evacuated.
func (a *Admin) domainsLeft(servers map[string]int) int {
	snap, left := a.Config.Snapshot(), 0
	for name, n := range servers {
		if n > 0 && snap.EvacuationVersion(name) == 0 {
			left++
		}
	}
	return left
}

// withInForce waits up to inForceWait until all known daemons have reported the version of the reply, and adds how
// many have.
func (a *Admin) withInForce(ctx context.Context, reply ChangeReply) ChangeReply {
	ctx, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	ticker := time.NewTicker(inForceInterval)
	defer ticker.Stop()
	for {
		reply.Daemons, reply.InForce = a.Domains.InForce(reply.Version)
		if reply.InForce >= reply.Daemons {
			return reply
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return reply
		}
	}
}
