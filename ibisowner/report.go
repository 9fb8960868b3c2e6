package ibisowner

import (
	"context"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibisrpc"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
)

// Times and bounds of reports to holders.
const (
	reportInterval = 200 * time.Millisecond // between tries while reports are not taken
	reportTimeout  = 2 * time.Second
	reportBatch    = 256
	controlBatch   = 256
)

// outgoing is an event that the holder has not taken yet.
type outgoing struct {
	event  ibiswire.TaskEvent
	flying bool
	notBy  time.Time // not to be sent before
	tries  int
}

// send queues an event for the holder of its shard; a later event of the same task replaces it.
func (o *Owner) send(e ibiswire.TaskEvent, t *task) {
	o.outbox[e.Task] = &outgoing{event: e}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// reports sends queued events until the owner ends.
func (o *Owner) reports() {
	defer o.wg.Done()
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-tick.C:
		case <-o.wake:
		}
		var batches map[string][]*outgoing
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

// batches groups the events that are due by the address of their holders.
func (o *Owner) batches(now time.Time) map[string][]*outgoing {
	batches := make(map[string][]*outgoing)
	for _, out := range o.outbox {
		if out.flying || now.Before(out.notBy) {
			continue
		}
		_, addr, ok := o.cfg.Directory.Holder(out.event.Meta.Shard)
		if !ok || len(batches[addr]) >= reportBatch {
			continue
		}
		out.flying = true
		batches[addr] = append(batches[addr], out)
	}
	return batches
}

func (o *Owner) report(addr string, batch []*outgoing) {
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
			o.judged(out, verdict)
		}
	})
}

// judged acts on a holder's verdict on one event.
func (o *Owner) judged(out *outgoing, v ibiswire.Verdict) {
	out.flying = false
	id := out.event.Task
	if o.outbox[id] != out {
		return
	}
	ended := out.event.State.Ended()
	switch {
	case v == ibiswire.NotHolder:
		out.tries++
		out.notBy = time.Now().Add(min(reportInterval*time.Duration(out.tries), 5*reportInterval))
		return
	case ended:
		o.forget(out.event.Server, id)
	case v == ibiswire.Orphan:
		if t := o.tasks[id]; t != nil {
			o.stopTasks([]*task{t})
		}
	}
	delete(o.outbox, id)
}

// forget lets a server drop the record of a task whose end is known to the holder.
func (o *Owner) forget(name string, id ibisserver.TaskID) {
	s := o.servers[name]
	if s == nil || !s.claimed {
		return
	}
	s.forgets = append(s.forgets, id)
	if len(s.forgets) >= controlBatch {
		o.flushForgets(s)
	}
}

func (o *Owner) flushForgets(s *server) {
	if len(s.forgets) == 0 || !s.claimed {
		return
	}
	ids := s.forgets
	s.forgets = nil
	go func() {
		if _, err := o.control(s, ibisserver.Forget, ids...); err != nil {
			log.WithFields(log.Fields{"server": s.vm.Name, "error": err}).Debug("RecordsNotForgotten")
		}
	}()
}

// control sends one action under the present epoch and reports whether the server has applied it. It is
// not called on the loop.
func (o *Owner) control(s *server, a ibisserver.Action, ids ...ibisserver.TaskID) (ibisserver.Reply, error) {
	req := ibisserver.ControlRequest{Action: a, Tasks: ids}
	if err := o.loop.Do(o.ctx, func() { req.Epoch = s.epoch }); err != nil {
		return ibisserver.Reply{}, Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(o.ctx, startTimeout)
	defer cancel()
	reply, err := s.api.Control(ctx, req)
	if ibisserver.Fenced.Has(err) {
		o.fenced(s, err)
	}
	return reply, err
}

// stopTasks asks the servers of running tasks to stop them, until they are ended.
func (o *Owner) stopTasks(tasks []*task) {
	byServer := make(map[*server][]ibisserver.TaskID)
	for _, t := range tasks {
		if s := o.servers[t.server]; s != nil && s.claimed && !t.stopping {
			t.stopping = true
			byServer[s] = append(byServer[s], t.id)
		}
	}
	for s, ids := range byServer {
		go o.stopUntilDone(s, ids)
	}
}

func (o *Owner) stopUntilDone(s *server, ids []ibisserver.TaskID) {
	for o.ctx.Err() == nil {
		reply, err := o.control(s, ibisserver.Stop, ids...)
		if err == nil {
			_ = o.loop.Do(o.ctx, func() {
				if o.servers[s.vm.Name] == s {
					o.records(s, reply.Records, time.Now())
				}
			})
			return
		}
		mine := false
		if o.loop.Do(o.ctx, func() { mine = o.servers[s.vm.Name] == s }) != nil || !mine {
			return
		}
		sleep(o.ctx, retryDelay)
	}
}
