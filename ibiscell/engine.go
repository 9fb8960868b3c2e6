// Package ibiscell decides for one cell: which job is accepted, which backend server runs which task, what
// is journalled before what is done, and what a new leader makes of the journal.
//
// The engine is pure. Events are method calls with the time passed in; what has to be done comes out as
// commands. It has no network, no goroutines, no clock and no randomness of its own, and must be used from
// one goroutine.
//
// Usage:
//
//	e := ibiscell.New(ibiscell.Settings{Epoch: 7}, logger)
//	e.SetConfig(cfg)
//	e.SetServers(now, servers)
//	e.Submit(now, reply, job)
//	if b := e.TakeBatch(); b != nil {
//		// write b, then:
//		e.Committed(now, b)
//	}
//	e.Tick(now)
//	for _, c := range e.Commands() {
//		// Start, Stop, Hold, Advise, Answer
//	}
package ibiscell

import (
	"slices"

	"github.com/apex/log"
	"github.com/zeebo/errs"

	"ibiscrank/ibisjob"
	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("cell")

// Time is an instant in milliseconds of a clock that also counts while the VM is suspended.
type Time = int64

// Settings are the times that the engine goes by, in milliseconds. Zero values take the defaults.
type Settings struct {
	Epoch       int64 // fencing token towards backend servers
	LeaseMS     int64 // of everything that runs on a backend server
	MaxLeaseMS  int64 // longest lease that a backend server grants
	HoldWaitMS  int64 // how long a backend server may wait for an end before it answers
	AuthorityMS int64 // a leader renews leases for this long after its last commit
}

// Defaults of Settings, in milliseconds.
const (
	defaultLeaseMS     = 6000  // survives a takeover and a cut of five seconds
	defaultMaxLeaseMS  = 10000 // the platform's bound
	defaultHoldWaitMS  = 1000  // six renewals within a lease
	defaultAuthorityMS = 6000  // as long as a lease
)

func (s Settings) withDefaults() Settings {
	for _, f := range [...]struct {
		field     *int64
		otherwise int64
	}{
		{&s.LeaseMS, defaultLeaseMS}, {&s.MaxLeaseMS, defaultMaxLeaseMS}, {&s.HoldWaitMS, defaultHoldWaitMS},
		{&s.AuthorityMS, defaultAuthorityMS},
	} {
		if *f.field == 0 {
			*f.field = f.otherwise
		}
	}
	s.LeaseMS = min(s.LeaseMS, s.MaxLeaseMS)
	return s
}

// Engine is the state of one cell.
type Engine struct {
	set     Settings
	log     log.Interface
	now     Time
	cfg     *ibisjob.Config
	queues  map[string]ibisjob.Queue
	teams   map[string]*team
	servers map[string]*server
	jobs    map[ibisjob.ID]*job
	ended   map[ibisjob.ID]Ended

	ready     []*step // steps with tasks that wait for a place
	timed     []*job  // jobs with occurrences that are still to come
	replace   bool    // something has changed that a placement could use
	backlogMS int64   // time that the usable servers need for the work that waits, at the last placement
	placedAt  Time

	journal journal
	out     []Command
	retries []*run // runs whose order waits to be sent again
	helpers helpers
	asks    map[int64]*ask
	lastAsk int64

	lastCommit Time
	unixOffset int64 // Unix time less the engine's time
}

// team is the use that one client account makes of the cell.
type team struct {
	name   string
	weight float64
	limit  ibiswork.Resources
	used   ibiswork.Resources

	allowance   float64 // jobs that it may still submit while the cell is full
	allowanceAt Time
}

// New makes an engine without jobs or backend servers.
func New(set Settings, logger log.Interface) *Engine {
	return &Engine{
		set:     set.withDefaults(),
		log:     logger,
		cfg:     &ibisjob.Config{},
		queues:  make(map[string]ibisjob.Queue),
		teams:   make(map[string]*team),
		servers: make(map[string]*server),
		jobs:    make(map[ibisjob.ID]*job),
		ended:   make(map[ibisjob.ID]Ended),
		asks:    make(map[int64]*ask),
	}
}

// SetConfig takes a newer version of the configuration. Queues that it no longer names keep their last
// settings for the jobs that are there.
func (e *Engine) SetConfig(cfg *ibisjob.Config) {
	if cfg.Version <= e.cfg.Version {
		return
	}
	e.cfg = cfg
	for _, q := range cfg.Queues {
		e.queues[q.Name] = q
	}
	for _, t := range cfg.Teams {
		own := e.team(t.Name)
		own.weight, own.limit = t.Weight, t.UpperLimit
	}
	e.replace = true
	e.log.WithField("Version", cfg.Version).Info("CellConfigApplied")
}

// SetUnixTime tells the engine the Unix time that belongs to now, both in milliseconds.
func (e *Engine) SetUnixTime(now Time, unixMS int64) { e.unixOffset = unixMS - now }

func (e *Engine) team(name string) *team {
	t := e.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1}
		e.teams[name] = t
	}
	return t
}

// Tick lets time pass: leases lapse, orders are sent again, occurrences come due and tasks are placed.
func (e *Engine) Tick(now Time) {
	e.now = now
	for _, s := range e.servers {
		e.watch(s)
	}
	e.resend()
	e.startOccurrences()
	e.expireAsks()
	e.forgetEnded()
	if e.replace && now >= e.placedAt+e.placeGap() || now >= e.placedAt+placeEveryMS {
		e.place()
	}
	e.dispatchAdvice()
}

// Commands takes what has to be done since the last call.
func (e *Engine) Commands() []Command {
	out := e.out
	e.out = nil
	return out
}

func (e *Engine) send(c Command) { e.out = append(e.out, c) }

// Waiting counts, for each queue, the accepted jobs of which no task has started.
func (e *Engine) Waiting() map[string]int {
	n := make(map[string]int)
	for _, j := range e.jobs {
		if !j.started && j.shown == ibisjob.Queued && j.spec.RunsOnce() {
			n[j.spec.Queue]++
		}
	}
	return n
}

// Load is a summary of the cell for logs and metrics.
type Load struct {
	Jobs, ReadySteps, Runs, Servers, Usable int
	Asks                                    int   // calls for advice that wait
	IdleHelpers                             int   // daemons that are at no call for advice
	BacklogMS                               int64 // time that the usable servers need for the work that waits
	Used, Capacity                          ibiswork.Resources
}

// Load sums up the cell.
func (e *Engine) Load() Load {
	l := Load{Jobs: len(e.jobs), ReadySteps: len(e.ready), Servers: len(e.servers), Asks: len(e.helpers.queue), BacklogMS: e.backlogMS}
	for _, name := range e.helpers.names {
		if len(e.helpers.busy[name]) == 0 {
			l.IdleHelpers++
		}
	}
	for _, s := range e.servers {
		l.Runs += len(s.runs)
		l.Used = l.Used.Add(s.used)
		if e.usable(s) {
			l.Usable++
			l.Capacity = l.Capacity.Add(s.info.Capacity)
		}
	}
	return l
}

// sortedServers lists the backend servers in a fixed order, so that a day repeats.
func (e *Engine) sortedServers() []*server {
	all := make([]*server, 0, len(e.servers))
	for _, s := range e.servers {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *server) int {
		if a.info.ID < b.info.ID {
			return -1
		}
		return 1
	})
	return all
}
