package ibisallot

import (
	"context"
	"strings"

	"ibiscrank/ibiscommit"
	"ibiscrank/ibistable"
)

const (
	countedPrefix = "allotcounted/"
	deadTries     = 5 // rounds against concurrent changes of the rows
)

// MoveFrom takes, from the allotments of a dead incarnation, what is used here beyond the own ones; use
// that they do not cover is put on record, so that it counts against the limit until it is covered. Call
// it once Use has counted the tasks of backend servers that were taken over. With counted it also puts
// on record that this daemon has counted all of its tasks, for Counted. It is repeated after any error.
func (l *Ledger) MoveFrom(ctx context.Context, dead string, counted bool) error {
	l.rounds.Lock()
	defer l.rounds.Unlock()
	var err error
	for range deadTries {
		if err = l.refresh(ctx); err != nil {
			return err
		}
		if err = l.write(ctx, l.moves(dead), batchRows); !Conflict.Has(err) {
			break
		}
	}
	if err != nil || !counted {
		return err
	}
	_, err = ibiscommit.Commit(ctx, l.t, l.fence, ibistable.Put(countedKey(dead, l.self), ibistable.Absent, []byte(l.self)))
	if ibiscommit.Conflict.Has(err) {
		return nil
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
			list = append(list, change{team: team, row: moved})
		}
	}
	l.begin(list)
	return list
}

func countedKey(dead, self string) string { return countedPrefix + dead + "/" + self }

// Counted lists the incarnations whose MoveFrom has put on record that they counted what they took over
// from the dead one.
func Counted(ctx context.Context, t ibistable.Table, dead string) ([]string, error) {
	own := countedPrefix + dead + "/"
	rows, err := t.Scan(ctx, own, ibistable.PrefixEnd(own), scanPage)
	if err != nil {
		return nil, classify(err)
	}
	ids := make([]string, len(rows))
	for i, row := range rows {
		ids[i] = strings.TrimPrefix(row.Key, own)
	}
	return ids, nil
}

// ForgetCounted removes what Counted lists, once every allotment of the dead incarnation is dropped.
func ForgetCounted(ctx context.Context, t ibistable.Table, fence ibistable.Write, dead string) error {
	ids, err := Counted(ctx, t, dead)
	if err != nil || len(ids) == 0 {
		return err
	}
	writes := []ibistable.Write{fence}
	for _, id := range ids {
		writes = append(writes, ibistable.Delete(countedKey(dead, id), ibistable.Any))
	}
	_, err = t.Commit(ctx, writes...)
	if ibistable.Conflict.Has(err) {
		return Fenced.Wrap(err)
	}
	return classify(err)
}

// DropDead frees what a dead incarnation still holds and wants of one team, once every owner of its tasks
// has counted them. It returns nil when there is nothing to free.
func DropDead(ctx context.Context, t ibistable.Table, fence ibistable.Write, team, dead string) error {
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
		if r.Held[dead].IsZero() && r.Wanted[dead].IsZero() {
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
