package ibisstandin

import (
	"context"
	"slices"
	"sync"

	"ibiscrank/ibistable"
)

// MaxScanRows is the most rows that one read by key range returns.
const MaxScanRows = 10_000

// TableFaults are the faults of the table service and the object store. The zero value is none.
type TableFaults struct {
	Down               bool  `json:"Down"`               // every call is refused at once
	DelayMS            int64 `json:"DelayMS"`            // before each call takes effect
	LoseReplies        int   `json:"LoseReplies"`        // of the next commits that take effect
	MaxWritesPerSecond int64 `json:"MaxWritesPerSecond"` // commits above it are refused; zero is no bound
}

// TableStats counts what a table has served. A commit counts one write for each row that it writes;
// checks are free. A read counts once, whatever the number of rows.
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

// Table is a table service with an object store, both in memory. It is an ibistable.Table itself, so that
// tests can look past the faults of its HTTP interface, which the direct calls do not suffer.
type Table struct {
	clk Clock

	mu      sync.Mutex
	rows    map[string]ibistable.Row
	keys    []string // of rows, sorted
	version int64
	objects map[string][]byte
	faults  TableFaults
	stats   TableStats
	second  int64 // the Unix second that the two counts below belong to
	writes  int64
	reads   int64
}

var _ ibistable.Table = (*Table)(nil)

// NewTable makes an empty table. A nil clk stands for the system's clock.
func NewTable(clk Clock) *Table {
	return &Table{clk: orSystem(clk), rows: map[string]ibistable.Row{}, objects: map[string][]byte{}}
}

// SetFaults replaces all faults.
func (t *Table) SetFaults(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults is the faults now, with the lost replies that are left.
func (t *Table) Faults() TableFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Stats is the counts so far.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Rows, s.Objects = len(t.rows), len(t.objects)
	return s
}

// Get reads one row.
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

// Scan reads rows by key range.
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

// Commit applies all writes or none.
func (t *Table) Commit(_ context.Context, writes ...ibistable.Write) (int64, error) {
	if err := checkWrites(writes); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if have := t.rows[w.Key].Version; w.IfVersion != ibistable.Any && w.IfVersion != have {
			t.stats.Conflicts++
			return 0, ibistable.Conflict.New("row %q has version %d, not %d", w.Key, have, w.IfVersion)
		}
	}
	n := changes(writes)
	if !t.admit(n) {
		t.stats.Refused++
		return 0, ibistable.Unavailable.New("more than %d writes a second", t.faults.MaxWritesPerSecond)
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

// checkWrites reports a commit that names one row twice, or none.
func checkWrites(writes []ibistable.Write) error {
	if len(writes) == 0 {
		return ibistable.Error.New("a commit without writes")
	}
	seen := map[string]bool{}
	for _, w := range writes {
		if w.Key == "" || seen[w.Key] {
			return ibistable.Error.New("key %q is empty or stands twice", w.Key)
		}
		seen[w.Key] = true
	}
	return nil
}

func isCheck(w ibistable.Write) bool { return !w.Delete && len(w.Value) == 0 }

func changes(writes []ibistable.Write) int64 {
	n := int64(0)
	for _, w := range writes {
		if !isCheck(w) {
			n++
		}
	}
	return n
}

// apply carries out one write whose condition held.
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

// admit counts n writes in the present second, unless they would exceed the bound.
func (t *Table) admit(n int64) bool {
	t.turn()
	if limit := t.faults.MaxWritesPerSecond; limit > 0 && t.writes+n > limit {
		return false
	}
	t.writes += n
	t.stats.Writes += n
	t.stats.MaxWritesInSecond = max(t.stats.MaxWritesInSecond, t.writes)
	return true
}

func (t *Table) countRead(size int64) {
	t.turn()
	t.reads++
	t.stats.Reads++
	t.stats.BytesRead += size
	t.stats.MaxReadsInSecond = max(t.stats.MaxReadsInSecond, t.reads)
}

// turn begins new counts when a new second has begun.
func (t *Table) turn() {
	if s := t.clk.Now().Unix(); s != t.second {
		t.second, t.writes, t.reads = s, 0, 0
	}
}
