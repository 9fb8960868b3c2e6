package ibisconfig

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisseed"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	ibisseed.Main(m)
}

var testTime = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)

// changeCount makes the IDs of changes unique.
var changeCount struct {
	sync.Mutex
	n int
}

// change returns a Change with a new ID and without a condition.
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
