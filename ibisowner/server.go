package ibisowner

import (
	"context"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibislease"
	"ibiscrank/ibisplace"
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// Times of the exchange with one server.
const (
	pollWait     = 1 * time.Second
	pollTimeout  = 2 * time.Second
	claimTimeout = 2 * time.Second
	retryDelay   = 200 * time.Millisecond
	reclaimDelay = 1 * time.Second
	lapseSilence = 4 * time.Second // without a word before a server without leases counts as lapsed
)

// server is one backend server that this daemon owns or tries to own. Fields are owned by the loop,
// except api, vm and cancel, which never change.
type server struct {
	vm      ibisserver.VM
	api     ibisserver.Server
	cancel  context.CancelFunc
	since   time.Time // when this daemon began to try
	claimed bool
	lapsed  bool // every lease has certainly ended
	epoch   int64
	asked   int64 // the highest epoch that this daemon has asked for
	clock   ibislease.Clock
	horizon ibislease.Horizon // of all leases on it
	reading int64             // highest clock reading, in the server's clock
	heardAt time.Time         // local time at which it came
	seq     int64
	count   int // tasks counted on it
	leaving bool
	foreign bool   // another daemon is to own it and may have claimed it
	aside   string // reason given by an operator
	kick    context.CancelFunc
	forgets []ibisserver.TaskID
}

// SetServers says which VMs this daemon is to own now, and which VMs are gone for good.
func (o *Owner) SetServers(ctx context.Context, own []ibisserver.VM, gone map[string]bool) error {
	return o.loop.Do(ctx, func() { o.setServers(own, gone) })
}

func (o *Owner) setServers(own []ibisserver.VM, gone map[string]bool) {
	wanted := make(map[string]ibisserver.VM, len(own))
	for _, vm := range own {
		wanted[vm.Name] = vm
	}
	for name, s := range o.servers {
		vm, ok := wanted[name]
		switch {
		case gone[name]:
			o.loseServer(s, true)
		case !ok || vm.Address != s.vm.Address:
			if !s.claimed || (ok && vm.Address != s.vm.Address) {
				o.loseServer(s, false)
			}
			// A claimed server is kept until its new owner fences this one, so that it never has none.
			s.foreign = true
		default:
			s.foreign = false
			s.leaving = vm.State == ibisserver.Leaving
		}
	}
	for name, vm := range wanted {
		if o.servers[name] == nil && !gone[name] {
			o.addServer(vm)
		}
	}
	o.refreshClosed(time.Now())
}

func (o *Owner) addServer(vm ibisserver.VM) {
	ctx, cancel := context.WithCancel(o.ctx)
	api, closeAPI := o.cfg.Dial(vm.Address)
	s := &server{vm: vm, api: api, cancel: cancel, since: time.Now(), leaving: vm.State == ibisserver.Leaving}
	o.servers[vm.Name] = s
	o.wg.Add(2)
	go func() {
		defer o.wg.Done()
		defer closeAPI()
		o.follow(ctx, s)
	}()
	go func() {
		defer o.wg.Done()
		o.renewals(ctx, s)
	}()
}

// loseServer forgets a server. The tasks of a VM that is gone are lost; those of a server that has a new
// owner are that owner's to report.
func (o *Owner) loseServer(s *server, gone bool) {
	s.cancel()
	defer delete(o.servers, s.vm.Name)
	for _, t := range o.tasks {
		if t.server != s.vm.Name {
			continue
		}
		if gone && t.sent {
			o.end(t, o.event(t, ibiswire.TaskLost))
			continue
		}
		if t.sent || t.started {
			o.uncountBy(t, o.cfg.Ledger.Lose)
			o.moved[t.id.Request] = time.Now().Add(closedFor)
		} else {
			o.uncount(t)
		}
		delete(o.tasks, t.id)
		o.endItem(t)
	}
	for id, out := range o.outbox {
		if out.event.Server == s.vm.Name && !gone {
			delete(o.outbox, id) // the new owner reports it from the server's records
			o.moved[id.Request] = time.Now().Add(closedFor)
		}
	}
	o.fleet.Remove(s.vm.Name)
	o.guard.Remove(s.vm.Name)
}

// DaemonRevoked says that another daemon was revoked. It may have owned any server that this one has not
// claimed, and renew the leases there until it has been without news for OrphanRenewal.
func (o *Owner) DaemonRevoked(ctx context.Context) error {
	return o.loop.Do(ctx, func() {
		for _, s := range o.servers {
			if !s.claimed {
				s.since, s.lapsed = time.Now(), false
			}
		}
	})
}

// fenced gives up a server that obeys a higher epoch than any that this daemon asked for.
func (o *Owner) fenced(s *server, err error) {
	highest, known := ibisserver.HighestEpoch(err)
	_ = o.loop.Do(o.ctx, func() {
		if !known || highest > s.asked {
			o.outbid(s)
		}
	})
}

// outbid gives up a server that another daemon has claimed.
func (o *Owner) outbid(s *server) {
	if o.servers[s.vm.Name] == s {
		log.WithFields(log.Fields{"server": s.vm.Name, "epoch": s.epoch}).Info("ServerFenced")
		o.loseServer(s, false)
	}
}

// follow claims a server and polls it until it is given up.
func (o *Owner) follow(ctx context.Context, s *server) {
	for ctx.Err() == nil {
		if !o.claim(ctx, s) {
			sleep(ctx, retryDelay)
			continue
		}
		o.poll(ctx, s)
	}
}

// claim makes this daemon the owner, with an epoch above every one that the server has seen.
func (o *Owner) claim(ctx context.Context, s *server) bool {
	if !o.cfg.HasNews(time.Now()) {
		return false // a daemon that is cut off takes nothing from others
	}
	epoch := s.epoch + 1
	for range 3 {
		if o.loop.Do(ctx, func() { s.asked = max(s.asked, epoch) }) != nil {
			return false
		}
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		reply, err := s.api.Claim(callCtx, ibisserver.ClaimRequest{Epoch: epoch, Owner: o.cfg.Self})
		cancel()
		switch {
		case err == nil:
			return o.loop.Do(ctx, func() { o.claimedServer(s, reply, epoch, sent) }) == nil
		case ibisserver.Fenced.Has(err) && o.isForeign(ctx, s):
			_ = o.loop.Do(ctx, func() { o.outbid(s) })
			return false
		case ibisserver.Fenced.Has(err):
			epoch = max(epoch, reply.Epoch) + 1
		default:
			return false
		}
	}
	return false
}

// isForeign reports whether another daemon is to own s; it is not claimed from that one.
func (o *Owner) isForeign(ctx context.Context, s *server) (foreign bool) {
	_ = o.loop.Do(ctx, func() { foreign = s.foreign })
	return foreign
}

// claimedServer takes in a server's list of tasks: they count before anything is placed.
func (o *Owner) claimedServer(s *server, reply ibisserver.ClaimReply, epoch int64, sent time.Time) {
	if o.servers[s.vm.Name] != s {
		return
	}
	now := time.Now()
	s.claimed, s.lapsed, s.epoch, s.seq = true, false, epoch, reply.Seq
	s.clock, s.horizon = ibislease.Clock{}, ibislease.Horizon{}
	s.reading = 0
	o.read(s, reply.Clock, sent)
	for _, r := range reply.Records {
		if r.State == ibisserver.Running {
			s.horizon = s.horizon.With(r.LeaseEnd)
		}
	}
	o.fleet.Put(ibisplace.Server{
		Name: s.vm.Name, FailureDomain: s.vm.FailureDomain, Rack: s.vm.Rack, Capacity: reply.Capacity,
		Used: o.countedOn(s.vm.Name), Closed: true,
	})
	seen := make(map[ibisserver.TaskID]bool, len(reply.Records))
	for _, r := range reply.Records {
		seen[r.Task.ID] = true
	}
	o.records(s, reply.Records, now)
	for _, t := range o.tasks {
		if t.server == s.vm.Name && t.sent && !seen[t.id] && (t.item == nil || t.item.state == running) {
			t.sent = t.started
			o.end(t, o.event(t, ibiswire.TaskLost))
		}
	}
	o.refreshClosed(now)
	o.wantRound()
	log.WithFields(log.Fields{"server": s.vm.Name, "epoch": epoch, "records": len(reply.Records)}).Info("ServerClaimed")
}

func (o *Owner) countedOn(name string) ibiswork.Resources {
	var used ibiswork.Resources
	for _, t := range o.tasks {
		if t.server == name && t.counted {
			used = used.Add(t.size.Add(t.extra))
		}
	}
	return used
}

// resync makes the follower of s claim it again, to learn the whole list of its tasks.
func (o *Owner) resync(s *server) {
	if s != nil && s.kick != nil {
		s.kick()
	}
}

// poll waits for changes of the tasks of s until the server is to be claimed again.
func (o *Owner) poll(ctx context.Context, s *server) {
	pollCtx, kick := context.WithCancel(ctx)
	defer kick()
	if o.loop.Do(ctx, func() { s.kick = kick }) != nil {
		return
	}
	failures := 0
	for pollCtx.Err() == nil {
		var req ibisserver.PollRequest
		if o.loop.Do(pollCtx, func() {
			req = ibisserver.PollRequest{Epoch: s.epoch, After: s.seq, WaitMS: pollWait.Milliseconds()}
		}) != nil {
			return
		}
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(pollCtx, pollTimeout)
		reply, err := s.api.Poll(callCtx, req)
		cancel()
		switch {
		case err == nil:
			failures = 0
			if o.loop.Do(pollCtx, func() { o.polled(s, reply, sent) }) != nil {
				return
			}
		case ibisserver.Fenced.Has(err):
			o.fenced(s, err)
			sleep(ctx, reclaimDelay)
			return
		default:
			if failures++; failures > 2 {
				return
			}
			sleep(pollCtx, retryDelay)
		}
	}
}

func (o *Owner) polled(s *server, reply ibisserver.Reply, sent time.Time) {
	if o.servers[s.vm.Name] != s {
		return
	}
	if s.lapsed {
		o.resync(s) // its tasks were given up; only a claim tells what runs there now
		return
	}
	now := time.Now()
	o.read(s, reply.Clock, sent)
	s.seq = max(s.seq, reply.Seq)
	if len(reply.Records) > 0 {
		o.records(s, reply.Records, now)
	}
}

// read takes in a clock reading of s, which came in reply to a call sent at sent.
func (o *Owner) read(s *server, clock int64, sent time.Time) {
	now := time.Now()
	s.clock, _ = s.clock.With(ibislease.Reading{Value: clock, Sent: sent, Received: now})
	if clock > s.reading {
		s.reading, s.heardAt = clock, now
	}
}

// lease is the end of a lease that is given on s now.
func (o *Owner) lease(s *server) int64 {
	end := ibislease.RenewalEnd(s.reading, o.cfg.Lease)
	s.horizon = s.horizon.With(end)
	return end
}

// records takes in what the server says of its tasks.
func (o *Owner) records(s *server, records []ibisserver.Record, now time.Time) {
	for _, r := range records {
		t := o.tasks[r.Task.ID]
		ended := r.State != ibisserver.Running
		if t == nil {
			if out := o.outbox[r.Task.ID]; out != nil && (ended || endedOnRecord(out.event.State)) {
				continue // its end is being reported; a reply that says otherwise was overtaken
			}
			t = o.adopt(s.vm.Name, r)
			if !ended {
				o.tasks[t.id] = t
				o.count(t)
				o.cfg.Ledger.Use(t.meta.Team, t.size)
				o.queue.Charge(t.meta.Team, t.size)
				o.send(o.event(t, ibiswire.TaskRunning), t)
				continue
			}
		}
		if !ended {
			t.started = true
			o.measure(t, r)
			continue
		}
		e := o.fromRecord(t, r)
		e.Blameless = o.observe(t, r, now)
		o.end(t, e)
	}
}

// endedOnRecord reports whether a server's own record has said that the task ended.
func endedOnRecord(s ibiswire.EventState) bool { return s.Ended() && s != ibiswire.TaskLost }

// checkLapse finds out whether every lease on an unreachable server has certainly ended.
func (o *Owner) checkLapse(s *server, now time.Time) {
	if s.lapsed {
		return
	}
	if s.claimed {
		switch {
		case now.Sub(s.heardAt) <= lapseSilence || !s.horizon.Passed(s.clock, now):
		case s.foreign:
			o.giveUp(s)
		default:
			o.lapse(s)
		}
		return
	}
	// Never claimed here: an earlier owner without news may have renewed for OrphanRenewal.
	if (ibislease.Horizon{}).WithOwner(s.since.Add(OrphanRenewal), o.cfg.Lease, 0).Passed(s.clock, now) {
		s.lapsed = true
	}
}

// giveUp forgets an unreachable server that another daemon is to own. That daemon may renew the leases of
// its tasks, so none of them is lost; their holders are told to look for them.
func (o *Owner) giveUp(s *server) {
	var events []ibiswire.TaskEvent
	for _, t := range o.tasks {
		if t.server == s.vm.Name && t.sent {
			e := o.event(t, ibiswire.TaskRunning)
			e.Owner = ""
			events = append(events, e)
		}
	}
	log.WithField("server", s.vm.Name).Warn("ServerGivenUp")
	o.loseServer(s, false)
	for _, e := range events {
		o.send(e, nil)
	}
}

func (o *Owner) lapse(s *server) {
	s.lapsed = true
	log.WithField("server", s.vm.Name).Warn("ServerLapsed")
	for _, t := range o.tasks {
		if t.server == s.vm.Name && t.sent {
			o.end(t, o.event(t, ibiswire.TaskLost))
		}
	}
	o.refreshClosed(time.Now())
	o.resync(s) // it gets work again only once it has been claimed anew, with its list of tasks
}

// refreshClosed closes to new work the servers that are leaving, set aside, on probation with enough
// work, silent, or lapsed.
func (o *Owner) refreshClosed(now time.Time) {
	aside := o.cfg.Snapshot().SetAside
	for name, s := range o.servers {
		f, ok := o.fleet.Server(name)
		if !ok {
			continue
		}
		s.aside = aside[name]
		closed := o.shut(s, now)
		if closed != f.Closed {
			f.Closed = closed
			o.fleet.Put(f)
		}
	}
}

func (o *Owner) shut(s *server, now time.Time) bool {
	return !s.claimed || s.lapsed || s.leaving || s.aside != "" ||
		now.Sub(s.heardAt) > StartWindow || o.guard.Allowance(s.vm.Name, now) <= 0
}

// refreshAllowance closes servers on probation that have just been given work.
func (o *Owner) refreshAllowance(names []string, now time.Time) {
	for _, name := range names {
		s := o.servers[name]
		if f, ok := o.fleet.Server(name); ok && s != nil && !f.Closed && o.shut(s, now) {
			f.Closed = true
			o.fleet.Put(f)
		}
	}
}

// sleep waits for d and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
