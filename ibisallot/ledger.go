// Package ibisallot keeps upper limits across the fleet as allotments: a team's limit is divided among
// the daemons in one row of the table, and each daemon admits by itself up to what it holds, also while
// the table service is away. The sum of what is held never exceeds the limit in force when it was granted.
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
	// Error is the class of errors that no other class names.
	Error = errs.Class("allot")
	// Conflict says that other daemons changed the rows at the same time; the next call tries again.
	Conflict = errs.Class("allot conflict")
	// Fenced says that the caller's incarnation is no longer live.
	Fenced = errs.Class("allot fenced")
	// Unavailable says that the table service is away.
	Unavailable = errs.Class("allot unavailable")
	// Unknown says that a write may have taken effect; the next call settles it.
	Unknown = errs.Class("allot outcome unknown")
)

// Times of the control rounds.
const (
	scanEvery = 500 * time.Millisecond // at most this old are the rows on which a round decides
	wantFor   = time.Second            // demand that RecordDemand does not repeat is dropped after this
	turn      = 10 * time.Second       // for which one daemon's indivisible demand goes first
	idleAfter = 5 * time.Second        // a team whose use was stable for this long gives back what it does not use
)

// Option changes how a ledger works.
type Option func(*Ledger)

// WithClock sets the clock, which is time.Now otherwise.
func WithClock(now func() time.Time) Option { return func(l *Ledger) { l.now = now } }

// Ledger is this daemon's part of all upper limits. Its methods may be called from any goroutine.
type Ledger struct {
	t     ibistable.Table
	fence ibistable.Write
	self  string
	now   func() time.Time

	rounds   sync.Mutex // held during Sync and MoveFrom
	lastScan time.Time
	losses   int
	stale    bool // the rows are read again before the next decision

	mu       sync.Mutex
	accounts map[string]*account
}

// account is one team's part. The allotment that counts is min(row, bound) less cut: no more than the
// row in the table can possibly say.
type account struct {
	row    Row
	used   ibiswork.Resources
	limit  ibiswork.Resources
	yield  ibiswork.Resources // to give up as tasks end
	cut    ibiswork.Resources // given up here, not yet in the row
	lost   ibiswork.Resources // used until new owners took the servers, not yet in the row
	unmet  ibiswork.Resources
	lump   ibiswork.Resources // what was unused when unmet was set: all of unmet needs more at once
	wanted time.Time          // when unmet was last set
	fresh  bool               // unmet was set since the last round
	active bool               // used grew since the last round
	moved  time.Time          // the last round that found it active or fresh
	wrote  time.Time
	// bound is what a write of the own allotment that may still take effect, conditional on the present
	// version of the row, would leave.
	bound   ibiswork.Resources
	bounded bool
}

// NewLedger makes the ledger of this incarnation. It holds nothing until the first Sync.
func NewLedger(t ibistable.Table, fence ibistable.Write, self string, opts ...Option) *Ledger {
	l := &Ledger{t: t, fence: fence, self: self, now: time.Now, accounts: make(map[string]*account)}
	for _, o := range opts {
		o(l)
	}
	return l
}

// held is the allotment that counts.
func (a *account) held(self string) ibiswork.Resources {
	h := a.row.Held[self]
	if a.bounded {
		h = h.Min(a.bound)
	}
	return positive(h.Sub(a.cut))
}

// account finds or makes the account of a team; l.mu is held.
func (l *Ledger) account(team string) *account {
	a := l.accounts[team]
	if a == nil {
		a = &account{row: Row{Team: team}}
		l.accounts[team] = a
	}
	return a
}

// TryUse counts r as used and reports true when, for each kind that r asks for, all that is used then
// fits in the allotment held. It does no I/O.
func (l *Ledger) TryUse(team string, r ibiswork.Resources) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	used, held, ask := amounts(a.used.Add(r)), amounts(a.held(l.self)), amounts(r)
	for i := range ask {
		if ask[i] > 0 && used[i] > held[i] {
			return false
		}
	}
	a.used, a.active = a.used.Add(r), true
	return true
}

// Use counts r as used whatever is held, for tasks that run already.
func (l *Ledger) Use(team string, r ibiswork.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	a.used, a.active = a.used.Add(r), true
}

// Free counts r as no longer used.
func (l *Ledger) Free(team string, r ibiswork.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	before := positive(a.held(l.self).Sub(a.used))
	a.used = positive(a.used.Sub(r))
	after := positive(a.held(l.self).Sub(a.used))
	give := positive(after.Sub(before)).Min(a.yield)
	a.yield = a.yield.Sub(give)
	a.cut = a.cut.Add(give)
}

// RecordDemand records that the team lacks r here: its whole demand that was refused for want of allotment,
// not a part of it. Of several calls between two rounds the largest amounts count, and after about a second
// without a call the demand is dropped.
func (l *Ledger) RecordDemand(team string, r ibiswork.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	if a.fresh {
		r = r.Max(a.unmet)
	}
	a.unmet, a.fresh, a.wanted = positive(r), true, l.now()
	a.lump = positive(a.held(l.self).Sub(a.used)).Min(a.unmet)
}

// Entry is the state of one team in a ledger.
type Entry struct {
	Held   ibiswork.Resources `json:"Held"`
	Used   ibiswork.Resources `json:"Used"`
	Wanted ibiswork.Resources `json:"Wanted"`
}

// Snapshot returns the state of every team that the ledger has met.
func (l *Ledger) Snapshot() map[string]Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := make(map[string]Entry, len(l.accounts))
	for team, a := range l.accounts {
		m[team] = Entry{Held: a.held(l.self), Used: a.used, Wanted: a.unmet}
	}
	return m
}
