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

// Bounds on one round.
const (
	roundRows   = 32  // rows that one round writes
	batchRows   = 8   // rows of one transaction
	scanPage    = 256 // rows
	callTimeout = 2 * time.Second
)

// change is one row to write.
type change struct {
	team    string
	row     Row
	cut     ibiswork.Resources // of the account when the row was decided
	lost    ibiswork.Resources // of the account when the row was decided
	bound   ibiswork.Resources // of the account before
	bounded bool
	urgent  bool
	wrote   time.Time
}

// Sync is one control round: it reads the rows when they are old, grows and gives back allotments, and
// records demand that the limit leaves no room for. Limits holds every team's upper limit; a team that
// it lacks has none and may hold nothing. Live holds the incarnations that count, self among them.
// It returns Unavailable or Unknown when the table service is away, and Fenced, which is final.
func (l *Ledger) Sync(ctx context.Context, limits map[string]ibiswork.Resources, live []string) error {
	l.rounds.Lock()
	defer l.rounds.Unlock()
	if l.prepare(limits) || l.now().Sub(l.lastScan) >= scanEvery {
		if err := l.refresh(ctx); err != nil {
			return err
		}
	}
	err := l.write(ctx, l.decide(live), batchRows)
	if !Conflict.Has(err) {
		return err
	}
	if err := l.refresh(ctx); err != nil {
		return err
	}
	return l.write(ctx, l.decide(live), 1)
}

// prepare takes in the limits and reports whether the rows must be read before a decision.
func (l *Ledger) prepare(limits map[string]ibiswork.Resources) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	read := l.stale
	for team, limit := range limits {
		if !limit.IsZero() {
			l.account(team)
		}
	}
	for team, a := range l.accounts {
		limit := positive(limits[team])
		read = read || a.bounded || !a.limit.FitsIn(limit)
		a.limit = limit
		if l.now().Sub(a.wanted) > wantFor {
			a.unmet, a.lump = ibiswork.Resources{}, ibiswork.Resources{}
		}
		need := a.used.Add(a.unmet)
		read = read || !need.FitsIn(a.held(l.self))
	}
	return read
}

// refresh reads all rows.
func (l *Ledger) refresh(ctx context.Context) error {
	l.stale = true
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := scan(ctx, l.t)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		l.account(row.Team).adopt(row)
	}
	l.lastScan, l.stale = l.now(), false
	return nil
}

// adopt takes in a row as read. A write whose outcome was unknown can no longer take effect once the
// version has changed.
func (a *account) adopt(row Row) {
	if row.Version != a.row.Version {
		a.bounded = false
	}
	a.row = row
}

func scan(ctx context.Context, t ibistable.Table) ([]Row, error) {
	var list []Row
	for row, err := range ibistable.ScanPrefix(ctx, t, prefix, scanPage) {
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

// decide chooses the rows to write in this round, the urgent ones first and among them those whose turn
// was longest ago. What they give up stops counting at once.
func (l *Ledger) decide(live []string) []change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []change
	now := l.now()
	for team, a := range l.accounts {
		if a.active || a.fresh {
			a.moved = now
		}
		a.active, a.fresh = false, false
		d := state{
			row: a.row, self: l.self, live: live, limit: a.limit, held: a.held(l.self), used: a.used, unmet: a.unmet, lump: a.lump, lost: a.lost,
			idle: now.Sub(a.moved) > idleAfter && now.Sub(a.wrote) > idleAfter, repeat: a.bounded,
			turn: now.UnixNano() / int64(turn),
		}.decide()
		a.yield = d.yield
		if d.write || !a.lost.IsZero() {
			list = append(list, change{team: team, row: d.row, urgent: d.urgent, wrote: a.wrote})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.urgent != b.urgent {
			return a.urgent
		}
		if !a.wrote.Equal(b.wrote) {
			return a.wrote.Before(b.wrote)
		}
		return a.team < b.team
	})
	list = list[:min(len(list), roundRows)]
	for i, c := range list {
		list[i] = l.withLost(c, l.accounts[c.team])
	}
	l.begin(list)
	return list
}

// begin bounds the allotments by what the writes would leave, until their outcome is known; l.mu is held.
func (l *Ledger) begin(list []change) {
	for i := range list {
		c := &list[i]
		a := l.account(c.team)
		c.cut, c.bound, c.bounded = a.cut, a.bound, a.bounded
		next := c.row.Held[l.self].Add(a.cut)
		if a.bounded {
			next = next.Min(a.bound)
		}
		a.bound, a.bounded = next, true
	}
}

// write writes rows in transactions of at most n. Conflict says that some were not written.
func (l *Ledger) write(ctx context.Context, list []change, n int) error {
	var conflict error
	for len(list) > 0 {
		part := list[:min(n, len(list))]
		list = list[len(part):]
		err := l.commit(ctx, part)
		if Conflict.Has(err) {
			conflict, l.stale = err, true
			continue
		}
		if err != nil {
			l.finish(list, 0, err)
			return err
		}
	}
	return conflict
}

func (l *Ledger) commit(ctx context.Context, part []change) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	writes := make([]ibistable.Write, len(part))
	for i, c := range part {
		w, err := c.row.put()
		if err != nil {
			l.finish(part, 0, err)
			return err
		}
		writes[i] = w
	}
	version, err := ibiscommit.New(l.t, l.fence, writes...).Try(ctx)
	err = classify(err)
	if Unknown.Has(err) {
		return err // the bounds stay until a later version of the row is read or written
	}
	l.finish(part, version, err)
	return err
}

// finish takes in the outcome of writes: all took effect when err is nil, or none has or will.
func (l *Ledger) finish(part []change, version int64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range part {
		a := l.account(c.team)
		if err != nil {
			a.bound, a.bounded = c.bound, c.bounded
			continue
		}
		a.row, a.wrote, a.bounded = c.row, l.now(), false
		a.row.Version = version
		a.cut = positive(a.cut.Sub(c.cut))
		a.lost = positive(a.lost.Sub(c.lost))
	}
}

// classify turns errors from below into those of this package.
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
