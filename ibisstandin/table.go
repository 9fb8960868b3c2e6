package ibisstandin

import (
	"context"
	"slices"
	"sync"

	"ibiscrank/ibistable"
)

// MaxScanRows is the largest limit of a Scan.
const MaxScanRows = 10_000

// TableFaults are the faults to inject into the table service and the object store. The zero value injects none.
type TableFaults struct {
	Down               bool  `json:"Down"`               // every call is refused immediately
	DelayMS            int64 `json:"DelayMS"`            // delay before each call takes effect
	LoseReplies        int   `json:"LoseReplies"`        // how many commits and object writes take effect without a reply
	MaxWritesPerSecond int64 `json:"MaxWritesPerSecond"` // writes above it are refused; zero means no limit
}

// TableStats holds the counters and the current size of a table. Each row that a commit writes or deletes counts as
// one write, and so does each object written; checks are free. A read counts once, regardless of the number of rows.
// Refused counts the commits and object writes above MaxWritesPerSecond. Sizes are in bytes.
type TableStats struct {
	Writes            int64 `json:"Writes"`
	Reads             int64 `json:"Reads"`
	Commits           int64 `json:"Commits"`
	Conflicts         int64 `json:"Conflicts"`
	Refused           int64 `json:"Refused"`
	MaxWritesInSecond int64 `json:"MaxWritesInSecond"`
	MaxReadsInSecond  int64 `json:"MaxReadsInSecond"`
	BytesWritten      int64 `json:"BytesWritten"`
	BytesRead         int64 `json:"BytesRead"`
	Rows              int   `json:"Rows"`
	Objects           int   `json:"Objects"`
}

// Table simulates the table service and the object store in memory. It implements ibistable.Table; of the faults,
// direct calls are subject only to MaxWritesPerSecond, so that tests can read rows while the HTTP interface is faulty.
// It is safe for use by several goroutines.
type Table struct {
	clk Clock

	mu             sync.Mutex
	rows           map[string]ibistable.Row
	keys           []string // sorted keys of rows
	version        int64    // of the last commit that wrote rows
	objects        map[string][]byte
	faults         TableFaults
	stats          TableStats
	second         int64 // the Unix second that writesInSecond and readsInSecond count
	writesInSecond int64
	readsInSecond  int64
}

var _ ibistable.Table = (*Table)(nil)

// NewTable creates an empty table. A nil clk means the system clock.
func NewTable(clk Clock) *Table {
	return &Table{clk: clockOrSystem(clk), rows: map[string]ibistable.Row{}, objects: map[string][]byte{}}
}

// SetFaults replaces all faults.
func (t *Table) SetFaults(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the current faults. LoseReplies is the number of replies still to be lost.
func (t *Table) Faults() TableFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Stats returns the counters and the current size.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Rows, s.Objects = len(t.rows), len(t.objects)
	return s
}

// Get reads one row. It fails with NotFound.
func (t *Table) Get(_ context.Context, key string) (ibistable.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	t.countRead(int64(len(row.Value)))
	if !ok {
		return ibistable.Row{}, ibistable.NotFound.New("no row %q", key)
	}
	return row, nil
}

// Scan reads up to limit rows with from <= key < to, ordered by key. It fails with ibistable.Error if limit is not
// between 1 and MaxScanRows.
func (t *Table) Scan(_ context.Context, from, to string, limit int) ([]ibistable.Row, error) {
	if limit < 1 || limit > MaxScanRows {
		return nil, ibistable.Error.New("limit %d is outside 1 to %d", limit, MaxScanRows)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []ibistable.Row{}
	size := int64(0)
	i, _ := slices.BinarySearch(t.keys, from)
	for ; i < len(t.keys) && t.keys[i] < to && len(rows) < limit; i++ {
		row := t.rows[t.keys[i]]
		size += int64(len(row.Value))
		rows = append(rows, row)
	}
	t.countRead(size)
	return rows, nil
}

// Commit applies all writes or none. It returns the version of the written rows, or the current version if there are
// only checks. It fails with Conflict if a condition doesn't hold, with Unavailable above MaxWritesPerSecond, and with
// ibistable.Error if the writes are invalid.
func (t *Table) Commit(_ context.Context, writes ...ibistable.Write) (int64, error) {
	if err := validateWrites(writes); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if current := t.rows[w.Key].Version; w.IfVersion != ibistable.Any && w.IfVersion != current {
			t.stats.Conflicts++
			return 0, ibistable.Conflict.New("row %q has version %d, not %d", w.Key, current, w.IfVersion)
		}
	}
	n := countChanges(writes)
	if !t.admitWrites(n) {
		t.stats.Refused++
		return 0, ibistable.Unavailable.New("more than %d writes per second", t.faults.MaxWritesPerSecond)
	}
	t.stats.Commits++
	if n == 0 {
		return t.version, nil
	}
	t.version++
	for _, w := range writes {
		t.apply(w)
	}
	return t.version, nil
}

// validateWrites returns an error if there are no writes, a key is empty, or two writes have the same key.
func validateWrites(writes []ibistable.Write) error {
	if len(writes) == 0 {
		return ibistable.Error.New("a commit needs at least one write")
	}
	seen := map[string]bool{}
	for _, w := range writes {
		if w.Key == "" || seen[w.Key] {
			return ibistable.Error.New("key %q is empty or used by two writes of the commit", w.Key)
		}
		seen[w.Key] = true
	}
	return nil
}

// isCheck reports whether w only checks the version of its row.
func isCheck(w ibistable.Write) bool { return !w.Delete && len(w.Value) == 0 }

// countChanges returns the number of rows that are written or deleted.
func countChanges(writes []ibistable.Write) int64 {
	n := int64(0)
	for _, w := range writes {
		if !isCheck(w) {
			n++
		}
	}
	return n
}

// apply applies one write whose condition holds. The caller holds mu.
func (t *Table) apply(w ibistable.Write) {
	if isCheck(w) {
		return
	}
	i, found := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		if found {
			t.keys = slices.Delete(t.keys, i, i+1)
			delete(t.rows, w.Key)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
	t.rows[w.Key] = ibistable.Row{Key: w.Key, Version: t.version, Value: slices.Clone(w.Value)}
	t.stats.BytesWritten += int64(len(w.Value))
}

// admitWrites counts n writes in the current second. If they would exceed MaxWritesPerSecond, it counts nothing and
// returns false. The caller holds mu.
func (t *Table) admitWrites(n int64) bool {
	t.rollSecond()
	if limit := t.faults.MaxWritesPerSecond; limit > 0 && t.writesInSecond+n > limit {
		return false
	}
	t.writesInSecond += n
	t.stats.Writes += n
	t.stats.MaxWritesInSecond = max(t.stats.MaxWritesInSecond, t.writesInSecond)
	return true
}

func (t *Table) countRead(size int64) {
	t.rollSecond()
	t.readsInSecond++
	t.stats.Reads++
	t.stats.BytesRead += size
	t.stats.MaxReadsInSecond = max(t.stats.MaxReadsInSecond, t.readsInSecond)
}

// rollSecond resets the counts of the current second if a new one has started.
func (t *Table) rollSecond() {
	if s := t.clk.Now().Unix(); s != t.second {
		t.second, t.writesInSecond, t.readsInSecond = s, 0, 0
	}
}
