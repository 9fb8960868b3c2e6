package ibisowner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibischart"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// startResult is the result of starting one task.
type startResult int

const (
	startConfirmed    startResult = iota
	startRefused                  // certainly not started, now or later
	startUnknown                  // no reply; resolved by the server's records at the next claim
	serverUnavailable             // not started: the server is not owned by this daemon or unreachable
)

// Start starts the tasks that were reserved for an attempt. Without a matching reservation it closes the
// attempt, so that a later call cannot start it, and replies NotStarted.
func (o *Owner) Start(ctx context.Context, req *ibiswire.StartRequest) (*ibiswire.StartReply, error) {
	var p *placement
	var reply *ibiswire.StartReply
	var refused error
	err := o.loop.Do(ctx, func() {
		if refused = o.validateHolder(req.From); refused != nil {
			return
		}
		o.refreshEvacuations() // releases the places as a whole, so that no part of a gang is started
		p = o.placements[req.ID]
		switch {
		case p == nil || p.attempt != req.Attempt || p.state == waiting || !p.hasExactly(req.Indexes):
			o.closeAttempts(req.ID, req.Attempt)
			reply = &ibiswire.StartReply{NotStarted: true, Error: "no places are reserved for these tasks of the attempt"}
		case p.state == reserved:
			p.state = starting
		default:
			reply = &ibiswire.StartReply{Started: true}
		}
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if refused != nil {
		return nil, refused
	}
	if reply != nil {
		return reply, nil
	}
	return o.startTasks(p), nil
}

// hasExactly reports whether p has places for exactly these indexes.
func (p *placement) hasExactly(indexes []int) bool {
	if len(p.places) != len(indexes) {
		return false
	}
	for _, place := range p.places {
		if !slices.Contains(indexes, place.Index) {
			return false
		}
	}
	return true
}

// closeAttempts prevents all attempts up to attempt from being queued here, and so from being started, for
// closedTTL.
func (o *Owner) closeAttempts(id ibiswork.ID, attempt int) {
	c := o.closedAttempts[id]
	o.closedAttempts[id] = closedAttempt{attempt: max(c.attempt, attempt), until: time.Now().Add(closedTTL)}
}

// startTasks starts all tasks of a placement concurrently. If one was certainly not started, the others are
// stopped: a gang runs with all its tasks or not at all.
func (o *Owner) startTasks(p *placement) *ibiswire.StartReply {
	results := make([]startResult, len(p.tasks))
	errs := make([]error, len(p.tasks))
	var wg sync.WaitGroup
	for i, t := range p.tasks {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i], errs[i] = o.startTask(p, t)
		}()
	}
	wg.Wait()
	reply := &ibiswire.StartReply{}
	_ = o.loop.Do(o.ctx, func() { *reply = o.applyStartResults(p, results, errs) })
	if !reply.Started && !reply.NotStarted {
		reply.Error = "a backend server sent no reply to a start, so its outcome is not known yet"
	}
	return reply
}

// applyStartResults records the results of starting the tasks of a placement.
func (o *Owner) applyStartResults(p *placement, results []startResult, errs []error) ibiswire.StartReply {
	p.state = running
	for i, t := range p.tasks {
		if results[i] == startUnknown && o.tasks[t.id] == t {
			// handleClaimed reports a task without a record as lost, but not before p is running.
			o.resync(o.servers[t.server])
		}
	}
	failed := 0
	for _, r := range results {
		if r == startRefused || r == serverUnavailable {
			failed++
		}
	}
	if failed == 0 {
		return ibiswire.StartReply{Started: true}
	}
	reply := ibiswire.StartReply{NotStarted: failed == len(results), Error: errors.Join(errs...).Error()}
	for i, t := range p.tasks {
		if o.tasks[t.id] != t {
			continue
		}
		if results[i] == startRefused || results[i] == serverUnavailable {
			o.uncount(t)
			delete(o.tasks, t.id)
			t.sent = false
			if !reply.NotStarted {
				o.queueReport(o.event(t, ibiswire.TaskLost), t)
			}
			o.finishPlacement(t)
			continue
		}
		o.stopTasks([]*task{t})
	}
	if reply.NotStarted && o.placements[p.req.ID] == p {
		delete(o.placements, p.req.ID)
	}
	return reply
}

// startTask sends a start and repeats it, up to maxStartAttempts times, while its outcome is unknown. Repeating
// is safe since the server starts a TaskID only once.
func (o *Owner) startTask(p *placement, t *task) (startResult, error) {
	unknown := false
	var last error
	for range maxStartCalls {
		req, srv, err := o.prepareStart(p, t)
		if err != nil {
			if unknown {
				return startUnknown, err
			}
			return serverUnavailable, err
		}
		sent := time.Now()
		ctx, cancel := context.WithTimeout(o.ctx, startTimeout)
		reply, err := srv.api.Start(ctx, req)
		cancel()
		if err == nil {
			result := startUnknown
			_ = o.loop.Do(o.ctx, func() {
				if o.isCurrent(srv, req.Epoch) {
					o.confirmStart(srv, t, reply, sent)
					result = startConfirmed
				}
			})
			return result, nil
		}
		last = err
		switch {
		case ibisserver.Unknown.Has(err):
			unknown = true
		case ibisserver.ReasonOf(err) == ibisserver.StartByPassed:
			// The server has no record of the task, and no earlier copy of the call can start it any more,
			// since none has a later StartBy. The refusal has the clock reading for the next call.
			unknown = false
			_ = o.loop.Do(o.ctx, func() { o.updateClock(srv, reply.Clock, time.Now()) })
		case unknown:
			// An earlier copy of the call may have started the task; only the server's records show that.
		case ibisserver.Rejected.Has(err):
			return startRefused, err
		case ibisserver.Fenced.Has(err):
			o.handleFenced(srv, err)
			return serverUnavailable, err
		default:
			return serverUnavailable, err
		}
	}
	if !unknown {
		return startRefused, last
	}
	log.WithFields(log.Fields{"request": t.id.Request, "server": t.server, "error": last}).Warn("StartOutcomeUnknown")
	return startUnknown, last
}

// prepareStart builds the start call of t, with StartBy and the lease end from the latest clock reading of its
// server. It fails when the server is not owned any more, its failure domain is evacuated, or the task was dropped.
func (o *Owner) prepareStart(p *placement, t *task) (ibisserver.StartRequest, *server, error) {
	var req ibisserver.StartRequest
	var srv *server
	err := Error.New("server %s is no longer owned by this daemon, or the place on it was released", t.server)
	loopErr := o.loop.Do(o.ctx, func() {
		s := o.servers[t.server]
		if s == nil || !s.claimed || o.tasks[t.id] != t {
			return
		}
		o.refreshEvacuations()
		if o.evacuated(s) {
			err = o.startEvacuated(s, t)
			return
		}
		srv, err = s, nil
		t.sent = true
		if !t.hasLease {
			t.lease, t.hasLease = ibischart.New(ibischart.Lease), true
		}
		req = ibisserver.StartRequest{
			Epoch: s.epoch,
			Task: ibisserver.Task{
				ID: t.id, Team: t.meta.Team, Class: t.meta.Class, Kind: t.kind, Resources: t.requestedSize(),
				RunTimeMS: p.req.RunTimeMS, Payload: p.req.Payload, Note: encodeMeta(t.meta),
			},
			StartBy:  s.reading + StartWindow.Milliseconds(),
			LeaseEnd: o.grantLease(s),
		}
	})
	if loopErr != nil {
		return req, nil, Error.Wrap(loopErr)
	}
	return req, srv, err
}

// confirmStart records that the server has a record of t.
func (o *Owner) confirmStart(s *server, t *task, reply ibisserver.Reply, sent time.Time) {
	o.updateClock(s, reply.Clock, sent)
	if o.tasks[t.id] != t {
		return // its end was already processed
	}
	t.started = true
	o.started.Mark(1)
	o.applyRecords(s, reply.Records, time.Now())
}
