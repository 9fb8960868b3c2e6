package ibisconfig

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"ibiscrank/ibistable"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	os.Exit(m.Run())
}

// fakeTable is a table in memory.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]ibistable.Row
	version int64
	away    bool
	// lose makes the next commits take effect and lose their reply.
	lose    int
	commits int
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]ibistable.Row)} }

func (f *fakeTable) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

func (f *fakeTable) Get(_ context.Context, key string) (ibistable.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return ibistable.Row{}, ibistable.Unavailable.New("away")
	}
	row, ok := f.rows[key]
	if !ok {
		return row, ibistable.NotFound.New("%s", key)
	}
	return row, nil
}

func (f *fakeTable) Scan(_ context.Context, from, to string, limit int) ([]ibistable.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return nil, ibistable.Unavailable.New("away")
	}
	var rows []ibistable.Row
	for key, row := range f.rows {
		if from <= key && key < to {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b ibistable.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeTable) Commit(_ context.Context, writes ...ibistable.Write) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return 0, ibistable.Unavailable.New("away")
	}
	for _, w := range writes {
		if w.IfVersion != ibistable.Any && f.rows[w.Key].Version != w.IfVersion {
			return 0, ibistable.Conflict.New("%s", w.Key)
		}
	}
	f.version++
	f.commits++
	for _, w := range writes {
		switch {
		case w.Delete:
			delete(f.rows, w.Key)
		case w.Value != nil:
			f.rows[w.Key] = ibistable.Row{Key: w.Key, Version: f.version, Value: w.Value}
		}
	}
	if f.lose > 0 {
		f.lose--
		return 0, ibistable.Unknown.New("lost reply")
	}
	return f.version, nil
}

var testTime = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)

var changeCount struct {
	sync.Mutex
	n int
}

// change is a Change with a new ID and no condition.
func change(set func(*Change)) Change {
	changeCount.Lock()
	defer changeCount.Unlock()
	changeCount.n++
	c := Change{ID: fmt.Sprintf("change-%06d", changeCount.n), Operator: "nara", BasedOn: NoCondition, At: testTime}
	set(&c)
	return c
}

func putTeam(name string, share float64) Change {
	return change(func(c *Change) { c.PutTeam = &Team{Name: name, Share: share} })
}

func addKey(team, key string) Change {
	return change(func(c *Change) { c.AddKey = &AddKey{Team: team, Key: Key{Name: key, Hash: HashKey(key)}} })
}

func withdrawKey(team, key string) Change {
	return change(func(c *Change) { c.WithdrawKey = &WithdrawKey{Team: team, Name: key} })
}

func mustApply(t *testing.T, s *Store, c Change) Result {
	t.Helper()
	res, err := s.Apply(t.Context(), c)
	assert.NilError(t, err)
	return res
}
