// Package ibiscell is the scheduling engine of one cell, a set of backend servers with one leader. It accepts
// jobs, places their tasks on backend servers, renews the servers' leases, journals each change before it
// takes effect, and rebuilds its state from the journal after a change of leader. Package ibisnode runs it on
// the leader and carries out its commands.
//
// The engine is a deterministic state machine. Events are method calls that carry the current time; the
// actions they lead to are returned as commands. It does no I/O, starts no goroutines, and uses neither a
// clock nor random numbers. It must be used from one goroutine.
//
// A run is one attempt to run a task of a job (see package ibisjob) on a backend server. The server ends its
// runs when the lease that the leader granted it expires.
//
// The journal is a log: each batch holds what has changed since the one before, and rows go when no job that has not
// ended depends on them.
//
// A queue may require advice: the platform's advice service then decides which backend servers may run a
// step, and issues a ticket for each approved one. A start order must carry a ticket that has not expired.
// The service handles one call at a time from each VM, so the calls are made by helpers: the daemons of the
// cell.
//
// A backend server is set aside when several runs in a row have failed on it: it keeps its running tasks but
// gets no new ones for a backoff, which doubles each time up to a limit until a run succeeds there.
//
// A task may crash the servers that start it. The journal records under which tasks servers have crashed; these are
// tried, with no other start on their server, and given up once they are known to be the cause. While many jobs of a queue
// crash servers, one task of each of its steps is tried before the others start.
//
// Usage:
//
//	e := ibiscell.New(ibiscell.Settings{Epoch: 7}, logger)
//	e.SetConfig(cfg)
//	e.SetServers(now, servers)
//	e.Submit(now, reply, job)
//	if b := e.TakeBatch(now); b != nil {
//		// write b to the table, then:
//		e.Committed(now, b)
//	}
//	e.Tick(now)
//	for _, c := range e.Commands() {
//		// carry out c: start or stop a run, renew leases, ask for advice, answer a caller
//	}
package ibiscell

import (
	"cmp"
	"maps"
	"slices"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"ibiscrank/ibisestimate"
	"ibiscrank/ibisevacuation"
	"ibiscrank/ibisjob"
	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("cell")

// Time is an instant in milliseconds on a monotonic clock that keeps counting while the VM is suspended.
type Time = int64

// Settings holds the timing parameters of the engine, in milliseconds, and its epoch. Zero durations are
// replaced by the defaults.
type Settings struct {
	Epoch         int64 // of the leader; the fencing tokens of its orders are higher than those of all leaders before
	LeaseMS       int64 // length of the leases on backend servers
	MaxLeaseMS    int64 // longest lease that a backend server grants
	RenewWaitMS   int64 // long-poll timeout of a lease renewal
	LeaderLeaseMS int64 // after the beginning of its last commit, a leader grants and renews leases for this long only
	EvacuateMS    int64 // time after its acknowledgement from which an evacuation must be in force; 0: none are read
	IgnorePace    bool  // place tasks as if all servers had the same pace
}

// Default durations of Settings, in milliseconds.
const (
	defaultLeaseMS       = 6000  // outlasts a change of leader and a network partition of 5 s
	defaultMaxLeaseMS    = 10000 // upper bound set by the platform
	defaultRenewWaitMS   = 1000  // six renewals per lease
	defaultLeaderLeaseMS = 6000  // equal to the lease
)

func (s Settings) withDefaults() Settings {
	for _, f := range [...]struct {
		field *int64
		value int64
	}{
		{&s.LeaseMS, defaultLeaseMS}, {&s.MaxLeaseMS, defaultMaxLeaseMS}, {&s.RenewWaitMS, defaultRenewWaitMS},
		{&s.LeaderLeaseMS, defaultLeaderLeaseMS},
	} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	s.LeaseMS = min(s.LeaseMS, s.MaxLeaseMS)
	return s
}

// Engine is the scheduler of one cell. Create it with New.
type Engine struct {
	settings  Settings
	log       log.Interface
	now       Time
	cfg       *ibisjob.Config
	queues    map[string]ibisjob.Queue
	teams     map[string]*team
	servers   map[string]*server
	sorted    []*server // servers by ID; nil: to be sorted again
	lastFence int64     // highest fencing token of the servers that have been removed; 0: none
	jobs      map[ibisjob.ID]*job
	ended     map[ibisjob.ID]Ended
	kept      map[settingsKey]*keptSettings // of the queues and teams with jobs in the journal

	ready         []*step // steps with tasks that wait for placement
	scheduled     []*job  // jobs with occurrences that have not started yet
	placementDue  bool    // something changed since the last placement that may allow more tasks to start
	backlogMS     int64   // time that the usable servers need for the waiting tasks, as of the last placement
	lastPlacement Time
	estimator     ibisestimate.Estimator // run times of tasks, by team and queue
	judged        [worthless + 1]int     // steps to be placed in the last placement, by lateness

	journal     journal
	commands    []Command
	unticketed  []*run // runs whose tickets have expired before they could be started
	retries     []*run // runs whose start or stop order is to be sent again
	helpers     helpers
	adviceCalls map[int64]*adviceCall
	lastCallID  int64

	crashes     []seenCrash // recent ones
	crashScores map[account]*crashScore
	evacuations ibisevacuation.Set
	startsHeld  bool // as last logged by holdStarts
	paces       paces
	shares      shares

	caution       map[account]bool // accounts, and whole queues, whose jobs are tried before they start
	keepable      int              // servers that may still be kept free for trials
	trialServers  int              // servers that may be used for trials
	trialMS       float64          // moving average of the time for which a trial occupies its server
	trialsAhead   int              // tasks that waited for a trial in the last placement, those left out that come last
	trialsWaiting int              // tasks that waited for a trial in the last placement

	lastCommit Time
	ledAt      Time        // when the last write began that the table has accepted: no other daemon had taken the lead by then
	unixOffset int64       // Unix time minus engine time, in milliseconds
	memory     MemoryGuard // nil: there is always memory for another job
}

// team holds a client account's limits and its current use of the cell.
type team struct {
	name   string
	weight float64
	limit  ibiswork.Resources // upper limit; 0: the resource is not limited
	used   ibiswork.Resources

	configured bool // a configuration, or the journal, has contained it
}

// New returns an engine without jobs or backend servers.
func New(settings Settings, logger log.Interface) *Engine {
	return &Engine{
		settings:    settings.withDefaults(),
		log:         logger,
		cfg:         &ibisjob.Config{},
		queues:      make(map[string]ibisjob.Queue),
		teams:       make(map[string]*team),
		servers:     make(map[string]*server),
		jobs:        make(map[ibisjob.ID]*job),
		ended:       make(map[ibisjob.ID]Ended),
		kept:        make(map[settingsKey]*keptSettings),
		adviceCalls: make(map[int64]*adviceCall),
		crashScores: make(map[account]*crashScore),
		trialMS:     initialTrialMS,
		caution:     make(map[account]bool),
		estimator:   ibisestimate.Estimator{MaxKinds: maxEstimated},
	}
}

// SetConfig applies cfg if its version is newer than the current one. Queues and teams that cfg no longer contains
// keep their last settings for the jobs that still belong to them; the journal contains these for the next leader.
func (e *Engine) SetConfig(cfg *ibisjob.Config) {
	if cfg.Version <= e.cfg.Version {
		return
	}
	e.cfg = cfg
	for _, q := range cfg.Queues {
		e.queues[q.Name] = q
		e.settingsChanged(settingsKey{queueKind, q.Name})
	}
	for _, t := range cfg.Teams {
		tm := e.team(t.Name)
		tm.weight, tm.limit, tm.configured = t.Weight, t.UpperLimit, true
		e.settingsChanged(settingsKey{teamKind, t.Name})
	}
	e.placementDue = true
	e.log.WithField("Version", cfg.Version).Info("CellConfigApplied")
}

// MemoryGuard tells whether there is memory for a job that is about to be accepted, and counts it if so.
type MemoryGuard interface {
	Admit(j *ibisjob.Job) bool
}

// SetMemoryGuard makes the engine refuse jobs for which g has no memory.
func (e *Engine) SetMemoryGuard(g MemoryGuard) { e.memory = g }

// SetUnixTime tells the engine the Unix time that corresponds to now, both in milliseconds.
func (e *Engine) SetUnixTime(now Time, unixMS int64) { e.unixOffset = unixMS - now }

func (e *Engine) team(name string) *team {
	t := e.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1}
		e.teams[name] = t
	}
	return t
}

// Tick advances the engine to now: it renews and expires leases, retries orders, starts occurrences that are
// due, forgets jobs that ended long ago, places tasks and sends calls for advice.
func (e *Engine) Tick(now Time) {
	e.now = now
	e.chargeTeams()
	for _, s := range e.sortedServers() {
		e.checkServer(s)
	}
	e.resend()
	e.startOccurrences()
	e.expireCalls()
	e.purgeEnded()
	if e.holdStarts() {
		return // nothing that could be decided on may be started
	}
	if e.placementDue && now >= e.lastPlacement+e.placementGap() || now >= e.lastPlacement+maxPlacementGapMS {
		e.place()
	}
	e.dispatchAdvice()
}

// Commands returns the commands issued since the last call.
func (e *Engine) Commands() []Command {
	commands := e.commands
	e.commands = nil
	return commands
}

func (e *Engine) send(c Command) { e.commands = append(e.commands, c) }

// WaitingJobs returns the number of waiting jobs of each queue: jobs of which no task has started. Jobs with
// several occurrences are left out.
func (e *Engine) WaitingJobs() map[string]int {
	n := make(map[string]int)
	for _, j := range e.jobs {
		if !j.started && j.reportedState == ibisjob.Queued && j.spec.RunsOnce() {
			n[j.spec.Queue]++
		}
	}
	return n
}

// Load summarizes the state of the cell for logs and metrics.
type Load struct {
	Jobs, ReadySteps, Runs, Servers, Usable int     // Usable: servers that may get new tasks
	QueuedAdviceCalls                       int     // calls for advice that wait for a helper
	IdleHelpers                             int     // helpers without a call for advice
	TrialServers, TrialsWaiting             int     // servers with runs on trial, and tasks that waited for one in the last placement
	BacklogMS                               int64   // time that the usable servers need for the waiting tasks
	EvacuatedDomains, EvacuatedServers      int     // failure domains that are evacuated, and their servers
	EvacuatedRuns                           int     // runs on these servers
	StepsInTime, StepsLate, StepsWorthless  int     // steps to be placed in the last placement, by lateness
	DeclaredOff, ExpectedOff                float64 // factors by which declared and expected run times have been off lately
	SlowServers, FastServers                int     // servers with a pace that differs much from the average
	PaceSpread                              float64
	Used, Capacity                          ibiswork.Resources
	TeamsAboveShare                         int            // while a service is full: teams above their share of it
	HeadroomMilliCPU                        int64          // capacity that is kept free for quick jobs
	Refused                                 map[string]int // refused submissions since the engine began, by reason
}

// Load returns a summary of the cell.
func (e *Engine) Load() Load {
	l := Load{Jobs: len(e.jobs), ReadySteps: len(e.ready), Servers: len(e.servers), QueuedAdviceCalls: len(e.helpers.queue), BacklogMS: e.backlogMS}
	for _, name := range e.helpers.names {
		if len(e.helpers.busy[name]) == 0 {
			l.IdleHelpers++
		}
	}
	l.StepsInTime, l.StepsLate, l.StepsWorthless = e.judged[inTime], e.judged[late], e.judged[worthless]
	l.DeclaredOff, l.ExpectedOff = e.estimator.DeclaredOff(), e.estimator.ExpectedOff()
	l.TrialsWaiting, l.EvacuatedDomains = e.trialsWaiting, e.evacuations.Len()
	l.SlowServers, l.FastServers, l.PaceSpread = e.paces.slow, e.paces.fast, e.paces.spread
	for _, s := range e.servers {
		if s.trialRuns > 0 {
			l.TrialServers++
		}
		if e.evacuated(s) {
			l.EvacuatedServers++
			l.EvacuatedRuns += len(s.runs)
		}
		l.Runs += len(s.runs)
		l.Used = l.Used.Add(s.used)
		if e.usable(s) {
			l.Usable++
			l.Capacity = l.Capacity.Add(s.info.Capacity)
		}
	}
	e.addShares(&l)
	return l
}

// sortedServers returns the backend servers in the order of their IDs, so that simulations are
// reproducible. The caller must not modify the list.
func (e *Engine) sortedServers() []*server {
	if e.sorted == nil {
		e.sorted = slices.SortedFunc(maps.Values(e.servers), func(a, b *server) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return e.sorted
}
