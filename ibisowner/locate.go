package ibisowner

import (
	"context"
	"time"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// Release closes all attempts up to req.Attempt: it drops those that are queued or reserved and stops their
// running tasks.
func (o *Owner) Release(ctx context.Context, req *ibiswire.ReleaseRequest) (*ibiswire.ReleaseReply, error) {
	reply := &ibiswire.ReleaseReply{}
	var refused error
	err := o.loop.Do(ctx, func() {
		if refused = o.validateHolder(req.From); refused != nil {
			return
		}
		o.closeAttempts(req.ID, req.Attempt)
		if p := o.placements[req.ID]; p != nil && p.attempt <= req.Attempt {
			o.dropPlacement(p, ibiswork.Refuse(ibiswork.CodeStale, "the holder released the attempt"))
			reply.Stopping = p.state == starting
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

// Locate lists the tasks that this owner knows of a request, or of a whole shard if req.ID is empty, and how far
// the list is complete for each server. It closes the attempts up to req.Attempt.
func (o *Owner) Locate(ctx context.Context, req *ibiswire.LocateRequest) (*ibiswire.LocateReply, error) {
	resolved, err := o.resolveStarts(ctx, req)
	if err != nil {
		return nil, err
	}
	reply := &ibiswire.LocateReply{}
	var refused error
	err = o.loop.Do(ctx, func() {
		if refused = o.validateHolder(req.From); refused != nil {
			return
		}
		o.locate(req, resolved, reply)
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if refused != nil {
		return nil, refused
	}
	return reply, nil
}

func (o *Owner) locate(req *ibiswire.LocateRequest, resolved map[string]bool, reply *ibiswire.LocateReply) {
	if req.ID != "" {
		o.closeAttempts(req.ID, req.Attempt)
		if p := o.placements[req.ID]; p != nil && p.attempt <= req.Attempt {
			o.dropPlacement(p, ibiswork.Refuse(ibiswork.CodeStale, "the holder closed the attempt"))
		}
	}
	_, moved := o.moved[req.ID]
	reply.NotStarted = req.ID != "" && !moved
	match := func(id ibisserver.TaskID, shard int) bool {
		return shard == req.From.Shard && (req.ID == "" || id.Request == req.ID)
	}
	startPending := make(map[string]bool) // servers with a start in progress
	for _, t := range o.tasks {
		if !match(t.id, t.meta.Shard) {
			continue
		}
		reply.NotStarted = reply.NotStarted && !t.sent && !t.started
		if t.started {
			reply.Events = append(reply.Events, o.event(t, ibiswire.TaskRunning))
		} else if t.sent {
			startPending[t.server] = true
		}
	}
	for _, out := range o.outbox {
		if match(out.event.Task, out.event.Meta.Shard) && out.event.State.Ended() {
			reply.Events = append(reply.Events, out.event)
			reply.NotStarted = false
		}
	}
	toResolve := make(map[string]bool, len(req.Resolve))
	for _, place := range req.Resolve {
		toResolve[place.Server] = true
	}
	for name, s := range o.servers {
		if !s.claimed && !s.leasesExpired {
			continue // this owner has no list of its tasks
		}
		state := ibiswire.Uncertain
		switch {
		case s.leasesExpired:
			state = ibiswire.LeasesExpired
		case s.claimed && !startPending[name] && (!toResolve[name] || resolved[name]):
			state = ibiswire.Claimed
		}
		reply.Covers = append(reply.Covers, ibiswire.Cover{Server: name, State: state})
	}
}

// resolveStarts stops the tasks of the attempt that this owner has no record of, at the servers listed in
// req.Resolve: a server refuses a start that arrives after the stop. It returns the servers where the outcome
// of the start is now known.
func (o *Owner) resolveStarts(ctx context.Context, req *ibiswire.LocateRequest) (map[string]bool, error) {
	resolved := make(map[string]bool)
	for _, place := range req.Resolve {
		id := ibisserver.TaskID{Request: req.ID, Index: place.Index, Attempt: req.Attempt}
		var s *server
		var recorded bool
		err := o.loop.Do(ctx, func() {
			if s = o.servers[place.Server]; s != nil && !s.claimed {
				s = nil
			}
			t := o.tasks[id]
			_, reporting := o.outbox[id]
			recorded = reporting || (t != nil && t.started)
		})
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if s == nil {
			continue
		}
		if recorded {
			resolved[place.Server] = true
			continue
		}
		reply, err := o.control(s, ibisserver.Stop, id)
		if err != nil {
			continue
		}
		err = o.loop.Do(ctx, func() {
			if o.servers[place.Server] == s {
				o.applyRecords(s, reply.Records, time.Now())
				resolved[place.Server] = true
			}
		})
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return resolved, nil
}
