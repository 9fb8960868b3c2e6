package ibiscell

import (
	"cmp"
	"math"

	"github.com/apex/log"

	"ibiscrank/ibispace"
)

// Backend servers may take different times for the same work. The engine learns the pace of each one (package ibispace)
// and ranks servers for a step by it. While paces do not differ, all servers have the same rank.

const (
	paceRefreshMS    = 500  // between refreshes of the servers' paces; a server's own runs change its pace at once
	useSpread        = 0.15 // spread of paces from which on they are used
	unusedSpread     = 0.10 // spread below which they no longer are
	unknownPace      = 1.6  // assumed of a server that has just been listed, so that lax work tries it first; as uncertain as that of a cold one
	coldPace         = 1.6  // assumed of a cold server until its runs have shown its pace
	remarkablePace   = 1.3  // a server that takes so many times the average, or its inverse, counts as slow or fast
	maxPaceLogs      = 10   // servers found slow or fast that are logged in one refresh
	paceMargin       = 1.2  // ratio of a task's length to its expected length that must be sufficient
	widthMargin      = 0.18 // added for each e-fold number of tasks, since a step is as long as its longest task
	startOverheadMS  = 40   // orders and reports of a run, besides the commit
	paceClassWidth   = 0.2  // servers whose logarithms of paces differ by less are alike
	maxPaceClass     = 7    // classes on either side of the average
	insufficientRank = 16   // ranks from here on are of servers that are too slow for the step
	slowPenalty      = 7    // of these in bestCandidate: below that of the server of the last failure

	endSlackFraction = 0.15 // uncertainty of a run's time, as a part of it, up to which the run teaches
	pollWaitedMS     = 50   // a poll that was answered later than this was waiting when the run ended
	maxPollGapMS     = 250  // a longer gap between polls always makes the end of a run uncertain
)

// paces is what the engine knows of the paces of all servers.
type paces struct {
	learner    ibispace.Learner
	inUse      bool
	spread     float64
	fastest    float64 // lowest pace of a usable server
	slow, fast int     // number of servers that are remarkably slow or fast
	nextCheck  Time
	nextRow    Time
	learned    bool // since the last row
}

// serverPace is what the engine knows of the pace of one server.
type serverPace struct {
	pace   float64 // 0: not known, taken for 1
	bound  float64 // that it hardly exceeds, by which servers are ranked; 0: not known
	class  int     // servers of the same class have bounds that are alike; higher: slower
	logged int     // whether it was last logged as slow, 1, or fast, -1
	gapMS  int64   // how long before the last report the ends in it may have been
}

// value returns the pace.
func (p *serverPace) value() float64 {
	if p.pace == 0 {
		return 1
	}
	return p.pace
}

// notePoll records, before a report is processed, how long before it runs may have ended.
func (e *Engine) notePoll(s *server, sentAt Time) {
	gap := max(sentAt-s.clockAt, 0)
	if gap <= maxPollGapMS && e.now-sentAt > pollWaitedMS {
		gap = 0
	}
	s.paced.gapMS = gap
}

// observePace learns from the end of r if its time is known well enough and tells the pace of its server alone.
func (e *Engine) observePace(r *run, outcome RunOutcome) {
	st, s := r.task.step, r.server
	if outcome != RunDone || r.state != runRunning || r.sentClockMS == 0 || r.startedClockMS == 0 || r.resumed {
		return
	}
	if st.spec.Gang || st.spec.LongRunning || st.spec.Colocated || st.spec.Rack != "" && st.spec.Rack != s.info.Rack {
		return
	}
	ms := float64(s.clockMS) - float64(r.sentClockMS+r.startedClockMS)/2
	if float64(r.startedClockMS-r.sentClockMS)/2+float64(s.paced.gapMS) > endSlackFraction*ms {
		return
	}
	j := st.occ.job
	e.paces.learner.Observe(e.now, ibispace.Run{
		Server: s.info.ID, Incarnation: s.info.Incarnation, Step: st.name, Kind: j.spec.Queue + "/" + j.spec.Team, Tasks: len(st.tasks), MS: ms,
	})
	e.paces.learned = true
	e.refreshPace(s)
}

// refreshPace updates the pace of s, and reports whether its runs have shown it.
func (e *Engine) refreshPace(s *server) (known bool) {
	s.paced.pace, known = e.paces.learner.Pace(e.now, s.info.ID, s.info.Incarnation)
	s.paced.bound = e.paces.learner.Cautious(e.now, s.info.ID, s.info.Incarnation)
	if s.info.Cold && !known {
		s.paced.pace, s.paced.bound = max(s.paced.pace, coldPace), max(s.paced.bound, coldPace*unknownPace)
	}
	class := math.Round(math.Log(s.paced.bound) / paceClassWidth)
	s.paced.class = int(min(max(class, -maxPaceClass), maxPaceClass))
	return known
}

// refreshPaces updates the paces of all servers, and whether they are used.
func (e *Engine) refreshPaces(servers []*server) {
	p := &e.paces
	if e.now < p.nextCheck {
		return
	}
	p.nextCheck = e.now + paceRefreshMS
	cold, logs := 0, 0
	p.slow, p.fast, p.fastest = 0, 0, math.Inf(1)
	for _, s := range servers {
		if s.info.Incarnation == 0 || !s.listed {
			continue
		}
		known := e.refreshPace(s)
		if s.info.Cold && !known {
			cold++
		}
		if e.usable(s) {
			p.fastest = min(p.fastest, s.paced.value())
		}
		class := 0
		switch pace := s.paced.value(); {
		case known && pace >= remarkablePace:
			p.slow++
			class = 1
		case known && pace <= 1/remarkablePace:
			p.fast++
			class = -1
		}
		if class != 0 && class != s.paced.logged && logs < maxPaceLogs && p.inUse {
			logs++
			s.paced.logged = class
			e.serverLog(s).WithField("Pace", round2(s.paced.value())).Info("ServerPaceFound")
		}
	}
	p.spread = p.learner.Spread()
	inUse := p.spread >= useSpread || p.inUse && p.spread >= unusedSpread || cold > 0
	if inUse = inUse && !e.settings.IgnorePace; inUse != p.inUse {
		p.inUse = inUse
		e.log.WithFields(log.Fields{"InUse": inUse, "Spread": round2(p.spread), "Slow": p.slow, "Fast": p.fast, "Cold": cold}).Info("PaceUseChanged")
	}
}

func round2(v float64) float64 { return math.Round(100*v) / 100 }

// paceRank ranks servers for a step by their pace. Its zero value gives all the same rank.
type paceRank struct {
	inUse   bool
	allowed float64 // largest pace that is sufficient
}

// paceRank returns the ranking for st. A step of unknown length and a long-running one have no preference.
func (e *Engine) paceRank(st *step) paceRank {
	if !e.paces.inUse || st.spec.LongRunning || st.spec.EstimateMS <= 0 {
		return paceRank{}
	}
	begin, length := e.objective(st.occ)
	start := e.now + e.journal.expectedWait(e.now) + startOverheadMS
	left, need := float64(begin+length-start), float64(e.remainingMS(st))
	if left < need*e.paces.fastest { // the job is late; it keeps a part of its value for some time
		left = float64(begin + lateFactor*length - start)
	}
	if left <= 0 { // the job has lost its value
		return paceRank{inUse: true, allowed: math.Inf(1)}
	}
	margin := paceMargin + widthMargin*math.Log(float64(len(st.tasks)))
	return paceRank{inUse: true, allowed: left / (margin * need)}
}

// of returns the rank of s, the best first: servers that are sufficient, the slowest of them first, then those that are
// not, the fastest first. Servers of similar pace have the same rank.
func (k paceRank) of(s *server) int {
	if !k.inUse {
		return 0
	}
	if cmp.Or(s.paced.bound, unknownPace) <= k.allowed {
		return 1 + maxPaceClass - s.paced.class
	}
	return insufficientRank + maxPaceClass + s.paced.class
}

// paceScore combines the rank of c with the fraction of its server that is free: the rank, if there is one, decides first.
func (c *candidate) paceScore(free float64) float64 {
	if c.rank == 0 {
		return free
	}
	score := (float64(c.rank%insufficientRank) + free) / insufficientRank
	if c.rank >= insufficientRank {
		score += slowPenalty
	}
	return score
}

// comparePace orders servers that are sufficient for a step before those that are not, which it orders by their rank.
func comparePace(a, b int) int {
	return cmp.Compare(max(a, insufficientRank-1), max(b, insufficientRank-1))
}
