package ibisowner

import (
	"context"
	"time"

	"ibiscrank/ibisserver"
)

// renewLoop renews the leases of the running tasks on s, four times per lease length.
func (o *Owner) renewLoop(ctx context.Context, s *server) {
	for sleep(ctx, o.cfg.Lease/4) {
		var req ibisserver.RenewRequest
		if o.loop.Do(ctx, func() { req = o.renewRequest(s) }) != nil {
			return
		}
		if len(req.Leases) == 0 {
			continue
		}
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		reply, err := s.api.Renew(callCtx, req)
		cancel()
		switch {
		case err == nil:
			_ = o.loop.Do(ctx, func() { o.handleRenewed(s, req, reply, sent) })
		case ibisserver.Fenced.Has(err):
			o.handleFenced(s, err)
		default:
			_ = o.loop.Do(ctx, func() { o.renewalFailed(req) })
		}
	}
}

// renewRequest lists the leases on s to renew. An owner that has been without contact for
// MaxRenewalWithoutContact renews none, so that other daemons can rely on their expiry.
func (o *Owner) renewRequest(s *server) ibisserver.RenewRequest {
	req := ibisserver.RenewRequest{Epoch: s.epoch}
	if !s.claimed || time.Since(time.Unix(0, o.lastContact.Load())) > MaxRenewalWithoutContact {
		return req
	}
	for _, t := range o.tasks {
		if t.server == s.vm.Name && t.started && !t.stopping {
			req.Leases = append(req.Leases, ibisserver.Lease{ID: t.id, End: o.grantLease(s)})
		}
	}
	return req
}

// isCurrent reports whether a reply to a call made under epoch still applies to s. It does not when the
// server was released or claimed again since the call: the VM may have restarted, with another clock.
func (o *Owner) isCurrent(s *server, epoch int64) bool {
	return o.servers[s.vm.Name] == s && s.epoch == epoch
}

func (o *Owner) handleRenewed(s *server, req ibisserver.RenewRequest, reply ibisserver.Reply, sent time.Time) {
	if !o.isCurrent(s, req.Epoch) {
		return
	}
	now := time.Now()
	o.updateClock(s, reply.Clock, sent)
	for _, l := range req.Leases {
		if t := o.tasks[l.ID]; t != nil {
			o.fireLeaseEvent(t, "Renew")
		}
	}
	o.applyRecords(s, reply.Records, now)
}

func (o *Owner) renewalFailed(req ibisserver.RenewRequest) {
	for _, l := range req.Leases {
		if t := o.tasks[l.ID]; t != nil {
			o.fireLeaseEvent(t, "Silence")
		}
	}
}
