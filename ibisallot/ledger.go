// Package ibisallot enforces each team's upper limit on resources across all daemons. The limit is divided
// into allotments, one for each daemon, in one row of the table. A daemon admits tasks up to its own
// allotment without I/O, also while the table service is unavailable. The sum of the allotments never exceeds
// the limit that was in force when they were granted. Package ibisdaemon keeps one Ledger in each daemon;
// package ibisowner counts its tasks against it.
//
// Usage:
//
//	l := ibisallot.NewLedger(table, inc.Fence(), inc.ID())
//	if !l.TryUse(team, r) {
//		l.RecordDemand(team, backlog)
//	}
//	err := l.Sync(ctx, limits, live) // about twice a second
package ibisallot

import (
	"sync"
	"time"

	"github.com/zeebo/errs"

	"ibiscrank/ibistable"
	"ibiscrank/ibiswork"
)

// Error classes of this package.
var (
	// Error is the class of all other errors.
	Error = errs.Class("allot")
	// Conflict means that other daemons changed the rows at the same time; the next call retries.
	Conflict = errs.Class("allot conflict")
	// Fenced means that the caller's incarnation is no longer live.
	Fenced = errs.Class("allot fenced")
	// Unavailable means that the table service can't be reached.
	Unavailable = errs.Class("allot unavailable")
	// Unknown means that a write may have taken effect; the next call finds out.
	Unknown = errs.Class("allot outcome unknown")
)

// Intervals of the control rounds.
const (
	scanInterval = 500 * time.Millisecond // maximum age of the rows on which a round decides
	demandTTL    = time.Second            // demand is dropped unless RecordDemand repeats it within this time
	turnLength   = 10 * time.Second       // how long the indivisible demand of one daemon has precedence
	idleAfter    = 5 * time.Second        // unused allotment is released after this long without activity
)

// Option configures a Ledger.
type Option func(*Ledger)

// WithClock replaces time.Now as the clock.
func WithClock(now func() time.Time) Option { return func(l *Ledger) { l.now = now } }

// Ledger holds this daemon's allotments of all teams and counts their use. It is safe for concurrent use.
type Ledger struct {
	t     ibistable.Table
	fence ibistable.Write
	self  string
	now   func() time.Time

	roundMu     sync.Mutex // serializes Sync and MoveFrom
	lastScan    time.Time
	lostHolders int
	mustRead    bool // the rows must be read before the next decision

	mu       sync.Mutex
	accounts map[string]*account
}

// account is the state of one team. The effective allotment is min(row, pendingBound) - released, which is
// never more than the row in the table can contain, whatever the outcome of a pending write.
type account struct {
	row             Row
	used            ibiswork.Resources
	limit           ibiswork.Resources
	toRelease       ibiswork.Resources // as tasks end
	released        ibiswork.Resources // released here but not yet in the row
	lost            ibiswork.Resources // see ReleaseClaimed; not yet in the row
	unmet           ibiswork.Resources // refused demand, see RecordDemand
	unusedAtRefusal ibiswork.Resources // unused when unmet was set; if not zero, unmet is indivisible
	refusedAt       time.Time          // when unmet was last set
	newDemand       bool               // unmet was set since the last round
	usageGrew       bool               // used grew since the last round
	lastActive      time.Time          // the last round that saw usageGrew or newDemand
	lastWrite       time.Time
	// pendingBound is the lowest allotment, before released is subtracted, that a write which may still take
	// effect can leave to this daemon. Such a write is conditional on the present version of the row. The
	// bound only applies if writePending is set.
	pendingBound ibiswork.Resources
	writePending bool
}

// NewLedger returns a ledger for the incarnation with ID self. It holds no allotments until the first Sync.
// The fence makes writes fail once the incarnation is no longer live.
func NewLedger(t ibistable.Table, fence ibistable.Write, self string, opts ...Option) *Ledger {
	l := &Ledger{t: t, fence: fence, self: self, now: time.Now, accounts: make(map[string]*account)}
	for _, o := range opts {
		o(l)
	}
	return l
}

// held returns the effective allotment.
func (a *account) held(self string) ibiswork.Resources {
	h := a.row.Held[self]
	if a.writePending {
		h = h.Min(a.pendingBound)
	}
	return nonNegative(h.Sub(a.released))
}

// account returns the account of a team and creates it if needed. The caller holds l.mu.
func (l *Ledger) account(team string) *account {
	a := l.accounts[team]
	if a == nil {
		a = &account{row: Row{Team: team}}
		l.accounts[team] = a
	}
	return a
}

// TryUse counts r as used and returns true if the total use then fits in the allotment in every resource
// dimension that r requests; otherwise it changes nothing. It does no I/O.
func (l *Ledger) TryUse(team string, r ibiswork.Resources) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	used, held, requested := toArray(a.used.Add(r)), toArray(a.held(l.self)), toArray(r)
	for i := range requested {
		if requested[i] > 0 && used[i] > held[i] {
			return false
		}
	}
	a.used, a.usageGrew = a.used.Add(r), true
	return true
}

// Use counts r as used regardless of the allotment, for tasks that are already running.
func (l *Ledger) Use(team string, r ibiswork.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	a.used, a.usageGrew = a.used.Add(r), true
}

// Free counts r as no longer used.
func (l *Ledger) Free(team string, r ibiswork.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	before := nonNegative(a.held(l.self).Sub(a.used))
	a.used = nonNegative(a.used.Sub(r))
	after := nonNegative(a.held(l.self).Sub(a.used))
	release := nonNegative(after.Sub(before)).Min(a.toRelease)
	a.toRelease = a.toRelease.Sub(release)
	a.released = a.released.Add(release)
}

// RecordDemand records that the allotment was too small for r, which is the team's whole refused demand on
// this daemon. The maximum of all calls between two rounds counts. The demand is dropped after about a
// second without a call.
func (l *Ledger) RecordDemand(team string, r ibiswork.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	if a.newDemand {
		r = r.Max(a.unmet)
	}
	a.unmet, a.newDemand, a.refusedAt = nonNegative(r), true, l.now()
	a.unusedAtRefusal = nonNegative(a.held(l.self).Sub(a.used)).Min(a.unmet)
}

// Entry is the allotment, the use and the unmet demand of one team in a ledger.
type Entry struct {
	Held   ibiswork.Resources `json:"Held"`
	Used   ibiswork.Resources `json:"Used"`
	Wanted ibiswork.Resources `json:"Wanted"`
}

// Snapshot returns the state of every team known to the ledger.
func (l *Ledger) Snapshot() map[string]Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := make(map[string]Entry, len(l.accounts))
	for team, a := range l.accounts {
		m[team] = Entry{Held: a.held(l.self), Used: a.used, Wanted: a.unmet}
	}
	return m
}
