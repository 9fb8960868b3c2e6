package ibiscell

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
)

// crash records a run under which a server has crashed, or may have.
type crash struct {
	_    struct{} `cbor:",toarray"`
	Run  int64
	Kind crashKind
}

// crashKind says how much a crash tells about the run.
type crashKind int

const (
	crashUncertain crashKind = iota + 1 // the run may not have started, or the server may only have been silent
	crashBystander                      // the run had been running for longer than startupMS; others may have been younger
	crashSuspect                        // the run had not been running for startupMS
	crashPrime                          // the same, and nothing had been started later
	crashSole                           // nothing else was running there, or nothing else had been started since the run was
)

func (c crash) uncertain() bool { return c.Kind == crashUncertain }

// certainCrashes returns how many records in list are of a server that has crashed while the run was there.
func certainCrashes(list []crash) (n int) {
	for _, c := range list {
		if !c.uncertain() {
			n++
		}
	}
	return n
}

func (k crashKind) String() string {
	return [...]string{"None", "Uncertain", "Bystander", "Suspect", "Prime", "Sole"}[max(0, min(k, crashSole))]
}

// The platform allows to give up a task under which two servers have crashed, and requires it before the third start
// after three crashes.
const (
	crashesToGiveUp      = 2      // if the last one was Sole, and jobs like the task's crash servers
	solesToGiveUp        = 2      // Sole crashes without such jobs, since a server may crash during a trial for another reason
	maxCrashes           = 5      // crashes of any kind after which a task is given up
	crashesToCountStarts = 3      // crashes after which each further start counts as one
	bystanderLimit       = 3      // crashes as a bystander after which a task is tried
	uncertainLimit       = 2      // uncertain crashes after which a task is tried
	startupMS            = 300    // a run whose server is running so long after its start, by its own clock, has not crashed it
	longTrialMS          = 30_000 // longest trial of a task that may crash its server later
	crashForgottenMS     = 60_000 // a run that has been running for so long has not crashed its server, and clears its task
	maxLoggedRuns        = 4      // runs named in a line about a crash
	sameStartMS          = 5      // runs that are sent within this time count as started at once
	outageMS             = 500    // servers that crash within this time may have crashed for the same reason
	lateOutageMS         = 1500   // the same if a crash was not seen at once
	crashRememberedMS    = 30_000 // longer than a server that has crashed takes to come back
)

// exposedRuns returns the runs that may be running on s.
func (s *server) exposedRuns() []*run {
	var list []*run
	for _, r := range s.runs {
		switch r.state {
		case runSent, runRunning, runStopping, runRecovered:
			list = append(list, r)
		}
	}
	slices.SortStableFunc(sortRuns(list), func(a, b *run) int { return -cmp.Compare(a.sentAt, b.sentAt) })
	return list
}

// unit identifies what is given up as a whole: a gang, or a task.
func (t *task) unit() any {
	if t.step.spec.Gang {
		return t.step
	}
	return t
}

// seenCrash is a crash of a server as this leader has seen it.
type seenCrash struct {
	server  string
	at      Time
	timely  bool // it was seen at once
	started bool // a run had been started there shortly before
}

// serverCrashed notes that the process of s has ended without notice; timely is set if it has just ended. The crash is
// recorded for its runs at once, since this leader may be gone before their ends are known. These are concluded when the
// server answers as another incarnation or its leases have ended: until then a refused connection may be the network's.
func (e *Engine) serverCrashed(s *server, seen string, timely bool) {
	if s.crashSeen {
		return
	}
	s.crashSeen = true
	if timely { // no other incarnation can have answered yet
		e.serverAliveAt(s, s.answeredClockMS)
	}
	runs := s.exposedRuns()
	var last []string
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		last = append(last, fmt.Sprintf("%s/%d", r.name.Task, r.name.Run))
	}
	f := log.Fields{
		"Seen": seen, "Runs": len(runs), "HeardMSAgo": e.now - s.lastContact, "Last": strings.Join(last, ","), "Leaving": s.info.Leaving,
	}
	if len(runs) > 0 && runs[0].sentAt != 0 {
		f["LastSentMSAgo"] = e.now - runs[0].sentAt
	}
	e.serverLog(s).WithFields(f).Warn("ServerCrashed")
	if s.info.Leaving { // it may have been shut down
		e.countLeaving(runs)
		return
	}
	e.rememberCrash(s, runs, timely)
	alone := len(runs) > 0 && !slices.ContainsFunc(runs, func(r *run) bool { return r.task.unit() != runs[0].task.unit() })
	for _, r := range runs {
		if r.crash != 0 { // an earlier incarnation has crashed, and this one has not answered
			continue
		}
		r.crashOf = s.info.Incarnation
		switch {
		case r.trial != noTrial:
			r.crash = crashSole
		case r.startedClockMS == 0: // its start order may have come too late
			r.crash = crashUncertain
		case alone:
			r.crash = crashSole
		case r.survived:
			r.crash = crashBystander
		case r.sentAt >= runs[0].sentAt-sameStartMS:
			r.crash = crashPrime
		default:
			r.crash = crashSuspect
		}
		e.countCrash(r)
	}
	if timely {
		e.scoreCrash(runs)
	}
}

// rememberCrash remembers a crash of s for outage.
func (e *Engine) rememberCrash(s *server, runs []*run, timely bool) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c seenCrash) bool { return e.now-c.at > crashRememberedMS })
	started := slices.ContainsFunc(runs, func(r *run) bool { return !r.survived })
	e.crashes = append(e.crashes, seenCrash{server: s.info.ID, at: e.now, timely: timely, started: started})
}

// outage reports whether another server has crashed at the same time as s where nothing had been started shortly before, so
// that both have a cause that lies elsewhere.
func (e *Engine) outage(s *server) bool {
	n := slices.IndexFunc(e.crashes, func(c seenCrash) bool { return c.server == s.info.ID })
	if n < 0 {
		return false
	}
	own := e.crashes[n]
	return slices.ContainsFunc(e.crashes, func(c seenCrash) bool {
		window := int64(outageMS)
		if !own.timely || !c.timely {
			window = lateOutageMS
		}
		return c.server != own.server && !c.started && max(c.at-own.at, own.at-c.at) <= window
	})
}

// serverAnswered notes that the incarnation of s answers that was taken for crashed or silent.
func (e *Engine) serverAnswered(s *server) {
	if s.crashSeen {
		e.serverLog(s).Info("ServerAlive")
		s.crashSeen = false
		for _, r := range s.runs {
			if r.crash != 0 && r.crashOf == s.info.Incarnation {
				r.crash = 0
				e.dropCrash(r.task, r.name.Run)
			}
		}
	}
	e.resolveLapsed(s, false)
}

// lapsedRun is a run whose leases have lapsed while its server was silent.
type lapsedRun struct {
	task *task
	run  int64
	kind crashKind // if the server turns out to have crashed
}

// lapse ends the runs of s whose leases have lapsed. Those that the server had started shortly before it fell silent may
// have crashed it.
func (e *Engine) lapse(s *server) {
	lapsed := e.lapsedRuns(s)
	if !s.crashSeen && !s.info.Leaving {
		runs := s.exposedRuns()
		for _, r := range runs {
			if r.survived || r.crash != 0 || !slices.Contains(lapsed, r) {
				continue
			}
			l := lapsedRun{task: r.task, run: r.name.Run, kind: crashSuspect}
			if r.startedClockMS == 0 {
				l.kind = crashUncertain
			} else if len(runs) == 1 || r.trial != noTrial {
				l.kind = crashSole
			}
			r.crash = crashUncertain
			e.countCrash(r)
			s.lapsed = append(s.lapsed, l)
		}
	}
	for _, r := range lapsed {
		e.endRun(r, RunExpired, "")
	}
	if len(s.runs) == 0 {
		s.unknownRuns = 0
	}
}

// resolveLapsed corrects the records of runs on s whose leases have lapsed, once the server has shown whether it had
// crashed.
func (e *Engine) resolveLapsed(s *server, crashed bool) {
	for _, l := range s.lapsed {
		j := l.task.step.occ.job
		if l.task.done || j.state.Final() {
			continue
		}
		j.log(e).WithFields(log.Fields{"Task": l.task.name(), "Run": l.run, "Crashed": crashed}).Info("LapsedRunResolved")
		if !crashed {
			e.dropCrash(l.task, l.run)
			continue
		}
		e.addCrash(l.task, crash{Run: l.run, Kind: l.kind})
		if e.exhausted(l.task) && !l.task.running() {
			e.finishFailed(l.task)
		}
	}
	s.lapsed = nil
}

// countCrash records that the server of r has crashed under it.
func (e *Engine) countCrash(r *run) {
	if r.task.done || r.task.step.occ.job.state.Final() {
		return
	}
	if r.survived && r.server.clockNow(e.now)-r.startedClockMS > crashForgottenMS {
		*r.task.crashRecords() = nil
		return
	}
	e.addCrash(r.task, crash{Run: r.name.Run, Kind: r.crash})
	e.runLog(r).WithFields(log.Fields{"Kind": r.crash.String(), "Crashes": len(*r.task.crashRecords())}).Info("CrashCounted")
}

// addCrash adds c to the records of t, or of its gang, unless they contain as much about the run already. The members of a
// gang count once for each run.
func (e *Engine) addCrash(t *task, c crash) {
	list := t.crashRecords()
	n := slices.IndexFunc(*list, func(o crash) bool { return o.Run == c.Run })
	switch {
	case n < 0:
		*list = append(slices.Clip(*list), c) // the journal shares the old list
	case (*list)[n].Kind < c.Kind:
		*list = slices.Clone(*list)
		(*list)[n].Kind = c.Kind
	default:
		return
	}
	e.markDirty(t.step.occ.job, nil)
}

// dropCrash removes the record of a run whose server has not crashed.
func (e *Engine) dropCrash(t *task, run int64) {
	list := t.crashRecords()
	if n := slices.IndexFunc(*list, func(c crash) bool { return c.Run == run }); n >= 0 {
		*list = slices.Delete(slices.Clone(*list), n, n+1)
		e.markDirty(t.step.occ.job, nil)
	}
}

// concludeCrash weakens the record of r, whose end is known now, if its server crashed in an outage.
func (e *Engine) concludeCrash(r *run) {
	list := r.task.crashRecords()
	n := slices.IndexFunc(*list, func(c crash) bool { return c.Run == r.name.Run })
	if n >= 0 && (*list)[n].Kind > crashBystander && e.outage(r.server) {
		*list = slices.Clone(*list)
		(*list)[n].Kind = crashBystander
		e.runLog(r).WithField("Crashes", len(*list)).Info("CrashInOutage")
	}
}

// crashRecords returns the crashes under t, or under its gang.
func (t *task) crashRecords() *[]crash {
	if t.step.spec.Gang {
		return &t.step.crashes
	}
	return &t.crashes
}

// clearedCrashes returns how many of the crashes under t, or its gang, a later run has shown not to come from it.
func (t *task) clearedCrashes() *int {
	if t.step.spec.Gang {
		return &t.step.cleared
	}
	return &t.cleared
}

// crashesServers reports whether t, or its gang, is known to crash servers: it must not start again.
func (t *task) crashesServers() bool {
	list := *t.crashRecords()
	sole := 0
	for _, c := range list {
		if c.Kind == crashSole {
			sole++
		}
	}
	if len(list) >= maxCrashes {
		return true
	}
	if certainCrashes(list) < crashesToGiveUp || list[len(list)-1].Kind != crashSole {
		return false
	}
	return sole >= solesToGiveUp || t.step.tryFirst
}

// exhausted reports whether t, or its gang, must not start again.
func (e *Engine) exhausted(t *task) bool {
	return !t.step.spec.LongRunning && e.attemptsUsed(t) || t.crashesServers()
}

// trialOf returns the trial that t, or its gang, needs because of the crashes under it.
func (t *task) trialOf() trial {
	list := (*t.crashRecords())
	list = list[min(*t.clearedCrashes(), len(list)):]
	bystander, uncertain := 0, 0
	for _, c := range list {
		switch c.Kind {
		case crashBystander:
			bystander++
		case crashUncertain:
			uncertain++
		default:
			return trialShort
		}
	}
	switch {
	case uncertain >= uncertainLimit:
		return trialShort
	case bystander >= bystanderLimit:
		return trialLong
	}
	return noTrial
}

// serverAliveAt records that the present incarnation of s was running when its clock showed clockMS: what was started there
// startupMS before has not crashed it.
func (e *Engine) serverAliveAt(s *server, clockMS int64) {
	if clockMS <= s.aliveClockMS {
		return
	}
	s.aliveClockMS = clockMS
	for _, r := range s.runs {
		switch age := clockMS - r.startedClockMS; {
		case r.startedClockMS == 0:
		case !r.survived && age >= startupMS:
			r.survived = true
			e.startSurvived(r)
		case r.trial == trialLong && age >= longTrialMS:
			e.clearCrashes(r)
		}
	}
}

// primeSuspect reports whether t, or its gang, was the last to start on a server that crashed.
func (t *task) primeSuspect() bool {
	list := *t.crashRecords()
	return slices.ContainsFunc(list[min(*t.clearedCrashes(), len(list)):], func(c crash) bool { return c.Kind >= crashPrime })
}

// startSurvived updates the task of r and its step when r has survived its start. A gang has survived when all of its
// members have.
func (e *Engine) startSurvived(r *run) {
	t := r.task
	if t.step.spec.Gang && slices.ContainsFunc(t.step.tasks, func(m *task) bool { return m.run == nil || !m.run.survived }) {
		return
	}
	t.step.survived = true
	list := t.crashRecords()
	if certainCrashes(*list) < crashesToGiveUp && slices.ContainsFunc(*list, crash.uncertain) {
		*list = slices.DeleteFunc(slices.Clone(*list), crash.uncertain)
		e.markDirty(t.step.occ.job, nil)
	}
	if r.trial != trialShort {
		return
	}
	if e.isNew(t) {
		e.addScore(accountOf(t), -survivedTrial)
	}
	e.clearCrashes(r)
}

// clearCrashes ends the trial of r, or of its gang, which has shown that the crashes so far have other causes.
func (e *Engine) clearCrashes(r *run) {
	*r.task.clearedCrashes() = len(*r.task.crashRecords())
	if !r.task.step.spec.Gang {
		e.endTrial(r)
		return
	}
	for _, t := range r.task.step.tasks {
		if t.run != nil {
			e.endTrial(t.run)
		}
	}
}

// UnmarshalCBOR also reads the record of earlier versions, which has no crashes.
func (r *TaskRec) UnmarshalCBOR(b []byte) error {
	type current TaskRec
	if err := cbor.Unmarshal(b, (*current)(r)); err == nil {
		return nil
	}
	var old struct {
		_          struct{} `cbor:",toarray"`
		Done       bool
		Run        int64
		Server     int
		Failed     failedRuns
		Checkpoint string
	}
	if err := cbor.Unmarshal(b, &old); err != nil {
		return err
	}
	*r = TaskRec{Done: old.Done, Run: old.Run, Server: old.Server, Failed: old.Failed, Checkpoint: old.Checkpoint}
	return nil
}

// UnmarshalCBOR also reads the record of earlier versions, which has no crashes.
func (c *stepChange) UnmarshalCBOR(b []byte) error {
	type current stepChange
	if err := cbor.Unmarshal(b, (*current)(c)); err == nil {
		return nil
	}
	var old struct {
		_      struct{} `cbor:",toarray"`
		N      int
		Failed failedRuns
		Done   bool
		Tasks  []taskChange
	}
	if err := cbor.Unmarshal(b, &old); err != nil {
		return err
	}
	*c = stepChange{N: old.N, Failed: old.Failed, Done: old.Done, Tasks: old.Tasks}
	return nil
}
