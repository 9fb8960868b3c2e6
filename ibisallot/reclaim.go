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
	lostPrefix   = "lost:" // of holder IDs that keep the allotment of tasks whose backend server has a new owner
	moveAttempts = 5       // of MoveFrom, when other daemons change the rows at the same time
)

// ReleaseClaimed counts r as no longer used here, because another owner has claimed the backend server of
// these tasks. The allotment held for them can't be used here again: the next round moves it to a new lost
// holder, a placeholder in the row, from which the daemon that now counts the tasks moves it to itself.
func (l *Ledger) ReleaseClaimed(team string, r ibiswork.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(team)
	r = r.Min(a.used)
	uncovered := nonNegative(a.used.Sub(a.held(l.self)))
	a.used = a.used.Sub(r)
	detached := nonNegative(r.Sub(uncovered))
	a.released, a.lost = a.released.Add(detached), a.lost.Add(detached)
}

// newLostHolder returns a holder ID that no row has contained before.
func (l *Ledger) newLostHolder() string {
	l.lostHolders++
	return fmt.Sprintf("%s%s:%d", lostPrefix, l.self, l.lostHolders)
}

// coverFromLost returns r with allotments of lost holders moved to self, as far as self uses more than it
// holds.
func (r Row) coverFromLost(self string, used ibiswork.Resources) Row {
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

// MoveFrom moves allotments from a dead incarnation (one that was revoked or has ended), or from another
// holder that Holders returns, to this daemon, as far as this daemon uses more than it holds. Use that
// remains uncovered is recorded in the row and counts against the limit until it is covered. Call it after
// Use has counted the tasks of newly claimed backend servers, and again after any error.
func (l *Ledger) MoveFrom(ctx context.Context, holder string) error {
	l.roundMu.Lock()
	defer l.roundMu.Unlock()
	err := requireNotLive(ctx, l.t, holder)
	if err != nil {
		return err
	}
	for range moveAttempts {
		if err = l.readRows(ctx); err != nil {
			return err
		}
		if err = l.writeRows(ctx, l.planMoves(holder), maxRowsPerTransaction); !Conflict.Has(err) {
			break
		}
	}
	return err
}

// requireNotLive returns an error if the holder is a live incarnation, whose allotments only it may change.
func requireNotLive(ctx context.Context, t ibistable.Table, holder string) error {
	if strings.HasPrefix(holder, lostPrefix) {
		return nil
	}
	ended, err := ibisincarnation.IsOver(ctx, t, holder)
	if err == nil && !ended {
		return Error.New("incarnation %s is live: only its own daemon may change its allotments", holder)
	}
	return classify(err)
}

// planMoves returns the rows in which moving allotments from holder to this daemon changes something.
func (l *Ledger) planMoves(holder string) []rowChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []rowChange
	for team, a := range l.accounts {
		held := a.held(l.self)
		next := a.row.Shrink(l.self, held).Move(holder, l.self, a.used.Sub(held)).withOveruse(l.self, a.used)
		if next.Held[holder] != a.row.Held[holder] || next.Over[l.self] != a.row.Over[l.self] {
			changes = append(changes, l.assignLost(rowChange{team: team, row: next}, a))
		}
	}
	l.beginWrites(changes)
	return changes
}

// assignLost returns c with the allotment lost since the last write moved to a new lost holder.
func (l *Ledger) assignLost(c rowChange, a *account) rowChange {
	if c.lost = a.lost; !c.lost.IsZero() {
		c.row = c.row.withHeld(l.newLostHolder(), c.lost)
	}
	return c
}

// Holders returns the sorted IDs of all holders that hold, overuse or want an allotment of any team: live
// and dead incarnations, and lost holders (see Ledger.ReleaseClaimed).
//
// A holder that is not a live incarnation is cleaned up in this order: list the holders; check that every
// backend server that may run tasks has been claimed by a live daemon, which has counted its tasks; let each
// live daemon call MoveFrom for the holder; free the rest with DropAll.
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

// DropAll frees everything that a dead incarnation, or another holder, still holds and wants, for every team.
// It returns an error if there is something to free and the incarnation is live. Holders explains when the
// call is safe.
func DropAll(ctx context.Context, t ibistable.Table, fence ibistable.Write, holder string) error {
	rows, err := scan(ctx, t)
	if err != nil {
		return err
	}
	for _, r := range rows {
		if r.hasEntry(holder) {
			if err := DropForTeam(ctx, t, fence, r.Team, holder); err != nil {
				return err
			}
		}
	}
	return nil
}

// hasEntry reports whether id holds, overuses or wants anything in r.
func (r Row) hasEntry(id string) bool {
	return !r.Held[id].IsZero() || !r.Over[id].IsZero() || !r.Wanted[id].IsZero()
}

// DropForTeam is DropAll for one team. It returns nil if there is nothing to free, and an error if the
// incarnation is live. It retries while other daemons change the row.
func DropForTeam(ctx context.Context, t ibistable.Table, fence ibistable.Write, team, holder string) error {
	if err := requireNotLive(ctx, t, holder); err != nil {
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
		if !r.hasEntry(holder) {
			return nil
		}
		w, err := r.Drop(holder).toWrite()
		if err != nil {
			return err
		}
		_, err = ibiscommit.Commit(ctx, t, fence, w)
		if !ibiscommit.Conflict.Has(err) {
			return classify(err)
		}
	}
}
