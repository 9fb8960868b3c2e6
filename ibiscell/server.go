package ibiscell

import (
	"cmp"
	"maps"
	"slices"

	"github.com/apex/log"

	"ibiscrank/ibiswork"
)

// ServerInfo describes one incarnation of a backend server, as listed by the platform.
type ServerInfo struct {
	Target
	FailureDomain string
	Service       string
	Rack          string
	Labels        []string
	Capacity      ibiswork.Resources
	Leaving       bool
	Cold          bool // still slow after its start
}

const (
	clockDriftPercent   = 2    // the platform allows a backend server's clock to run slow by this much
	renewBackoffMS      = 250  // first backoff after a failed renewal
	renewBackoffMaxMS   = 1000 // longest backoff after a failed renewal
	renewTimeoutSlackMS = 800  // a renewal has timed out this long after its long-poll timeout
	unresponsiveAfterMS = 1200 // a server silent for this long beyond the long-poll timeout gets no new tasks
	maxExtrapolationMS  = 3000 // since the report from which the clock of a server is extrapolated, whose renewal fails before that
	ackWaitMS           = 40   // a renewal waits this long for the commit of ended runs that it is to acknowledge
	ackHeldMinMS        = 5    // first pause between renewals while ends are listed again that must not be acknowledged yet
	ackHeldMaxMS        = 100
	slowAckWaitMS       = 400  // the same while the table is unavailable and nothing can be acknowledged
	failuresToSetAside  = 2    // consecutive failed runs after which a server is set aside
	asideMS             = 1500 // first backoff of a server that is set aside; doubled up to asideMaxMS
	asideMaxMS          = 12000
	maxEndsInReport     = 500    // ended runs that the platform's servers list in one report; they list the others later
	recentSuccessMS     = 20_000 // a success within this time qualifies a server for tasks on their last attempt
)

// server is the engine's view of a backend server.
type server struct {
	info   ServerInfo
	listed bool // contained in the platform's list
	used   ibiswork.Resources
	runs   map[RunName]*run

	// unknownRuns counts runs that the server reports and the engine does not know. Their size is unknown,
	// so nothing is placed beside them.
	unknownRuns int

	fences              fences
	openStarts          []openStart
	claimed             bool  // this incarnation has answered a renewal with a token of its own
	clockMS             int64 // the server's clock in its last report
	clockAt             Time  // when that report arrived
	leasesExpireBy      Time  // all leases on this incarnation have expired by then
	grantedAt           Time  // when the last order was sent that grants a lease
	lastContact         Time
	renewing            bool
	renewFailed         bool // the last renewal failed; no leases are granted until one succeeds, so they can expire
	renewSentAt         Time // when the last renewal was sent
	reportAskedAt       Time // when the renewal was sent that this incarnation answered last
	nextRenewal         Time
	renewBackoff        int64 // backoff after the next failed renewal, in milliseconds
	ackHeldMS           int64 // pause before the next renewal while acknowledgements are held back, in milliseconds; 0: they are not
	ackHeldSince        Time  // when that began; 0: they are not
	oldestEnd           int64 // lowest number of an ended run in the last report; the server keeps them until they are acknowledged. 0: none
	seenEnd             int64 // highest number of an ended run that was processed
	ackedEnd            int64 // highest number of an ended run whose effect is committed
	unacked             []uncommittedEnd
	silence             silence
	consecutiveFailures int
	asideUntil          Time  // no new tasks before this time
	asidePause          int64 // how long the server was last set aside, in milliseconds; 0 after a success
	lastSuccess         Time  // when a run last succeeded
	lastFailure         Time
	headroom            ibiswork.Resources // room that is kept free for quick jobs in the current placement
	reservedFor         *step              // step for which this server is kept free of work of lower rank
	crashSeen           bool               // this incarnation's process has ended without notice
	lapsed              []lapsedRun
	trialRuns           int  // runs on trial
	trialUntil          Time // until then nothing is started there but trials
	paced               serverPace
	aliveClockMS        int64 // on its clock: latest time at which this incarnation is known to have run
	answeredClockMS     int64 // the same by a reply to a start order, which the next incarnation may have answered
}

// uncommittedEnd is an ended run of a server, with the number of the journal change that records its
// effect.
type uncommittedEnd struct {
	n      int64
	change int64
}

// SetServers replaces the list of backend servers by the platform's current one, which must be complete.
func (e *Engine) SetServers(now Time, list []ServerInfo) {
	e.now = now
	present := make(map[string]bool, len(list))
	for _, info := range list {
		present[info.ID] = true
		e.setServer(info)
	}
	for id, s := range e.servers {
		if s.listed && !present[id] {
			s.listed = false
			e.placementDue = true
			e.serverLog(s).WithField("Runs", len(s.runs)).Info("ServerUnlisted")
		}
	}
}

func (e *Engine) setServer(info ServerInfo) {
	s := e.servers[info.ID]
	switch {
	case s == nil:
		e.checkPredecessor(info)
		s = e.addServer(info)
		e.serverLog(s).Info("ServerFound")
	case s.info.Incarnation != 0 && info.Incarnation != 0 && info.Incarnation < s.info.Incarnation:
		return // the list is older than the server's own report
	case info.Incarnation != s.info.Incarnation && s.info.Incarnation != 0:
		e.replaceIncarnation(s, info)
	case s.info.Incarnation == 0:
		s.info.Incarnation = info.Incarnation
	}
	if s.info.Leaving != info.Leaving || !s.listed {
		e.placementDue = true
		if info.Leaving {
			e.serverLog(s).WithField("Runs", len(s.runs)).Info("ServerLeaving")
		}
	}
	s.info, s.listed = info, true
}

// checkPredecessor renews the leases of a crashed server at once when another one is listed at its address.
func (e *Engine) checkPredecessor(info ServerInfo) {
	for _, s := range e.servers {
		if s.crashSeen && s.info.Address == info.Address && !s.renewing {
			s.nextRenewal = e.now
		}
	}
}

func (e *Engine) addServer(info ServerInfo) *server {
	s := &server{info: info, fences: e.newFences(), runs: make(map[RunName]*run), nextRenewal: e.now, renewBackoff: renewBackoffMS, lastContact: e.now}
	// Leases granted by a previous leader remain valid until that leader has lost its authority and they
	// have expired.
	s.leasesExpireBy = e.now + max(e.settings.LeaderLeaseMS+e.longestLeaseMS(), orderReachMS+e.maxLeaseMS())
	e.servers[info.ID], e.sorted = s, nil
	e.placementDue = true
	return s
}

// longestLeaseMS returns the longest time on the engine's clock from the grant of a lease to its end. The leader extrapolates
// the server's clock, and the server's may run slow.
func (e *Engine) longestLeaseMS() int64 {
	return withClockDrift(e.settings.LeaseMS+maxExtrapolationMS) - maxExtrapolationMS
}

// withClockDrift returns the longest time on the engine's clock in which a server's clock advances by ms.
func withClockDrift(ms int64) int64 { return ms*100/(100-clockDriftPercent) + 1 }

// replaceIncarnation records that s runs as a new incarnation. The runs of the previous one have ended, but
// an order sent in the meantime may have reached the new one, so the reports of the new one decide about
// every run.
func (e *Engine) replaceIncarnation(s *server, info ServerInfo) {
	e.serverLog(s).WithFields(log.Fields{
		"NewBorn": info.Incarnation, "Runs": len(s.runs), "HeardMSAgo": e.now - s.lastContact, "UnansweredStarts": len(s.openStarts),
		"OldClockMS": s.clockNow(e.now), "LeasesEndInMS": s.leasesExpireBy - e.now,
	}).Info("ServerReborn")
	e.serverCrashed(s, "Reborn", false)
	e.resolveLapsed(s, true)
	s.info, s.crashSeen, s.aliveClockMS, s.answeredClockMS = info, false, 0, 0
	s.fences.nextIncarnation()
	s.leasesExpireBy = max(s.leasesExpireBy, e.now+orderReachMS+e.maxLeaseMS())
	s.claimed, s.renewing, s.renewFailed, s.nextRenewal = false, false, false, e.now
	s.seenEnd, s.ackedEnd, s.unacked, s.unknownRuns = 0, 0, nil, 0
	s.ackHeldMS, s.ackHeldSince, s.oldestEnd, s.reportAskedAt = 0, 0, 0, 0
	s.consecutiveFailures, s.asideUntil, s.asidePause = 0, 0, 0
	for _, r := range sortRuns(slices.Collect(maps.Values(s.runs))) {
		r.listed, r.confirmed, r.startedClockMS = false, false, 0 // it has not been seen on this incarnation
		switch r.state {
		case runRunning, runStopping:
			e.setState(r, runRecovered)
		case runSent: // it may be what has crashed the previous incarnation, and may still reach this one
			e.stopRun(r)
		}
	}
	e.placementDue = true
}

// endRuns ends all runs of s.
func (e *Engine) endRuns(s *server, outcome RunOutcome) {
	for _, r := range sortRuns(slices.Collect(maps.Values(s.runs))) {
		e.endRun(r, outcome, "")
	}
	s.unknownRuns = 0
}

// sortRuns sorts runs by their names, so that simulations are reproducible.
func sortRuns(runs []*run) []*run {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.name.Task, b.name.Task), cmp.Compare(a.name.Run, b.name.Run))
	})
	return runs
}

// overcommitted reports whether the runs of s need more than its capacity, which may have shrunk.
func (s *server) overcommitted() bool {
	free := s.info.Capacity.Sub(s.used)
	return free.MilliCPU < 0 || free.MemoryMB < 0 || free.Accelerators < 0
}

// takesStarts reports whether a start that was decided on before may still be sent to s.
func (e *Engine) takesStarts(s *server) bool {
	return s.listed && !s.info.Leaving && !e.evacuated(s) && !s.crashSeen && !s.overcommitted()
}

// usable reports whether new tasks may be placed on s.
func (e *Engine) usable(s *server) bool {
	return s.listed && !s.info.Leaving && !e.evacuated(s) && s.claimed && !s.silence.recorded && !s.crashSeen && s.unknownRuns == 0 && e.now >= s.asideUntil && e.responsive(s)
}

// awaitingClaim reports whether s is expected to answer the first renewal of this leader, which claims it.
func (e *Engine) awaitingClaim(s *server) bool {
	return s.listed && !s.info.Leaving && !e.evacuated(s) && !s.claimed && !s.renewFailed
}

// checkServer sends the renewal of s when it is due, ends its runs when their leases have expired, and
// removes s once it is unlisted and empty.
func (e *Engine) checkServer(s *server) {
	if s.renewing && e.now-s.renewSentAt > e.settings.RenewWaitMS+renewTimeoutSlackMS+renewBackoffMaxMS {
		s.renewing = false // no result was reported for the renewal
	}
	if !s.renewing && e.now >= s.nextRenewal && s.info.Address != "" && (s.listed || len(s.runs) > 0) {
		e.renew(s)
	}
	if e.now > s.leasesExpireBy && len(s.runs) > 0 && (e.silent(s) || e.now-s.lastContact > e.settings.LeaseMS) && len(e.lapsedRuns(s)) > 0 {
		e.serverLog(s).WithFields(log.Fields{
			"Runs": len(s.runs), "HeardMSAgo": e.now - s.lastContact, "ClockMS": s.clockNow(e.now), "OverdueMS": e.now - s.leasesExpireBy,
			"UnansweredStarts": len(s.openStarts),
		}).Warn("LeasesLapsed")
		e.lapse(s)
		s.claimed = false
	}
	e.checkSilence(s)
	if !s.listed && len(s.runs) == 0 && e.now > s.leasesExpireBy && !s.silence.recorded {
		delete(e.servers, s.info.ID)
		e.lastFence = max(e.lastFence, s.fences.highest())
		e.paces.learner.Drop(s.info.ID)
		e.sorted = nil
	}
}

// renew renews the leases of s.
func (e *Engine) renew(s *server) {
	e.expectAnswers(s)
	s.renewing, s.renewSentAt = true, e.now
	c := Renew{Target: s.info.Target, Fence: s.fences.seen}
	if s.claimed && !s.renewFailed {
		c.WaitMS = e.settings.RenewWaitMS
		if s.trialRuns > 0 {
			c.WaitMS = min(c.WaitMS, startupMS)
		}
		if s.reportDue() {
			c.WaitMS = 0
		}
		switch {
		case !s.acksDue():
		case e.ackHeld(s) != ackFree:
			c.WaitMS, s.ackHeldMS, s.ackHeldSince = 0, max(s.ackHeldMS, ackHeldMinMS), cmp.Or(s.ackHeldSince, e.now)
		default:
			c.Acked, s.ackHeldMS, s.ackHeldSince = s.ackedEnd, 0, 0
		}
		c.LeaseEndMS = e.leaseEnd(s)
	}
	e.send(c)
}

// reportDue reports whether a run on s waits for a report: its start has had no reply, and is to be repeated once s has
// reported that it does not have the run, or it was started on the previous incarnation. Without the report, each repeat of
// a start that crashes the server may reach, and crash, the next incarnation before its birth is known.
func (s *server) reportDue() bool {
	for _, r := range s.runs {
		if r.state == runSent && r.retryAt != 0 && r.ordersSent > 0 && s.reportAskedAt <= r.startSentAt {
			return true
		}
		if r.state == runRecovered && r.sentAt != 0 {
			return true
		}
	}
	return false
}

// responsive reports whether s has answered recently.
func (e *Engine) responsive(s *server) bool {
	return e.now-s.lastContact < e.settings.RenewWaitMS+unresponsiveAfterMS
}

// clockNow estimates the clock of s.
func (s *server) clockNow(now Time) int64 { return s.clockMS + now - s.clockAt }

// leaseEnd returns the end of a lease granted now, in the clock of s, or 0 when this leader may no longer
// grant leases. It extends the time by which all leases of s have expired.
func (e *Engine) leaseEnd(s *server) int64 {
	if !s.claimed || s.silence.recorded || e.now-e.ledAt > e.settings.LeaderLeaseMS {
		return 0
	}
	end := s.clockNow(e.now) + e.settings.LeaseMS
	s.leasesExpireBy = max(s.leasesExpireBy, s.clockAt+withClockDrift(end-s.clockMS))
	s.grantedAt = e.now
	return end
}

// Renewed processes the report with which a backend server answered a renewal of its leases.
func (e *Engine) Renewed(now Time, r Report) {
	e.now = now
	s := e.servers[r.Target.ID]
	if s == nil || r.Target.Incarnation != 0 && r.Target.Incarnation < s.info.Incarnation {
		return
	}
	if r.Fence >= s.fences.first {
		s.renewing = false
	}
	if r.Target.Incarnation != 0 && s.info.Incarnation != 0 && r.Target.Incarnation != s.info.Incarnation {
		info := s.info
		info.Incarnation = r.Target.Incarnation
		e.replaceIncarnation(s, info)
	}
	if r.Fence < s.fences.first {
		return // orders with lower tokens may still change what the server reports
	}
	if !s.claimed {
		e.markClaimed(s)
	}
	s.lastContact, s.renewBackoff, s.renewFailed = now, renewBackoffMS, false
	e.notePoll(s, r.SentAt)
	s.reportAskedAt = max(s.reportAskedAt, r.SentAt)
	s.dropOpenStarts()
	s.clockMS, s.clockAt = r.ClockMS, now
	e.serverAnswered(s)
	e.processEnds(s, r.Ended)
	e.reconcileRuns(s, r)
	e.serverAliveAt(s, r.ClockMS)
	s.oldestEnd = 0
	if len(r.Ended) > 0 {
		s.oldestEnd = r.Ended[0].N
	}
	s.nextRenewal = now
	switch {
	case s.silence.recorded: // leases can be granted again once that is removed, which renews them
		s.nextRenewal = now + silentAfterMS
	case s.ackHeldSince != 0 && s.acksDue() && e.ackHeld(s) == ackFree: // the report lists the starts for which it was held back
		e.renew(s)
	case e.startsPutOff(s):
	case len(s.unacked) > 0 && now-e.lastCommit > slowAckWaitMS:
		s.nextRenewal = now + slowAckWaitMS
	case len(s.unacked) > 0:
		s.nextRenewal = now + ackWaitMS
	case e.ackHeld(s) != ackFree:
		s.nextRenewal = now + s.ackHeldMS
		s.ackHeldMS = min(max(2*s.ackHeldMS, ackHeldMinMS), ackHeldMaxMS)
	}
	e.placementDue = true
}

func (e *Engine) markClaimed(s *server) {
	s.claimed, s.ackedEnd, s.seenEnd, s.unacked = true, 0, 0, nil
	e.keepForTrials(s)
	// From now on the server does nothing for orders with lower tokens. One that was meant for its former incarnation may have
	// granted it a lease that ends at a time on the clock of that, which the server has cut to the longest that it grants.
	s.leasesExpireBy = max(e.now+e.longestLeaseMS(), e.formerLeasesEndBy(s))
	e.serverLog(s).WithFields(log.Fields{
		"Epoch": e.settings.Epoch, "Recovered": len(s.runs), "LeasesEndInMS": s.leasesExpireBy - e.now, "UnansweredStarts": len(s.openStarts),
	}).Info("ServerClaimed")
}

// RenewFailed processes a renewal that got no answer, was refused, or reached another incarnation of the
// server, in which case all runs are lost.
func (e *Engine) RenewFailed(now Time, t Target, fence int64, outcome OrderOutcome) {
	e.now = now
	s := e.servers[t.ID]
	if s == nil || s.info.Incarnation != t.Incarnation {
		return
	}
	s.renewing = false
	if outcome == OrderFenced && !e.fenced(s, fence) {
		s.nextRenewal = now
		return
	}
	s.renewFailed = true
	if outcome == OrderNoListener {
		e.serverCrashed(s, "NoListener", true)
	}
	if outcome == OrderReplaced {
		e.serverLog(s).Info("ServerReplaced")
		e.serverCrashed(s, "Replaced", false)
		e.resolveLapsed(s, true)
		e.endRuns(s, RunLost)
	}
	e.serverLog(s).WithFields(log.Fields{"Outcome": string(outcome), "HeardMSAgo": now - s.lastContact}).Info("HoldFailed")
	s.nextRenewal = now + s.renewBackoff
	s.renewBackoff = min(2*s.renewBackoff, renewBackoffMaxMS)
}

// processEnds processes the ended runs of a report that are new.
func (e *Engine) processEnds(s *server, ends []RunEnd) {
	for _, end := range ends {
		if end.N <= s.seenEnd {
			continue
		}
		s.seenEnd = end.N
		change := e.journal.lastChange
		if r := s.runs[end.Name]; r != nil {
			e.markListed(r)
			e.startedOnSuccessor(r)
			e.endRun(r, end.Outcome, end.Checkpoint)
			change = e.journal.lastChange
		} else if e.endUntracked(s, end) {
			change = e.journal.lastChange
		}
		s.unacked = append(s.unacked, uncommittedEnd{n: end.N, change: change})
	}
	e.acknowledge(s)
}

// acknowledge raises the highest acknowledged ended run of s up to the last one whose effect is committed.
func (e *Engine) acknowledge(s *server) {
	n := 0
	for n < len(s.unacked) && s.unacked[n].change <= e.journal.committed() {
		s.ackedEnd = s.unacked[n].n
		n++
	}
	if n > 0 {
		s.unacked = s.unacked[n:]
	}
}

// reconcileRuns compares the runs that the server reports as running with the engine's state.
func (e *Engine) reconcileRuns(s *server, rep Report) {
	s.unknownRuns = 0
	listed := make(map[RunName]bool, len(rep.Running))
	for _, l := range rep.Running {
		listed[l.Name] = true
		r := s.runs[l.Name]
		if r == nil {
			s.unknownRuns++
			e.serverLog(s).WithFields(log.Fields{"Task": l.Name.Task, "Run": l.Name.Run}).Info("UnknownRunStopped")
			e.orderStop(s, l.Name)
			continue
		}
		e.confirmRunning(r, l)
	}
	if len(rep.Ended) >= maxEndsInReport { // the end of a run that is not listed may follow
		return
	}
	var unlisted []*run
	for name, r := range s.runs {
		if !listed[name] {
			unlisted = append(unlisted, r)
		}
	}
	for _, r := range sortRuns(unlisted) {
		switch {
		case r.state == runRecovered:
			// Its start was ordered by a previous leader or from the previous incarnation, with a lower token. The server has
			// seen the present one, so that order can no longer take effect.
			e.endRun(r, RunLost, "")
		case r.state == runRunning && r.since < rep.SentAt:
			e.endRun(r, RunLost, "")
		case r.state == runStopping && r.stopped && r.since < rep.SentAt:
			e.endRun(r, RunStopped, "")
		}
	}
}

func (e *Engine) serverLog(s *server) *log.Entry {
	return e.log.WithFields(log.Fields{"Server": s.info.ID, "Born": s.info.Incarnation})
}

// recordOutcome updates the success and failure history of s, and sets s aside after consecutive failures.
func (e *Engine) recordOutcome(s *server, outcome RunOutcome) {
	switch outcome {
	case RunDone:
		s.consecutiveFailures, s.asidePause, s.lastSuccess = 0, 0, e.now
	case RunFailed:
		s.consecutiveFailures++
		s.lastFailure = e.now
		if s.consecutiveFailures >= failuresToSetAside {
			s.asidePause = min(max(2*s.asidePause, asideMS), asideMaxMS)
			s.asideUntil = e.now + s.asidePause
			e.serverLog(s).WithFields(log.Fields{"FailedInARow": s.consecutiveFailures, "ForMS": s.asidePause}).Warn("ServerSetAside")
		}
	}
}
