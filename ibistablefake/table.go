// Package ibistablefake is a table service in memory for tests, with the faults of the real one: it can
// be away, lose a reply before or after the write took effect, apply a write late, and report conflicts.
//
// Usage:
//
//	t := ibistablefake.New()
//	t.SetDown(true)
//	t.Inject(ibistablefake.LostReply, ibistablefake.LostRequest)
package ibistablefake

import (
	"context"
	"sort"
	"sync"

	"ibiscrank/ibistable"
)

// Fault is what happens to one Commit.
type Fault int

// The faults of a Commit.
const (
	None        Fault = iota
	Refused           // Unavailable, nothing written
	LostRequest       // Unknown, nothing written
	LostReply         // Unknown, but written
	Late              // Unknown, tried again when ApplyLate is called
	Contended         // Conflict although every condition holds, nothing written
)

// Table is the fake. Its methods may be called from any goroutine.
type Table struct {
	mu      sync.Mutex
	rows    map[string]ibistable.Row
	version int64
	down    bool
	faults  []Fault
	hook    func(writes []ibistable.Write) Fault
	late    [][]ibistable.Write
	commits int
	rowsPut int
	reads   int
}

// New makes an empty table.
func New() *Table { return &Table{rows: make(map[string]ibistable.Row)} }

// SetDown makes every call fail with Unavailable until it is set back.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// Inject adds faults for the next calls of Commit, one each.
func (t *Table) Inject(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

// Heal ends the outage and drops all faults that have not happened yet. What Late holds back stays.
func (t *Table) Heal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down, t.faults, t.hook = false, nil, nil
}

// Hook sets a function that chooses the fault of each Commit that Inject says nothing about. It is called
// without locks held.
func (t *Table) Hook(f func(writes []ibistable.Write) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hook = f
}

// ApplyLate tries the writes that Late has held back, in their order.
func (t *Table) ApplyLate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, writes := range t.late {
		_, _ = t.apply(writes)
	}
	t.late = nil
}

// Commits is the number of transactions that took effect.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// RowWrites is the number of rows written or deleted so far.
func (t *Table) RowWrites() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rowsPut
}

// Reads is the number of calls of Get and Scan so far.
func (t *Table) Reads() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}

// Len is the number of rows.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Get implements ibistable.Table.
func (t *Table) Get(ctx context.Context, key string) (ibistable.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if err := t.unavailable(ctx); err != nil {
		return ibistable.Row{}, err
	}
	row, ok := t.rows[key]
	if !ok {
		return ibistable.Row{}, ibistable.NotFound.New("%s", key)
	}
	return clone(row), nil
}

// Scan implements ibistable.Table.
func (t *Table) Scan(ctx context.Context, from, to string, limit int) ([]ibistable.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if err := t.unavailable(ctx); err != nil {
		return nil, err
	}
	var rows []ibistable.Row
	for k, row := range t.rows {
		if from <= k && k < to {
			rows = append(rows, clone(row))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// Commit implements ibistable.Table.
func (t *Table) Commit(ctx context.Context, writes ...ibistable.Write) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, ibistable.Unavailable.Wrap(err)
	}
	fault := t.nextFault(writes)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return 0, ibistable.Unavailable.New("down")
	}
	switch fault {
	case Refused:
		return 0, ibistable.Unavailable.New("refused")
	case LostRequest:
		return 0, ibistable.Unknown.New("lost request")
	case LostReply:
		_, _ = t.apply(writes)
		return 0, ibistable.Unknown.New("lost reply")
	case Late:
		t.late = append(t.late, append([]ibistable.Write(nil), writes...))
		return 0, ibistable.Unknown.New("late")
	case Contended:
		return 0, ibistable.Conflict.New("contended")
	}
	return t.apply(writes)
}

func (t *Table) nextFault(writes []ibistable.Write) Fault {
	t.mu.Lock()
	if len(t.faults) > 0 {
		defer t.mu.Unlock()
		f := t.faults[0]
		t.faults = t.faults[1:]
		return f
	}
	hook := t.hook
	t.mu.Unlock()
	if hook == nil {
		return None
	}
	return hook(writes)
}

func (t *Table) unavailable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return ibistable.Unavailable.Wrap(err)
	}
	if t.down {
		return ibistable.Unavailable.New("down")
	}
	return nil
}

func (t *Table) apply(writes []ibistable.Write) (int64, error) {
	for _, w := range writes {
		if w.IfVersion != ibistable.Any && t.rows[w.Key].Version != w.IfVersion {
			return 0, ibistable.Conflict.New("%s has version %d, not %d", w.Key, t.rows[w.Key].Version, w.IfVersion)
		}
	}
	t.version++
	t.commits++
	for _, w := range writes {
		switch {
		case w.Delete:
			delete(t.rows, w.Key)
		case w.Value != nil:
			t.rows[w.Key] = clone(ibistable.Row{Key: w.Key, Version: t.version, Value: w.Value})
		default:
			continue
		}
		t.rowsPut++
	}
	return t.version, nil
}

func clone(r ibistable.Row) ibistable.Row {
	r.Value = append([]byte(nil), r.Value...)
	return r
}
