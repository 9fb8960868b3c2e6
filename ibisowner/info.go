package ibisowner

import (
	"context"
	"time"

	"ibiscrank/ibiswire"
)

// Servers lists the servers that this daemon owns or is trying to claim.
func (o *Owner) Servers(ctx context.Context, _ *ibiswire.ServersRequest) (*ibiswire.ServersReply, error) {
	reply := &ibiswire.ServersReply{Incarnation: o.cfg.Self}
	err := o.loop.Do(ctx, func() {
		for _, s := range o.servers {
			reply.Servers = append(reply.Servers, o.info(s))
		}
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return reply, nil
}

func (o *Owner) info(s *server) ibiswire.ServerInfo {
	f, _ := o.fleet.Server(s.vm.Name)
	info := ibiswire.ServerInfo{
		Name: s.vm.Name, State: ibiswire.Uncertain, FailureDomain: s.vm.FailureDomain, Rack: s.vm.Rack,
		Capacity: f.Capacity, Used: f.Used, Running: s.count, Leaving: s.leaving, SetAsideReason: s.aside, ByOperator: s.aside != "",
	}
	switch {
	case s.leasesExpired:
		info.State = ibiswire.LeasesExpired
	case s.claimed:
		info.State = ibiswire.Claimed
	}
	if reason, ok := o.guard.Reason(s.vm.Name); ok && !info.ByOperator {
		info.SetAsideReason = reason
	}
	if s.claimed && !s.leasesExpired && time.Since(s.lastContact) > StartWindow {
		info.State = ibiswire.Uncertain
	}
	return info
}
