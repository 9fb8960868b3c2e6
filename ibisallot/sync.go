package ibisallot

import (
	"context"
	"sort"
	"time"

	"ibiscrank/ibiscommit"
	"ibiscrank/ibisincarnation"
	"ibiscrank/ibistable"
	"ibiscrank/ibiswork"
)

// Limits of one control round.
const (
	maxRowsPerRound       = 32  // written by one round
	maxRowsPerTransaction = 8   // written in one transaction
	scanPageRows          = 256 // read at a time
	callTimeout           = 2 * time.Second
)

// rowChange is one row to write, with the state of its account that is restored or updated once the outcome is
// known.
type rowChange struct {
	team        string
	row         Row
	released    ibiswork.Resources // of the account when the row was planned
	lost        ibiswork.Resources // of the account when the row was planned
	prevBound   ibiswork.Resources // pendingBound of the account before this change
	prevPending bool               // writePending of the account before this change
	urgent      bool
	lastWrite   time.Time
}

// Sync runs one control round: it reads the rows if they are outdated, grows and releases allotments, and
// records demand that doesn't fit in the limit. The parameter limits contains every team's upper limit; a team
// missing from it may hold nothing. The parameter live contains the IDs of the live incarnations, including
// the caller's own. Sync returns Unavailable or Unknown if the table service can't be reached, Conflict if
// other daemons keep changing the rows, and Fenced, which is final.
func (l *Ledger) Sync(ctx context.Context, limits map[string]ibiswork.Resources, live []string) error {
	l.roundMu.Lock()
	defer l.roundMu.Unlock()
	if l.updateLimits(limits) || l.now().Sub(l.lastScan) >= scanInterval {
		if err := l.readRows(ctx); err != nil {
			return err
		}
	}
	err := l.writeRows(ctx, l.planWrites(live), maxRowsPerTransaction)
	if !Conflict.Has(err) {
		return err
	}
	if err := l.readRows(ctx); err != nil {
		return err
	}
	return l.writeRows(ctx, l.planWrites(live), 1)
}

// updateLimits sets the limits, drops outdated demand, and reports whether the rows must be read before the
// next decision.
func (l *Ledger) updateLimits(limits map[string]ibiswork.Resources) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	mustRead := l.mustRead
	for team, limit := range limits {
		if !limit.IsZero() {
			l.account(team)
		}
	}
	for team, a := range l.accounts {
		limit := nonNegative(limits[team])
		mustRead = mustRead || a.writePending || !a.limit.FitsIn(limit)
		a.limit = limit
		if l.now().Sub(a.refusedAt) > demandTTL {
			a.unmet, a.unusedAtRefusal = ibiswork.Resources{}, ibiswork.Resources{}
		}
		need := a.used.Add(a.unmet)
		mustRead = mustRead || !need.FitsIn(a.held(l.self))
	}
	return mustRead
}

// readRows reads the rows of all teams. After an error, the next round reads them again before it decides.
func (l *Ledger) readRows(ctx context.Context) error {
	l.mustRead = true
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := scan(ctx, l.t)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		l.account(row.Team).setRow(row)
	}
	l.lastScan, l.mustRead = l.now(), false
	return nil
}

// setRow stores a row read from the table. If its version has changed, a write with unknown outcome can no
// longer take effect, because it was conditional on the earlier version.
func (a *account) setRow(row Row) {
	if row.Version != a.row.Version {
		a.writePending = false
	}
	a.row = row
}

// scan reads and decodes the rows of all teams.
func scan(ctx context.Context, t ibistable.Table) ([]Row, error) {
	var list []Row
	for row, err := range ibistable.ScanPrefix(ctx, t, keyPrefix, scanPageRows) {
		if err != nil {
			return nil, classify(err)
		}
		r, err := decode(row)
		if err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

// planWrites returns the rows to write in this round: urgent ones first, then those written longest ago.
// Allotment that they release can't be used from now on, even before they are written.
func (l *Ledger) planWrites(live []string) []rowChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []rowChange
	now := l.now()
	for team, a := range l.accounts {
		if a.usageGrew || a.newDemand {
			a.lastActive = now
		}
		a.usageGrew, a.newDemand = false, false
		d := teamState{
			row: a.row, self: l.self, live: live, limit: a.limit, held: a.held(l.self), used: a.used, unmet: a.unmet,
			unusedAtRefusal: a.unusedAtRefusal, lost: a.lost,
			idle: now.Sub(a.lastActive) > idleAfter && now.Sub(a.lastWrite) > idleAfter, rewrite: a.writePending,
			turn: now.UnixNano() / int64(turnLength),
		}.decide()
		a.toRelease = d.toRelease
		if d.write || !a.lost.IsZero() {
			changes = append(changes, rowChange{team: team, row: d.row, urgent: d.urgent, lastWrite: a.lastWrite})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		a, b := changes[i], changes[j]
		if a.urgent != b.urgent {
			return a.urgent
		}
		if !a.lastWrite.Equal(b.lastWrite) {
			return a.lastWrite.Before(b.lastWrite)
		}
		return a.team < b.team
	})
	changes = changes[:min(len(changes), maxRowsPerRound)]
	for i, c := range changes {
		changes[i] = l.assignLost(c, l.accounts[c.team])
	}
	l.beginWrites(changes)
	return changes
}

// beginWrites bounds the effective allotments by what the writes would leave, until their outcome is known.
// The caller holds l.mu.
func (l *Ledger) beginWrites(changes []rowChange) {
	for i := range changes {
		c := &changes[i]
		a := l.account(c.team)
		c.released, c.prevBound, c.prevPending = a.released, a.pendingBound, a.writePending
		bound := c.row.Held[l.self].Add(a.released)
		if a.writePending {
			bound = bound.Min(a.pendingBound)
		}
		a.pendingBound, a.writePending = bound, true
	}
}

// writeRows writes rows in transactions of at most maxRows each. It continues after a conflict, and then returns
// Conflict because some rows were not written.
func (l *Ledger) writeRows(ctx context.Context, changes []rowChange, maxRows int) error {
	var conflict error
	for len(changes) > 0 {
		batch := changes[:min(maxRows, len(changes))]
		changes = changes[len(batch):]
		err := l.commit(ctx, batch)
		if Conflict.Has(err) {
			conflict, l.mustRead = err, true
			continue
		}
		if err != nil {
			l.finishWrites(changes, 0, err)
			return err
		}
	}
	return conflict
}

// commit writes rows in one transaction.
func (l *Ledger) commit(ctx context.Context, batch []rowChange) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	writes := make([]ibistable.Write, len(batch))
	for i, c := range batch {
		w, err := c.row.toWrite()
		if err != nil {
			l.finishWrites(batch, 0, err)
			return err
		}
		writes[i] = w
	}
	version, err := ibiscommit.New(l.t, l.fence, writes...).Try(ctx)
	err = classify(err)
	if Unknown.Has(err) {
		return err // the bounds remain until a later version of the row is read or written
	}
	l.finishWrites(batch, version, err)
	return err
}

// finishWrites updates the accounts with a known outcome of writes: if err is nil, all took effect; otherwise
// none has taken effect or ever will.
func (l *Ledger) finishWrites(batch []rowChange, version int64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range batch {
		a := l.account(c.team)
		if err != nil {
			a.pendingBound, a.writePending = c.prevBound, c.prevPending
			continue
		}
		a.row, a.lastWrite, a.writePending = c.row, l.now(), false
		a.row.Version = version
		a.released = nonNegative(a.released.Sub(c.released))
		a.lost = nonNegative(a.lost.Sub(c.lost))
	}
}

// classify converts errors of the packages below to the error classes of this package.
func classify(err error) error {
	switch {
	case err == nil:
		return nil
	case ibiscommit.Conflict.Has(err):
		return Conflict.Wrap(err)
	case ibiscommit.Fenced.Has(err):
		return Fenced.Wrap(err)
	case Error.Has(err):
		return err
	case ibiscommit.Unavailable.Has(err), ibistable.Unavailable.Has(err), ibisincarnation.Unavailable.Has(err):
		return Unavailable.Wrap(err)
	case ibiscommit.Unknown.Has(err), ibistable.Unknown.Has(err):
		return Unknown.Wrap(err)
	}
	return Error.Wrap(err)
}
