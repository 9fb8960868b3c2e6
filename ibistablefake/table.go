// Package ibistablefake implements an in-memory table service for tests that can inject the faults of a real
// one: outages, requests and replies that are lost, writes that take effect late, and spurious conflicts.
// Packages that keep rows in the table test with it.
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

// Fault is a fault injected into one call of Commit.
type Fault int

// The faults, with the error that Commit returns and whether the writes take effect.
const (
	None        Fault = iota
	Refused           // Unavailable; not applied
	LostRequest       // Unknown; not applied
	LostReply         // Unknown; applied if the conditions hold
	Late              // Unknown; applied by ApplyLate if the conditions hold then
	Contended         // Conflict even if all conditions hold; not applied
)

// Table is an in-memory ibistable.Table. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	rows      map[string]ibistable.Row
	version   int64
	down      bool
	faults    []Fault // of the next calls of Commit
	hook      func(writes []ibistable.Write) Fault
	late      [][]ibistable.Write // transactions held back by Late
	commits   int
	rowWrites int
	reads     int
}

// New returns an empty table without faults.
func New() *Table { return &Table{rows: make(map[string]ibistable.Row)} }

// SetDown starts or ends an outage, during which every call fails with Unavailable.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// Inject queues faults. Each of the next calls of Commit takes one from the queue.
func (t *Table) Inject(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

// ClearFaults ends an outage and removes the queued faults and the hook. Transactions held back by Late stay.
func (t *Table) ClearFaults() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down, t.faults, t.hook = false, nil, nil
}

// Hook sets a function that chooses the fault of each Commit for which no fault is queued. It is called
// without locks held, so it may call methods of t.
func (t *Table) Hook(f func(writes []ibistable.Write) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hook = f
}

// ApplyLate applies the transactions held back by Late, in the order of their commits. Those whose conditions
// no longer hold are dropped.
func (t *Table) ApplyLate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, writes := range t.late {
		_, _ = t.apply(writes)
	}
	t.late = nil
}

// Commits returns the number of transactions that took effect.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// RowWrites returns the number of writes and deletions of rows.
func (t *Table) RowWrites() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rowWrites
}

// Reads returns the number of calls of Get and Scan, failed ones included.
func (t *Table) Reads() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}

// Len returns the number of rows.
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
		return ibistable.Row{}, ibistable.NotFound.New("row %q does not exist", key)
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
		return 0, ibistable.Unavailable.New("table is down")
	}
	switch fault {
	case Refused:
		return 0, ibistable.Unavailable.New("injected fault: request refused")
	case LostRequest:
		return 0, ibistable.Unknown.New("injected fault: request lost")
	case LostReply:
		_, _ = t.apply(writes)
		return 0, ibistable.Unknown.New("injected fault: reply lost")
	case Late:
		t.late = append(t.late, append([]ibistable.Write(nil), writes...))
		return 0, ibistable.Unknown.New("injected fault: write delayed")
	case Contended:
		return 0, ibistable.Conflict.New("injected fault: spurious conflict")
	}
	return t.apply(writes)
}

// nextFault returns the fault of a Commit of writes, from the queue or else from the hook.
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

// unavailable returns an error if ctx has ended or the table is down. The caller holds mu.
func (t *Table) unavailable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return ibistable.Unavailable.Wrap(err)
	}
	if t.down {
		return ibistable.Unavailable.New("table is down")
	}
	return nil
}

// apply executes a transaction if all its conditions hold. The caller holds mu.
func (t *Table) apply(writes []ibistable.Write) (int64, error) {
	for _, w := range writes {
		if w.IfVersion != ibistable.Any && t.rows[w.Key].Version != w.IfVersion {
			return 0, ibistable.Conflict.New("row %q has version %d, not %d", w.Key, t.rows[w.Key].Version, w.IfVersion)
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
		t.rowWrites++
	}
	return t.version, nil
}

func clone(r ibistable.Row) ibistable.Row {
	r.Value = append([]byte(nil), r.Value...)
	return r
}
