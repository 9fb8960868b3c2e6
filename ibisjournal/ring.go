package ibisjournal

import (
	"slices"

	"ibiscrank/ibiswork"
)

// Limits on the number of rows of one journal.
const (
	minRows         = 64       // rows allowed regardless of the live records
	liveBytesPerRow = 16 << 10 // bytes of live records that allow one further row
)

// slot describes one row of the table and the records in it that are still live.
type slot struct {
	number    int   // in the row's key
	version   int64 // of the row
	rowBytes  int
	live      map[ibiswork.ID]Record
	obsolete  int // records that later rows have replaced or forgotten
	liveBytes int // approximate, of the live records
}

// ring tracks the rows of a journal. Rows are overwritten oldest first, so that a row which replaces or
// forgets a record is overwritten only after every row with an older version of that record.
type ring struct {
	minRows   int                   // rows allowed regardless of the live records
	rows      []*slot               // oldest first
	index     map[ibiswork.ID]*slot // row with the live record of a request
	rowBytes  int                   // of all rows
	liveBytes int                   // of all live records
}

// full reports whether the ring has as many rows as its live records allow.
func (g *ring) full() bool { return len(g.rows) >= g.minRows+g.liveBytes/liveBytesPerRow }

// nextOverwrite returns the row to overwrite, or nil if the next write adds a row. The write must retain the
// records that liveExcept returns for that row.
func (g *ring) nextOverwrite(maxBatchBytes int) *slot {
	if len(g.rows) == 0 || (!g.full() && len(g.rows[0].live) > 0) {
		return nil
	}
	for range g.rows {
		s := g.rows[0]
		if s.obsolete > 0 || len(s.live) == 0 || s.liveBytes < maxBatchBytes/2 {
			return s
		}
		// All records of this row are live, so no later row replaces any of them and the row can become the newest.
		g.rows = append(g.rows[1:], s)
	}
	return nil
}

// liveExcept returns the live records of the row in the order of Seq, without the requests in updated.
func (s *slot) liveExcept(updated map[ibiswork.ID]bool) []Record {
	var kept []Record
	for id, r := range s.live {
		if !updated[id] {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b Record) int { return int(a.Seq - b.Seq) })
	return kept
}

// applyWrite records that the oldest row, or a new one if overwritten is nil, now holds the records. Later
// records of a request replace earlier ones.
func (g *ring) applyWrite(overwritten *slot, version int64, records []Record, rowBytes int) {
	s := overwritten
	if s == nil {
		s = &slot{number: len(g.rows)}
	} else {
		g.rows = g.rows[1:]
		g.rowBytes -= s.rowBytes
		g.liveBytes -= s.liveBytes
		for id := range s.live {
			delete(g.index, id)
		}
	}
	*s = slot{number: s.number, version: version, rowBytes: rowBytes, live: make(map[ibiswork.ID]Record)}
	g.rows = append(g.rows, s)
	g.rowBytes += rowBytes
	for _, r := range records {
		g.put(s, r)
	}
}

// put makes r the latest record of its request and marks an earlier one as obsolete.
func (g *ring) put(s *slot, r Record) {
	if g.index == nil {
		g.index = make(map[ibiswork.ID]*slot)
	}
	if old := g.index[r.Request]; old != nil {
		size := old.live[r.Request].size()
		delete(old.live, r.Request)
		delete(g.index, r.Request)
		old.obsolete++
		old.liveBytes -= size
		g.liveBytes -= size
	}
	if len(r.Body) == 0 {
		return
	}
	s.live[r.Request] = r
	s.liveBytes += r.size()
	g.liveBytes += r.size()
	g.index[r.Request] = s
}
