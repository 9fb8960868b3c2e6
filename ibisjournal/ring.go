package ibisjournal

import (
	"slices"

	"ibiscrank/ibiswork"
)

// Bounds on the rows of one journal.
const (
	minRows    = 64       // rows that the journal may have however little it holds
	rowLiveFor = 16 << 10 // bytes of live records for each further row
)

// slot is one row of the table, with what of it is still live.
type slot struct {
	number  int
	version int64
	bytes   int
	live    map[ibiswork.ID]Record
	dead    int // records that later rows have replaced or forgotten
	size    int // bytes of the live records
}

// ring is what the journal knows of its rows. Rows are overwritten oldest first: so when a row goes that
// forgets or replaces a record, every row with the older record has gone before it.
type ring struct {
	least int     // rows that are never too many
	rows  []*slot // oldest first
	index map[ibiswork.ID]*slot
	bytes int // of all rows
	size  int // of all live records
}

// full reports whether the ring has as many rows as its live records justify.
func (g *ring) full() bool { return len(g.rows) >= g.least+g.size/rowLiveFor }

// next chooses the row to overwrite, or nil when the next write adds a row. The write keeps what carry
// returns for the row. Batches have at most limit bytes.
func (g *ring) next(limit int) *slot {
	if len(g.rows) == 0 || (!g.full() && len(g.rows[0].live) > 0) {
		return nil
	}
	for range g.rows {
		s := g.rows[0]
		if s.dead > 0 || len(s.live) == 0 || s.size < limit/2 {
			return s
		}
		// Every record of the row is live, so no later row replaces any of them: it may count as the newest.
		g.rows = append(g.rows[1:], s)
	}
	return nil
}

// carry returns the live records of the row but for those of the requests in fresh.
func (s *slot) carry(fresh map[ibiswork.ID]bool) []Record {
	var kept []Record
	for id, r := range s.live {
		if !fresh[id] {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b Record) int { return int(a.Seq - b.Seq) })
	return kept
}

// written takes note that the oldest row, or a new one when reused is nil, now holds the records. Later
// records of a request replace earlier ones.
func (g *ring) written(reused *slot, version int64, records []Record, bytes int) {
	s := reused
	if s == nil {
		s = &slot{number: len(g.rows)}
	} else {
		g.rows = g.rows[1:]
		g.bytes -= s.bytes
		g.size -= s.size
		for id := range s.live {
			delete(g.index, id)
		}
	}
	*s = slot{number: s.number, version: version, bytes: bytes, live: make(map[ibiswork.ID]Record)}
	g.rows = append(g.rows, s)
	g.bytes += bytes
	for _, r := range records {
		g.put(s, r)
	}
}

func (g *ring) put(s *slot, r Record) {
	if g.index == nil {
		g.index = make(map[ibiswork.ID]*slot)
	}
	if old := g.index[r.Request]; old != nil {
		size := old.live[r.Request].size()
		delete(old.live, r.Request)
		delete(g.index, r.Request)
		old.dead++
		old.size -= size
		g.size -= size
	}
	if len(r.Body) == 0 {
		return
	}
	s.live[r.Request] = r
	s.size += r.size()
	g.size += r.size()
	g.index[r.Request] = s
}
