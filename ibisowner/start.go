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

// startResult is what became of the start of one task.
type startResult int

const (
	didStart  startResult = iota
	notStart              // certainly not started, nor will it be
	mayStart              // no reply; the server's records will tell
	badServer             // not started because the server is not ours or not there
)

// Start starts the tasks that were reserved for an attempt.
func (o *Owner) Start(ctx context.Context, req *ibiswire.StartRequest) (*ibiswire.StartReply, error) {
	var it *item
	var reply *ibiswire.StartReply
	var refused error
	err := o.loop.Do(ctx, func() {
		if refused = o.checkHolder(req.From); refused != nil {
			return
		}
		it = o.items[req.ID]
		switch {
		case it == nil || it.attempt != req.Attempt || it.state == waiting || !it.holds(req.Indexes):
			o.close(req.ID, req.Attempt)
			reply = &ibiswire.StartReply{NotStarted: true, Error: "no places are reserved"}
		case it.state == reserved:
			it.state = starting
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
	return o.startAll(it), nil
}

// holds reports whether the places of it are those of the indexes, no fewer and no more.
func (it *item) holds(indexes []int) bool {
	if len(it.places) != len(indexes) {
		return false
	}
	for _, p := range it.places {
		if !slices.Contains(indexes, p.Index) {
			return false
		}
	}
	return true
}

// close makes sure that no attempt up to attempt is queued or started here from now on.
func (o *Owner) close(id ibiswork.ID, attempt int) {
	c := o.closed[id]
	o.closed[id] = closedAttempt{attempt: max(c.attempt, attempt), until: time.Now().Add(closedFor)}
}

// startAll starts every task of an item at once. When one was certainly not started, the others are
// stopped: a gang runs whole or not at all.
func (o *Owner) startAll(it *item) *ibiswire.StartReply {
	results := make([]startResult, len(it.tasks))
	errs := make([]error, len(it.tasks))
	var wg sync.WaitGroup
	for i, t := range it.tasks {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i], errs[i] = o.startOne(it, t)
		}()
	}
	wg.Wait()
	reply := &ibiswire.StartReply{}
	_ = o.loop.Do(o.ctx, func() { *reply = o.afterStart(it, results, errs) })
	if !reply.Started && !reply.NotStarted {
		reply.Error = "the outcome of a start is not known yet"
	}
	return reply
}

// afterStart books the results of the starts of an item.
func (o *Owner) afterStart(it *item, results []startResult, errs []error) ibiswire.StartReply {
	it.state = running
	for i, t := range it.tasks {
		if results[i] == mayStart && o.tasks[t.id] == t {
			o.resync(o.servers[t.server]) // only a claim after this books a task without a record as lost
		}
	}
	failed := 0
	for _, r := range results {
		if r == notStart || r == badServer {
			failed++
		}
	}
	if failed == 0 {
		return ibiswire.StartReply{Started: true}
	}
	reply := ibiswire.StartReply{NotStarted: failed == len(results), Error: errors.Join(errs...).Error()}
	for i, t := range it.tasks {
		if o.tasks[t.id] != t {
			continue
		}
		if results[i] == notStart || results[i] == badServer {
			o.uncount(t)
			delete(o.tasks, t.id)
			t.sent = false
			if !reply.NotStarted {
				o.send(o.event(t, ibiswire.TaskLost), t)
			}
			o.endItem(t)
			continue
		}
		o.stopTasks([]*task{t})
	}
	if reply.NotStarted && o.items[it.req.ID] == it {
		delete(o.items, it.req.ID)
	}
	return reply
}

// startOne sends one start and repeats it while its outcome is open; the server starts a TaskID once.
func (o *Owner) startOne(it *item, t *task) (startResult, error) {
	unknown := false
	var last error
	for range startTries {
		req, srv, err := o.prepareStart(it, t)
		if err != nil {
			if unknown {
				return mayStart, err
			}
			return badServer, err
		}
		sent := time.Now()
		ctx, cancel := context.WithTimeout(o.ctx, startTimeout)
		reply, err := srv.api.Start(ctx, req)
		cancel()
		if err == nil {
			result := mayStart
			_ = o.loop.Do(o.ctx, func() {
				if o.present(srv, req.Epoch) {
					o.confirmStart(srv, t, reply, sent)
					result = didStart
				}
			})
			return result, nil
		}
		last = err
		switch {
		case ibisserver.Unknown.Has(err):
			unknown = true
		case ibisserver.ReasonOf(err) == ibisserver.StartByPassed:
			// There is no record of it and no earlier copy can be started any more, since none carries a
			// later start-by time. The refusal carries the reading for another try.
			unknown = false
			_ = o.loop.Do(o.ctx, func() { o.read(srv, reply.Clock, time.Now()) })
		case unknown:
			// An earlier copy may have been started; only the records can tell.
		case ibisserver.Rejected.Has(err):
			return notStart, err
		case ibisserver.Fenced.Has(err):
			o.fenced(srv, err)
			return badServer, err
		default:
			return badServer, err
		}
	}
	if !unknown {
		return notStart, last
	}
	log.WithFields(log.Fields{"request": t.id.Request, "server": t.server, "error": last}).Warn("StartOutcomeUnknown")
	return mayStart, last
}

// prepareStart makes the start of t from the newest clock reading of its server.
func (o *Owner) prepareStart(it *item, t *task) (ibisserver.StartRequest, *server, error) {
	var req ibisserver.StartRequest
	var srv *server
	err := Error.New("server %s is not owned any more", t.server)
	doErr := o.loop.Do(o.ctx, func() {
		s := o.servers[t.server]
		if s == nil || !s.claimed || o.tasks[t.id] != t {
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
				ID: t.id, Team: t.meta.Team, Class: t.meta.Class, Kind: t.kind, Resources: t.asked(),
				RunTimeMS: it.req.RunTimeMS, Payload: it.req.Payload, Note: note(t.meta),
			},
			StartBy:  s.reading + StartWindow.Milliseconds(),
			LeaseEnd: o.lease(s),
		}
	})
	if doErr != nil {
		return req, nil, Error.Wrap(doErr)
	}
	return req, srv, err
}

// confirmStart books that the server has a record of t.
func (o *Owner) confirmStart(s *server, t *task, reply ibisserver.Reply, sent time.Time) {
	o.read(s, reply.Clock, sent)
	if o.tasks[t.id] != t {
		return // its end has been seen already
	}
	t.started = true
	o.started.Mark(1)
	o.records(s, reply.Records, time.Now())
}
