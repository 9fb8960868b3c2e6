package ibiscell

import (
	"slices"

	"github.com/apex/log"

	"ibiscrank/ibiswork"
)

// ServerInfo is what the platform's list says of one life of a backend server.
type ServerInfo struct {
	Target
	FailureDomain string
	Service       string
	Rack          string
	Labels        []string
	Capacity      ibiswork.Resources
	Leaving       bool
}

const (
	clockDriftPercent  = 2    // a backend server's clock may be this much slow, from the platform's page
	holdRetryMS        = 250  // first pause after a hold without an answer
	holdRetryMaxMS     = 1000 // longest pause
	holdSlackMS        = 800  // beyond its wait, after which a hold counts as unanswered
	staleServerMS      = 1200 // beyond the wait of a hold, without an answer: no new tasks
	ackWaitMS          = 40   // a hold waits this long for the commit of the ends that it is to acknowledge
	slowAckWaitMS      = 400  // between holds while the table is away and nothing can be acknowledged
	failuresUntilAside = 2    // failed runs in a row that set a server aside
	asideMS            = 1500 // first time aside, doubled up to asideMaxMS
	asideMaxMS         = 12000
	freshSuccessMS     = 20_000 // a server that ended a run well since is trusted with last attempts
)

// server is a backend server as the engine knows it.
type server struct {
	info   ServerInfo
	listed bool // in the platform's list
	used   ibiswork.Resources
	runs   map[RunName]*run

	// foreign counts runs that the server lists and that the engine does not know. Their size is unknown, so
	// nothing is placed beside them.
	foreign int

	reached    bool // has answered a hold of this leader in this life
	clockMS    int64
	clockAt    Time
	horizon    Time // all leases on this life have certainly ended
	heardAt    Time
	holding    bool
	missed     bool // the last hold had no answer: leases must be able to end, so none are renewed
	holdAt     Time // when the last hold was sent
	nextHold   Time
	holdPause  int64
	seenEnd    int64 // highest end that was processed
	ackedEnd   int64 // highest end whose effect is committed
	unacked    []uncommittedEnd
	failRow    int
	asideUntil Time
	asidePause int64
	goodAt     Time // when a run last ended well
	failedAt   Time
	claimedBy  *step // a gang that waits for this server to become free
}

// uncommittedEnd is an end whose effect is committed with the journal change of the given number.
type uncommittedEnd struct {
	n      int64
	change int64
}

// SetServers takes the platform's whole list of backend servers.
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
			e.replace = true
			e.serverLog(s).WithField("Runs", len(s.runs)).Info("ServerUnlisted")
		}
	}
}

func (e *Engine) setServer(info ServerInfo) {
	s := e.servers[info.ID]
	switch {
	case s == nil:
		s = e.addServer(info)
		e.serverLog(s).Info("ServerFound")
	case s.info.Born != 0 && info.Born != 0 && info.Born < s.info.Born:
		return // the list lags behind what the server itself has said
	case info.Born != s.info.Born && s.info.Born != 0:
		e.reborn(s, info)
	case s.info.Born == 0:
		s.info.Born = info.Born
	}
	if s.info.Leaving != info.Leaving || !s.listed {
		e.replace = true
		if info.Leaving {
			e.serverLog(s).WithField("Runs", len(s.runs)).Info("ServerLeaving")
		}
	}
	s.info, s.listed = info, true
}

func (e *Engine) addServer(info ServerInfo) *server {
	s := &server{info: info, runs: make(map[RunName]*run), nextHold: e.now, holdPause: holdRetryMS, heardAt: e.now}
	// Leases that an earlier leader granted may run on until it lost its authority and they lapsed.
	s.horizon = e.now + e.set.AuthorityMS + stretched(e.set.MaxLeaseMS)
	e.servers[info.ID] = s
	e.replace = true
	return s
}

// stretched is the longest time on our clock in which a server's clock advances by ms.
func stretched(ms int64) int64 { return ms*100/(100-clockDriftPercent) + 1 }

// reborn takes note that s is in a later life. What ran in the earlier one has ended, but an order that was
// sent meanwhile may have reached the later one, so its lists decide about every run.
func (e *Engine) reborn(s *server, info ServerInfo) {
	e.serverLog(s).WithFields(log.Fields{"NewBorn": info.Born, "Runs": len(s.runs)}).Info("ServerReborn")
	s.info = info
	s.reached, s.holding, s.missed, s.nextHold = false, false, false, e.now
	s.seenEnd, s.ackedEnd, s.unacked, s.foreign = 0, 0, nil, 0
	s.failRow, s.asideUntil, s.asidePause = 0, 0, 0
	for _, r := range s.runs {
		switch r.state {
		case runRunning, runStopping:
			e.setState(r, runRecovered)
		}
	}
	e.replace = true
}

// loseRuns ends every run of s that its lists do not show any more.
func (e *Engine) loseRuns(s *server, how How) {
	for _, r := range sortedRuns(s) {
		e.endRun(r, how, "")
	}
	s.foreign = 0
}

func sortedRuns(s *server) []*run {
	all := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int {
		if a.name.Task < b.name.Task || a.name.Task == b.name.Task && a.name.Run < b.name.Run {
			return -1
		}
		return 1
	})
	return all
}

// usable reports whether new tasks may be placed on s.
func (e *Engine) usable(s *server) bool {
	return s.listed && !s.info.Leaving && s.reached && s.foreign == 0 && e.now >= s.asideUntil && e.heard(s)
}

// awaited reports whether s has yet to answer its first hold of this leader, and is likely to.
func (s *server) awaited() bool { return s.listed && !s.info.Leaving && !s.reached && !s.missed }

// watch sends the holds of s when they are due and lets its leases lapse.
func (e *Engine) watch(s *server) {
	if s.holding && e.now-s.holdAt > e.set.HoldWaitMS+holdSlackMS+holdRetryMaxMS {
		s.holding = false // the driver has lost it
	}
	if !s.holding && e.now >= s.nextHold && s.info.Address != "" && (s.listed || len(s.runs) > 0) {
		e.hold(s)
	}
	if e.now > s.horizon && len(s.runs) > 0 && e.now-s.heardAt > e.set.LeaseMS {
		e.serverLog(s).WithFields(log.Fields{"Runs": len(s.runs), "HeardMSAgo": e.now - s.heardAt}).Warn("LeasesLapsed")
		e.loseRuns(s, EndLapsed)
		s.reached = false
	}
	if !s.listed && len(s.runs) == 0 && e.now > s.horizon {
		delete(e.servers, s.info.ID)
	}
}

func (e *Engine) hold(s *server) {
	s.holding, s.holdAt = true, e.now
	h := Hold{Target: s.info.Target, Epoch: e.set.Epoch}
	if s.reached && !s.missed { // else it may be in another life, whose ends have the same numbers
		h.Acked = s.ackedEnd
		h.WaitMS = e.set.HoldWaitMS
		h.LeaseEndMS = e.leaseEnd(s)
	}
	e.send(h)
}

// heard reports whether s has answered lately.
func (e *Engine) heard(s *server) bool { return e.now-s.heardAt < e.set.HoldWaitMS+staleServerMS }

// leaseEnd is the end of a lease from now on in the clock of s, or 0 when this leader may no longer grant any.
func (e *Engine) leaseEnd(s *server) int64 {
	if !s.reached || e.now-e.lastCommit > e.set.AuthorityMS {
		return 0
	}
	end := s.clockMS + (e.now - s.clockAt) + e.set.LeaseMS
	s.horizon = max(s.horizon, s.clockAt+stretched(end-s.clockMS))
	return end
}

// Held takes the answer to a Hold.
func (e *Engine) Held(now Time, r Report) {
	e.now = now
	s := e.servers[r.Target.ID]
	if s == nil || r.Target.Born != 0 && r.Target.Born < s.info.Born {
		return
	}
	s.holding = false
	if r.Target.Born != 0 && s.info.Born != 0 && r.Target.Born != s.info.Born {
		info := s.info
		info.Born = r.Target.Born
		e.reborn(s, info)
	}
	if !s.reached {
		e.claimed(s)
	}
	s.heardAt, s.holdPause, s.missed = now, holdRetryMS, false
	s.clockMS, s.clockAt = r.ClockMS, now
	e.takeEnds(s, r.Ended)
	e.takeRunning(s, r)
	s.nextHold = now
	switch {
	case len(s.unacked) > 0 && now-e.lastCommit > slowAckWaitMS:
		s.nextHold = now + slowAckWaitMS
	case len(s.unacked) > 0:
		s.nextHold = now + ackWaitMS
	}
	e.replace = true
}

func (e *Engine) claimed(s *server) {
	s.reached, s.ackedEnd, s.seenEnd, s.unacked = true, 0, 0, nil
	// From here on only this leader's grants count.
	s.horizon = e.now + stretched(e.set.MaxLeaseMS)
	e.serverLog(s).WithFields(log.Fields{"Epoch": e.set.Epoch, "Recovered": len(s.runs)}).Info("ServerClaimed")
}

// HoldFailed says that a Hold had no answer, or that another life of the server answered.
func (e *Engine) HoldFailed(now Time, t Target, how OrderOutcome) {
	e.now = now
	s := e.servers[t.ID]
	if s == nil || s.info.Born != t.Born {
		return
	}
	s.holding, s.missed = false, true
	if how == OrderFenced {
		e.send(Deposed{Epoch: e.set.Epoch})
	}
	if how == OrderReplaced {
		e.serverLog(s).Info("ServerReplaced")
		e.loseRuns(s, EndLost)
	}
	e.serverLog(s).WithFields(log.Fields{"Outcome": string(how), "HeardMSAgo": now - s.heardAt}).Info("HoldFailed")
	s.nextHold = now + s.holdPause
	s.holdPause = min(2*s.holdPause, holdRetryMaxMS)
}

func (e *Engine) takeEnds(s *server, ends []End) {
	for _, end := range ends {
		if end.N <= s.seenEnd {
			continue
		}
		s.seenEnd = end.N
		change := e.journal.lastChange
		if r := s.runs[end.Name]; r != nil {
			e.endRun(r, end.How, end.Checkpoint)
			change = e.journal.lastChange
		}
		s.unacked = append(s.unacked, uncommittedEnd{n: end.N, change: change})
	}
	e.acknowledge(s)
}

// acknowledge moves the acknowledged ends of s up to what is committed.
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

// takeRunning compares what the server lists as running with what the engine believes.
func (e *Engine) takeRunning(s *server, rep Report) {
	s.foreign = 0
	listed := make(map[RunName]bool, len(rep.Running))
	for _, l := range rep.Running {
		listed[l.Name] = true
		r := s.runs[l.Name]
		if r == nil {
			s.foreign++
			e.serverLog(s).WithFields(log.Fields{"Task": l.Name.Task, "Run": l.Name.Run}).Info("UnknownRunStopped")
			e.send(Stop{Target: s.info.Target, Name: l.Name, Epoch: e.set.Epoch})
			continue
		}
		e.confirm(r, l, rep.SentAt)
	}
	for _, r := range sortedRuns(s) {
		if listed[r.name] {
			continue
		}
		switch {
		case r.state == runRecovered:
			// The server obeys this leader now, so a start of the former one cannot come any more.
			e.endRun(r, EndLost, "")
		case r.state == runRunning && r.since < rep.SentAt:
			e.endRun(r, EndLost, "")
		case r.state == runStopping && r.stopped && r.since < rep.SentAt:
			e.endRun(r, EndStopped, "")
		}
	}
}

func (e *Engine) serverLog(s *server) *log.Entry {
	return e.log.WithFields(log.Fields{"Server": s.info.ID, "Born": s.info.Born})
}

// noteEnd counts a run that ended well or badly against its server.
func (e *Engine) noteEnd(s *server, how How) {
	switch how {
	case EndDone:
		s.failRow, s.asidePause, s.goodAt = 0, 0, e.now
	case EndFailed:
		s.failRow++
		s.failedAt = e.now
		if s.failRow >= failuresUntilAside {
			s.asidePause = min(max(2*s.asidePause, asideMS), asideMaxMS)
			s.asideUntil = e.now + s.asidePause
			e.serverLog(s).WithFields(log.Fields{"FailedInARow": s.failRow, "ForMS": s.asidePause}).Warn("ServerSetAside")
		}
	}
}
