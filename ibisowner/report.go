package ibisowner

import (
	"context"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
)

// Timeouts and limits of reports to holders.
const (
	reportInterval = 200 * time.Millisecond // between retries of reports that were not accepted
	reportTimeout  = 2 * time.Second
	reportBatch    = 256 // events per call
	controlBatch   = 256 // tasks per Forget call
)

// pendingReport is an event that the holder has not accepted yet.
type pendingReport struct {
	event     ibiswire.TaskEvent
	inFlight  bool
	notBefore time.Time // earliest time of the next send
	failures  int
}

// queueReport queues an event for the holder of its shard. A later event of the same task replaces it.
func (o *Owner) queueReport(e ibiswire.TaskEvent, t *task) {
	o.outbox[e.Task] = &pendingReport{event: e}
	select {
	case o.reportWake <- struct{}{}:
	default:
	}
}

// reportLoop sends queued events until the owner stops.
func (o *Owner) reportLoop() {
	defer o.wg.Done()
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-tick.C:
		case <-o.reportWake:
		}
		var batches map[string][]*pendingReport
		if o.loop.Do(o.ctx, func() { batches = o.batches(time.Now()) }) != nil {
			return
		}
		for addr, batch := range batches {
			o.wg.Add(1)
			go func() {
				defer o.wg.Done()
				o.report(addr, batch)
			}()
		}
	}
}

// batches groups the events that are due by the address of their holder and marks them in flight.
func (o *Owner) batches(now time.Time) map[string][]*pendingReport {
	batches := make(map[string][]*pendingReport)
	for _, out := range o.outbox {
		if out.inFlight || now.Before(out.notBefore) {
			continue
		}
		_, addr, ok := o.cfg.Directory.Holder(out.event.Meta.Shard)
		if !ok || len(batches[addr]) >= reportBatch {
			continue
		}
		out.inFlight = true
		batches[addr] = append(batches[addr], out)
	}
	return batches
}

// report sends a batch of events to the holder at addr. Events without a verdict are retried as with NotHolder.
func (o *Owner) report(addr string, batch []*pendingReport) {
	req := &ibiswire.ReportRequest{Owner: o.cfg.Self}
	for _, out := range batch {
		req.Events = append(req.Events, out.event)
	}
	ctx, cancel := context.WithTimeout(o.ctx, reportTimeout)
	defer cancel()
	reply, err := ibisrpc.Call[ibiswire.ReportReply](ctx, o.cfg.Pool, addr, ibiswire.MethodReport, req)
	_ = o.loop.Do(o.ctx, func() {
		for i, out := range batch {
			verdict := ibiswire.NotHolder
			if err == nil && i < len(reply.Verdicts) {
				verdict = reply.Verdicts[i]
			}
			o.handleVerdict(out, verdict)
		}
	})
}

// handleVerdict acts on the holder's verdict on one event: it schedules a retry, lets the server delete the
// record of an ended task, or stops an orphaned task.
func (o *Owner) handleVerdict(out *pendingReport, v ibiswire.Verdict) {
	out.inFlight = false
	id := out.event.Task
	if o.outbox[id] != out {
		return
	}
	ended := out.event.State.Ended()
	switch {
	case v == ibiswire.NotHolder:
		out.failures++
		out.notBefore = time.Now().Add(min(reportInterval*time.Duration(out.failures), 5*reportInterval))
		return
	case ended:
		o.queueForget(out.event.Server, id)
	case v == ibiswire.Orphan:
		if t := o.tasks[id]; t != nil {
			o.stopTasks([]*task{t})
		}
	}
	delete(o.outbox, id)
}

// queueForget queues a task whose end the holder has recorded, so that its server deletes the record.
func (o *Owner) queueForget(name string, id ibisserver.TaskID) {
	s := o.servers[name]
	if s == nil || !s.claimed {
		return
	}
	s.forgetQueue = append(s.forgetQueue, id)
	if len(s.forgetQueue) >= controlBatch {
		o.flushForgetQueue(s)
	}
}

func (o *Owner) flushForgetQueue(s *server) {
	if len(s.forgetQueue) == 0 || !s.claimed {
		return
	}
	ids := s.forgetQueue
	s.forgetQueue = nil
	go func() {
		if _, err := o.control(s, ibisserver.Forget, ids...); err != nil {
			log.WithFields(log.Fields{"server": s.vm.Name, "error": err}).Debug("RecordsNotForgotten")
		}
	}()
}

// control sends one action under the current epoch; without an error the server has applied it. It must not
// be called on the loop.
func (o *Owner) control(s *server, a ibisserver.Action, ids ...ibisserver.TaskID) (ibisserver.Reply, error) {
	req := ibisserver.ControlRequest{Action: a, Tasks: ids}
	if err := o.loop.Do(o.ctx, func() { req.Epoch = s.epoch }); err != nil {
		return ibisserver.Reply{}, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(o.ctx, startTimeout)
	defer cancel()
	reply, err := s.api.Control(ctx, req)
	if ibisserver.Fenced.Has(err) {
		o.handleFenced(s, err)
	}
	return reply, err
}

// stopTasks stops tasks in the background, with retries while this daemon owns their servers.
func (o *Owner) stopTasks(tasks []*task) {
	byServer := make(map[*server][]ibisserver.TaskID)
	for _, t := range tasks {
		if s := o.servers[t.server]; s != nil && s.claimed && !t.stopping {
			t.stopping = true
			byServer[s] = append(byServer[s], t.id)
		}
	}
	for s, ids := range byServer {
		go o.stopWithRetry(s, ids)
	}
}

// stopWithRetry repeats the Stop call until it succeeds or the server is removed.
func (o *Owner) stopWithRetry(s *server, ids []ibisserver.TaskID) {
	for o.ctx.Err() == nil {
		reply, err := o.control(s, ibisserver.Stop, ids...)
		if err == nil {
			_ = o.loop.Do(o.ctx, func() {
				if o.servers[s.vm.Name] == s {
					o.applyRecords(s, reply.Records, time.Now())
				}
			})
			return
		}
		owned := false
		if o.loop.Do(o.ctx, func() { owned = o.servers[s.vm.Name] == s }) != nil || !owned {
			return
		}
		sleep(o.ctx, retryDelay)
	}
}
