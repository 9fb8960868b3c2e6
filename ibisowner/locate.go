package ibisowner

import (
	"context"
	"time"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// Release gives up the queued and reserved places of an attempt, and stops its running tasks.
func (o *Owner) Release(ctx context.Context, req *ibiswire.ReleaseRequest) (*ibiswire.ReleaseReply, error) {
	reply := &ibiswire.ReleaseReply{}
	var refused error
	err := o.loop.Do(ctx, func() {
		if refused = o.checkHolder(req.From); refused != nil {
			return
		}
		o.close(req.ID, req.Attempt)
		if it := o.items[req.ID]; it != nil && it.attempt <= req.Attempt {
			o.dropItem(it, ibiswork.Refuse(ibiswork.CodeStale, "released"))
			reply.Stopping = it.state == starting
		}
		var stop []*task
		for _, t := range o.tasks {
			if t.id.Request == req.ID && t.id.Attempt <= req.Attempt && t.sent {
				stop = append(stop, t)
			}
		}
		o.stopTasks(stop)
		reply.Stopping = reply.Stopping || len(stop) > 0
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if refused != nil {
		return nil, refused
	}
	return reply, nil
}

// Locate lists what this owner knows of a request, or of a whole shard, and the servers for which that is
// complete.
func (o *Owner) Locate(ctx context.Context, req *ibiswire.LocateRequest) (*ibiswire.LocateReply, error) {
	settled, err := o.settle(ctx, req)
	if err != nil {
		return nil, err
	}
	reply := &ibiswire.LocateReply{}
	var refused error
	err = o.loop.Do(ctx, func() {
		if refused = o.checkHolder(req.From); refused != nil {
			return
		}
		o.locate(req, settled, reply)
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if refused != nil {
		return nil, refused
	}
	return reply, nil
}

func (o *Owner) locate(req *ibiswire.LocateRequest, settled map[string]bool, reply *ibiswire.LocateReply) {
	if req.ID != "" {
		o.close(req.ID, req.Attempt)
		if it := o.items[req.ID]; it != nil && it.attempt <= req.Attempt {
			o.dropItem(it, ibiswork.Refuse(ibiswork.CodeStale, "closed"))
		}
	}
	_, moved := o.moved[req.ID]
	reply.Clean = req.ID != "" && !moved
	match := func(id ibisserver.TaskID, shard int) bool {
		return shard == req.From.Shard && (req.ID == "" || id.Request == req.ID)
	}
	busy := make(map[string]bool) // servers with a start under way
	for _, t := range o.tasks {
		if !match(t.id, t.meta.Shard) {
			continue
		}
		reply.Clean = reply.Clean && !t.sent && !t.started
		if t.started {
			reply.Events = append(reply.Events, o.event(t, ibiswire.TaskRunning))
		} else if t.sent {
			busy[t.server] = true
		}
	}
	for _, out := range o.outbox {
		if match(out.event.Task, out.event.Meta.Shard) && out.event.State.Ended() {
			reply.Events = append(reply.Events, out.event)
			reply.Clean = false
		}
	}
	wanted := make(map[string]bool, len(req.Settle))
	for _, p := range req.Settle {
		wanted[p.Server] = true
	}
	for name, s := range o.servers {
		if !s.claimed && !s.lapsed {
			continue // nothing is known of it here
		}
		state := ibiswire.Silent
		switch {
		case s.lapsed:
			state = ibiswire.Lapsed
		case s.claimed && !busy[name] && (!wanted[name] || settled[name]):
			state = ibiswire.Claimed
		}
		reply.Covers = append(reply.Covers, ibiswire.Cover{Server: name, State: state})
	}
}

// settle stops, at the servers named in the request, the tasks of the attempt of which this owner has no
// record: the servers then refuse a start that is still under way. It reports which servers have done so.
func (o *Owner) settle(ctx context.Context, req *ibiswire.LocateRequest) (map[string]bool, error) {
	settled := make(map[string]bool)
	for _, p := range req.Settle {
		id := ibisserver.TaskID{Request: req.ID, Index: p.Index, Attempt: req.Attempt}
		var s *server
		var known bool
		err := o.loop.Do(ctx, func() {
			if s = o.servers[p.Server]; s != nil && !s.claimed {
				s = nil
			}
			t := o.tasks[id]
			_, reporting := o.outbox[id]
			known = reporting || (t != nil && t.started)
		})
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if s == nil {
			continue
		}
		if known {
			settled[p.Server] = true
			continue
		}
		reply, err := o.control(s, ibisserver.Stop, id)
		if err != nil {
			continue
		}
		err = o.loop.Do(ctx, func() {
			if o.servers[p.Server] == s {
				o.records(s, reply.Records, time.Now())
				settled[p.Server] = true
			}
		})
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return settled, nil
}
