package ibisallot

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"ibiscrank/ibiscommit"
	"ibiscrank/ibisincarnation"
	"ibiscrank/ibistable"
	"ibiscrank/ibiswork"
)

const (
	lostPrefix = "lost:" // of holders that stand for tasks whose backend server has a new owner
	deadTries  = 5       // rounds against concurrent changes of the rows
)

// Reassign counts r as no longer used here, because another owner has taken the backend server of these
// tasks. What was held for them cannot be used here again: the next round passes it to a holder of its
// own, from which the round of the daemon that counts the tasks takes it.
func (l *Ledger) Reassign(team string, r ibiswork.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	r = r.Min(a.used)
	uncovered := positive(a.used.Sub(a.held(l.self)))
	a.used = a.used.Sub(r)
	aside := positive(r.Sub(uncovered))
	a.cut, a.lost = a.cut.Add(aside), a.lost.Add(aside)
}

// lostHolder is a holder that no row has had before.
func (l *Ledger) lostHolder() string {
	l.losses++
	return fmt.Sprintf("%s%s:%d", lostPrefix, l.self, l.losses)
}

// covered is r with use beyond what self holds covered by what others have lost.
func (r Row) covered(self string, used ibiswork.Resources) Row {
	var lost []string
	for id := range r.Held {
		if strings.HasPrefix(id, lostPrefix) {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		r = r.Move(id, self, used.Sub(r.Held[self]))
	}
	return r
}

// MoveFrom takes, from the allotments of a dead incarnation or of another holder that Holders names, what
// is used here beyond the own ones; use that they do not cover is put on record, so that it counts against
// the limit until it is covered. Call it once Use has counted the tasks of backend servers that were
// taken over. It is repeated after any error.
func (l *Ledger) MoveFrom(ctx context.Context, dead string) error {
	l.rounds.Lock()
	defer l.rounds.Unlock()
	err := over(ctx, l.t, dead)
	if err != nil {
		return err
	}
	for range deadTries {
		if err = l.refresh(ctx); err != nil {
			return err
		}
		if err = l.write(ctx, l.moves(dead), batchRows); !Conflict.Has(err) {
			break
		}
	}
	return err
}

// over returns an error when the holder is a live incarnation, whose allotments nobody else may change.
func over(ctx context.Context, t ibistable.Table, holder string) error {
	if strings.HasPrefix(holder, lostPrefix) {
		return nil
	}
	is, err := ibisincarnation.IsOver(ctx, t, holder)
	if err == nil && !is {
		return Error.New("%s is live", holder)
	}
	return classify(err)
}

func (l *Ledger) moves(dead string) []change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []change
	for team, a := range l.accounts {
		held := a.held(l.self)
		moved := a.row.Shrink(l.self, held).Move(dead, l.self, a.used.Sub(held)).withUsed(l.self, a.used)
		if moved.Held[dead] != a.row.Held[dead] || moved.Over[l.self] != a.row.Over[l.self] {
			list = append(list, l.withLost(change{team: team, row: moved}, a))
		}
	}
	l.begin(list)
	return list
}

// withLost is c with what was lost since the last write passed to a holder of its own.
func (l *Ledger) withLost(c change, a *account) change {
	if c.lost = a.lost; !c.lost.IsZero() {
		c.row = c.row.with(l.lostHolder(), c.lost)
	}
	return c
}

// Holders lists everything that holds or wants an allotment of any team, in order: live and dead
// incarnations, and holders of what was lost to new owners of backend servers.
//
// What is no live incarnation is cleared away in this order: list the holders; see that every backend
// server that may run tasks has been claimed by a live daemon, which has counted its tasks; let each live
// daemon call MoveFrom for the holder; free the rest with DropAll.
func Holders(ctx context.Context, t ibistable.Table) ([]string, error) {
	rows, err := scan(ctx, t)
	if err != nil {
		return nil, err
	}
	var ids []string
	for _, r := range rows {
		for _, m := range []map[string]ibiswork.Resources{r.Held, r.Over, r.Wanted} {
			for id := range m {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids), nil
}

// DropAll is DropDead for every team.
func DropAll(ctx context.Context, t ibistable.Table, fence ibistable.Write, dead string) error {
	rows, err := scan(ctx, t)
	if err != nil {
		return err
	}
	for _, r := range rows {
		if r.has(dead) {
			if err := DropDead(ctx, t, fence, r.Team, dead); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r Row) has(id string) bool {
	return !r.Held[id].IsZero() || !r.Over[id].IsZero() || !r.Wanted[id].IsZero()
}

// DropDead frees what a dead incarnation, or another holder, still holds and wants of one team. It returns
// nil when there is nothing to free, and an error when the incarnation is live. See Holders for when it is
// safe.
func DropDead(ctx context.Context, t ibistable.Table, fence ibistable.Write, team, dead string) error {
	if err := over(ctx, t, dead); err != nil {
		return err
	}
	for {
		row, err := t.Get(ctx, Key(team))
		if ibistable.NotFound.Has(err) {
			return nil
		}
		if err != nil {
			return classify(err)
		}
		r, err := decode(row)
		if err != nil {
			return err
		}
		if !r.has(dead) {
			return nil
		}
		w, err := r.Drop(dead).put()
		if err != nil {
			return err
		}
		_, err = ibiscommit.Commit(ctx, t, fence, w)
		if !ibiscommit.Conflict.Has(err) {
			return classify(err)
		}
	}
}
