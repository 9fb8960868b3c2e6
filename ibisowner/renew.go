package ibisowner

import (
	"context"
	"time"

	"ibiscrank/ibisserver"
)

// renewals extends the leases of the running tasks of s.
func (o *Owner) renewals(ctx context.Context, s *server) {
	for sleep(ctx, o.cfg.Lease/4) {
		var req ibisserver.RenewRequest
		if o.loop.Do(ctx, func() { req = o.renewal(s) }) != nil {
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
			_ = o.loop.Do(ctx, func() { o.renewed(s, req, reply, sent) })
		case ibisserver.Fenced.Has(err):
			o.fenced(s, err)
		default:
			_ = o.loop.Do(ctx, func() { o.renewalFailed(req) })
		}
	}
}

// renewal lists the leases of s to extend. An owner without news for long extends none, so that another
// may count on their end.
func (o *Owner) renewal(s *server) ibisserver.RenewRequest {
	req := ibisserver.RenewRequest{Epoch: s.epoch}
	if !s.claimed || time.Since(time.Unix(0, o.newsAt.Load())) > OrphanRenewal {
		return req
	}
	for _, t := range o.tasks {
		if t.server == s.vm.Name && t.started && !t.stopping {
			req.Leases = append(req.Leases, ibisserver.Lease{ID: t.id, End: o.lease(s)})
		}
	}
	return req
}

// present reports whether a reply to a call under epoch still tells of s: the server was not given up since,
// nor claimed again, perhaps after its VM was started anew with another clock.
func (o *Owner) present(s *server, epoch int64) bool {
	return o.servers[s.vm.Name] == s && s.epoch == epoch
}

func (o *Owner) renewed(s *server, req ibisserver.RenewRequest, reply ibisserver.Reply, sent time.Time) {
	if !o.present(s, req.Epoch) {
		return
	}
	now := time.Now()
	o.read(s, reply.Clock, sent)
	for _, l := range req.Leases {
		if t := o.tasks[l.ID]; t != nil {
			o.fireLease(t, "Renew")
		}
	}
	o.records(s, reply.Records, now)
}

func (o *Owner) renewalFailed(req ibisserver.RenewRequest) {
	for _, l := range req.Leases {
		if t := o.tasks[l.ID]; t != nil {
			o.fireLease(t, "Silence")
		}
	}
}
