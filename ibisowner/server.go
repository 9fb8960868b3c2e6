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

// Timeouts and intervals of calls to one server.
const (
	pollWait     = 1 * time.Second // for which a server holds a poll without changes
	pollTimeout  = 2 * time.Second
	claimTimeout = 2 * time.Second
	retryDelay   = 200 * time.Millisecond
	reclaimDelay = 1 * time.Second // before a server that fenced this daemon is claimed again
	// expirySilence is the minimum silence of a claimed server before its leases count as expired. It decides
	// alone when the server has no leases.
	expirySilence = 4 * time.Second
)

// server is one backend server that this daemon owns or is trying to claim. Fields are owned by the loop,
// except api, vm and cancel, which never change.
type server struct {
	vm             ibisserver.VM
	api            ibisserver.Server
	cancel         context.CancelFunc
	claimingSince  time.Time // when this daemon began to claim it, or a later revocation of another daemon
	claimed        bool
	leasesExpired  bool // every lease on it has certainly expired
	epoch          int64
	requestedEpoch int64 // highest epoch that this daemon has requested in a claim
	clock          ibislease.Clock
	leaseHorizon   ibislease.Horizon // latest end of all leases on it
	reading        int64             // highest reading of the server's clock, in milliseconds
	lastContact    time.Time         // local time at which reading was received
	pollSeq        int64             // sequence number of the last change of its tasks that was read
	count          int               // tasks counted on the server
	leaving        bool
	reassigned     bool                // assigned to another daemon, which may have claimed it
	aside          string              // an operator's reason for setting it aside, empty if none
	cancelPoll     context.CancelFunc  // ends polling, so that the server is claimed again
	forgetQueue    []ibisserver.TaskID // tasks whose records the server may delete
}

// SetServers replaces the list of VMs assigned to this daemon. VMs named in gone no longer exist: their tasks
// are reported as lost.
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
			o.removeServer(s, true)
		case !ok || vm.Address != s.vm.Address:
			if !s.claimed || (ok && vm.Address != s.vm.Address) {
				o.removeServer(s, false)
			}
			// A claimed server is kept until its new owner fences this one, so that it always has an owner.
			s.reassigned = true
		default:
			s.reassigned = false
			s.leaving = vm.State == ibisserver.Leaving
		}
	}
	for name, vm := range wanted {
		if o.servers[name] == nil && !gone[name] {
			o.addServer(vm)
		}
	}
	o.updateClosed(time.Now())
}

func (o *Owner) addServer(vm ibisserver.VM) {
	ctx, cancel := context.WithCancel(o.ctx)
	api, closeAPI := o.cfg.Dial(vm.Address)
	s := &server{vm: vm, api: api, cancel: cancel, claimingSince: time.Now(), leaving: vm.State == ibisserver.Leaving}
	o.servers[vm.Name] = s
	o.wg.Add(2)
	go func() {
		defer o.wg.Done()
		defer closeAPI()
		o.manageServer(ctx, s)
	}()
	go func() {
		defer o.wg.Done()
		o.renewLoop(ctx, s)
	}()
}

// removeServer removes a server. The tasks of a VM that is gone are reported as lost; the tasks of a server
// with a new owner are reported by that owner.
func (o *Owner) removeServer(s *server, gone bool) {
	s.cancel()
	defer delete(o.servers, s.vm.Name)
	for _, t := range o.tasks {
		if t.server != s.vm.Name {
			continue
		}
		if gone && t.sent {
			o.endTask(t, o.event(t, ibiswire.TaskLost))
			continue
		}
		if t.sent || t.started {
			o.uncountWith(t, o.cfg.Ledger.ReleaseClaimed)
			o.moved[t.id.Request] = time.Now().Add(closedTTL)
		} else {
			o.uncount(t)
		}
		delete(o.tasks, t.id)
		o.finishPlacement(t)
	}
	for id, out := range o.outbox {
		if out.event.Server == s.vm.Name && !gone {
			delete(o.outbox, id) // the new owner reports it from the server's records
			o.moved[id.Request] = time.Now().Add(closedTTL)
		}
	}
	o.fleet.Remove(s.vm.Name)
	o.guard.Remove(s.vm.Name)
}

// DaemonRevoked records that another daemon was revoked. That daemon may have owned any server not claimed
// here, and may renew leases there until it has been without contact for MaxRenewalWithoutContact.
func (o *Owner) DaemonRevoked(ctx context.Context) error {
	return o.loop.Do(ctx, func() {
		for _, s := range o.servers {
			if !s.claimed {
				s.claimingSince, s.leasesExpired = time.Now(), false
			}
		}
	})
}

// handleFenced releases a server that has accepted a higher epoch than any that this daemon requested.
func (o *Owner) handleFenced(s *server, err error) {
	highest, ok := ibisserver.HighestEpoch(err)
	_ = o.loop.Do(o.ctx, func() {
		if !ok || highest > s.requestedEpoch {
			o.releaseFenced(s)
		}
	})
}

// releaseFenced releases a server that another daemon has claimed.
func (o *Owner) releaseFenced(s *server) {
	if o.servers[s.vm.Name] == s {
		log.WithFields(log.Fields{"server": s.vm.Name, "epoch": s.epoch}).Info("ServerFenced")
		o.removeServer(s, false)
	}
}

// manageServer claims a server and polls it until the server is removed.
func (o *Owner) manageServer(ctx context.Context, s *server) {
	for ctx.Err() == nil {
		if !o.claim(ctx, s) {
			sleep(ctx, retryDelay)
			continue
		}
		o.poll(ctx, s)
	}
}

// claim makes this daemon the owner, with a higher epoch than any that the server has seen. It returns false
// when the server was not claimed.
func (o *Owner) claim(ctx context.Context, s *server) bool {
	if !o.cfg.HasContact(time.Now()) {
		return false // a daemon without contact must not claim servers from others
	}
	epoch := s.epoch + 1
	for range 3 {
		if o.loop.Do(ctx, func() { s.requestedEpoch = max(s.requestedEpoch, epoch) }) != nil {
			return false
		}
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		reply, err := s.api.Claim(callCtx, ibisserver.ClaimRequest{Epoch: epoch, Owner: o.cfg.Self})
		cancel()
		switch {
		case err == nil:
			return o.loop.Do(ctx, func() { o.handleClaimed(s, reply, epoch, sent) }) == nil
		case ibisserver.Fenced.Has(err) && o.isReassigned(ctx, s):
			_ = o.loop.Do(ctx, func() { o.releaseFenced(s) })
			return false
		case ibisserver.Fenced.Has(err):
			epoch = max(epoch, reply.Epoch) + 1
		default:
			return false
		}
	}
	return false
}

// isReassigned reports whether s is assigned to another daemon, from which it must not be claimed.
func (o *Owner) isReassigned(ctx context.Context, s *server) (reassigned bool) {
	_ = o.loop.Do(ctx, func() { reassigned = s.reassigned })
	return reassigned
}

// handleClaimed records a claim and the server's task records. These tasks are counted before any new task is
// placed on the server. Tasks that were sent but have no record are reported as lost.
func (o *Owner) handleClaimed(s *server, reply ibisserver.ClaimReply, epoch int64, sent time.Time) {
	if o.servers[s.vm.Name] != s {
		return
	}
	now := time.Now()
	s.claimed, s.leasesExpired, s.epoch, s.pollSeq = true, false, epoch, reply.Seq
	s.clock, s.leaseHorizon = ibislease.Clock{}, ibislease.Horizon{}
	s.reading = 0
	o.updateClock(s, reply.Clock, sent)
	for _, r := range reply.Records {
		if r.State == ibisserver.Running {
			s.leaseHorizon = s.leaseHorizon.With(r.LeaseEnd)
		}
	}
	o.fleet.Put(ibisplace.Server{
		Name: s.vm.Name, FailureDomain: s.vm.FailureDomain, Rack: s.vm.Rack, Capacity: reply.Capacity,
		Used: o.usedOn(s.vm.Name), Closed: true,
	})
	seen := make(map[ibisserver.TaskID]bool, len(reply.Records))
	for _, r := range reply.Records {
		seen[r.Task.ID] = true
	}
	o.applyRecords(s, reply.Records, now)
	for _, t := range o.tasks {
		if t.server == s.vm.Name && t.sent && !seen[t.id] && (t.placement == nil || t.placement.state == running) {
			t.sent = t.started // for Ran in the event: a start that left no record did not run
			o.endTask(t, o.event(t, ibiswire.TaskLost))
		}
	}
	o.updateClosed(now)
	o.requestRound()
	log.WithFields(log.Fields{"server": s.vm.Name, "epoch": epoch, "records": len(reply.Records)}).Info("ServerClaimed")
}

// usedOn sums the resources of the tasks counted on a server, with their overuse.
func (o *Owner) usedOn(name string) ibiswork.Resources {
	var used ibiswork.Resources
	for _, t := range o.tasks {
		if t.server == name && t.counted {
			used = used.Add(t.size.Add(t.overuse))
		}
	}
	return used
}

// resync ends polling of s, so that it is claimed again and returns all its task records.
func (o *Owner) resync(s *server) {
	if s != nil && s.cancelPoll != nil {
		s.cancelPoll()
	}
}

// poll reads changes of the tasks on s until the server has to be claimed again: after three failed polls in a
// row, when the server has fenced this daemon, or after resync.
func (o *Owner) poll(ctx context.Context, s *server) {
	pollCtx, cancelPoll := context.WithCancel(ctx)
	defer cancelPoll()
	if o.loop.Do(ctx, func() { s.cancelPoll = cancelPoll }) != nil {
		return
	}
	failures := 0
	for pollCtx.Err() == nil {
		var req ibisserver.PollRequest
		if o.loop.Do(pollCtx, func() {
			req = ibisserver.PollRequest{Epoch: s.epoch, After: s.pollSeq, WaitMS: pollWait.Milliseconds()}
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
			if o.loop.Do(pollCtx, func() { o.handlePolled(s, reply, sent) }) != nil {
				return
			}
		case ibisserver.Fenced.Has(err):
			o.handleFenced(s, err)
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

func (o *Owner) handlePolled(s *server, reply ibisserver.Reply, sent time.Time) {
	if o.servers[s.vm.Name] != s {
		return
	}
	if s.leasesExpired {
		o.resync(s) // its tasks were reported as lost; only a claim shows what runs there now
		return
	}
	now := time.Now()
	o.updateClock(s, reply.Clock, sent)
	s.pollSeq = max(s.pollSeq, reply.Seq)
	if len(reply.Records) > 0 {
		o.applyRecords(s, reply.Records, now)
	}
}

// updateClock records a reading of the clock of s from the reply to a call that was sent at sent.
func (o *Owner) updateClock(s *server, clock int64, sent time.Time) {
	now := time.Now()
	s.clock, _ = s.clock.With(ibislease.Reading{Value: clock, Sent: sent, Received: now})
	if clock > s.reading {
		s.reading, s.lastContact = clock, now
	}
}

// grantLease returns the end of a lease granted on s now, in milliseconds of the server's clock, and records it
// in s.leaseHorizon.
func (o *Owner) grantLease(s *server) int64 {
	end := ibislease.RenewalEnd(s.reading, o.cfg.Lease)
	s.leaseHorizon = s.leaseHorizon.With(end)
	return end
}

// applyRecords updates tasks from a server's records: it adopts unknown running tasks and reports ended ones.
func (o *Owner) applyRecords(s *server, records []ibisserver.Record, now time.Time) {
	for _, r := range records {
		t := o.tasks[r.Task.ID]
		ended := r.State != ibisserver.Running
		if t == nil {
			if out := o.outbox[r.Task.ID]; out != nil && (ended || endedByRecord(out.event.State)) {
				continue // its end is already being reported; a reply that says otherwise is older
			}
			t = o.adopt(s.vm.Name, r)
			if !ended {
				o.tasks[t.id] = t
				o.count(t)
				o.cfg.Ledger.Use(t.meta.Team, t.size)
				o.queue.Charge(t.meta.Team, t.size)
				o.queueReport(o.event(t, ibiswire.TaskRunning), t)
				continue
			}
		}
		if !ended {
			t.started = true
			o.updateUsage(t, r)
			continue
		}
		e := o.eventFromRecord(t, r)
		e.Blameless = o.recordOutcome(t, r, now)
		o.endTask(t, e)
	}
}

// endedByRecord reports whether the end was read from a server's record, not concluded from expired leases or
// a VM that is gone.
func endedByRecord(s ibiswire.EventState) bool { return s.Ended() && s != ibiswire.TaskLost }

// checkLeaseExpiry checks whether every lease on an unreachable server has certainly expired.
func (o *Owner) checkLeaseExpiry(s *server, now time.Time) {
	if s.leasesExpired {
		return
	}
	if s.claimed {
		switch {
		case now.Sub(s.lastContact) <= expirySilence || !s.leaseHorizon.Expired(s.clock, now):
		case s.reassigned:
			o.releaseUnreachable(s)
		default:
			o.expireLeases(s)
		}
		return
	}
	// Never claimed here: a previous owner without contact may have renewed leases for
	// MaxRenewalWithoutContact.
	if (ibislease.Horizon{}).WithOwner(s.claimingSince.Add(MaxRenewalWithoutContact), o.cfg.Lease, 0).Expired(s.clock, now) {
		s.leasesExpired = true
	}
}

// releaseUnreachable removes an unreachable server that is assigned to another daemon. That daemon may renew
// the leases of its tasks, so none of them is reported as lost; an event without an owner makes the holders
// locate them.
func (o *Owner) releaseUnreachable(s *server) {
	var events []ibiswire.TaskEvent
	for _, t := range o.tasks {
		if t.server == s.vm.Name && t.sent {
			e := o.event(t, ibiswire.TaskRunning)
			e.Owner = ""
			events = append(events, e)
		}
	}
	log.WithField("server", s.vm.Name).Warn("ServerGivenUp")
	o.removeServer(s, false)
	for _, e := range events {
		o.queueReport(e, nil)
	}
}

// expireLeases marks all leases on s as expired and reports its tasks as lost.
func (o *Owner) expireLeases(s *server) {
	s.leasesExpired = true
	log.WithField("server", s.vm.Name).Warn("ServerLapsed")
	for _, t := range o.tasks {
		if t.server == s.vm.Name && t.sent {
			o.endTask(t, o.event(t, ibiswire.TaskLost))
		}
	}
	o.updateClosed(time.Now())
	o.resync(s) // it gets new work only after another claim, which returns its task records
}

// updateClosed closes servers to new work, or opens them again, according to shouldClose.
func (o *Owner) updateClosed(now time.Time) {
	o.updateEvacuations()
	aside := o.cfg.Snapshot().SetAside
	for name, s := range o.servers {
		f, ok := o.fleet.Server(name)
		if !ok {
			continue
		}
		s.aside = aside[name]
		closed := o.shouldClose(s, now)
		if closed != f.Closed {
			f.Closed = closed
			o.fleet.Put(f)
		}
	}
}

// shouldClose reports whether a server gets no new work: it is unclaimed, silent, leaving, set aside by an
// operator, in an evacuated failure domain or without allowance (see ibisaside.Guard), or its leases have expired.
func (o *Owner) shouldClose(s *server, now time.Time) bool {
	return !s.claimed || s.leasesExpired || s.leaving || s.aside != "" || o.evacuated(s) ||
		now.Sub(s.lastContact) > StartWindow || o.guard.Allowance(s.vm.Name, now) <= 0
}

// closeUnavailable closes servers whose allowance (see ibisaside.Guard) was used up by tasks just booked.
func (o *Owner) closeUnavailable(names []string, now time.Time) {
	for _, name := range names {
		s := o.servers[name]
		if f, ok := o.fleet.Server(name); ok && s != nil && !f.Closed && o.shouldClose(s, now) {
			f.Closed = true
			o.fleet.Put(f)
		}
	}
}

// sleep waits for d and returns true, or returns false once ctx is done.
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
