package ibisharness

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibistable"
)

// changeWithin bounds one change of the configuration.
const changeWithin = 10 * time.Second

// admin changes the configuration in the table itself, as an operator's daemon would.
type admin struct {
	t     testing.TB
	store *ibisconfig.Store
	n     atomic.Int64
}

func newAdmin(t testing.TB, table string) *admin {
	return &admin{t: t, store: ibisconfig.NewStore(ibistable.NewClient(table, nil))}
}

// Change makes one change of the configuration, which must be accepted, and returns its version.
func (c *Cluster) Change(change ibisconfig.Change) int64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), changeWithin)
	defer cancel()
	change.ID = fmt.Sprintf("harness-change-%d", c.admin.n.Add(1))
	change.Operator, change.BasedOn, change.At = "harness", ibisconfig.NoCondition, time.Now()
	res, err := c.admin.store.Apply(ctx, change)
	assert.NilError(c.t, err)
	return res.Version
}

// Team makes a team with one key named "first" and returns the key once every running daemon takes it.
func (c *Cluster) Team(team ibisconfig.Team) string {
	c.t.Helper()
	c.Change(ibisconfig.Change{PutTeam: &team})
	key := "key-of-" + team.Name
	c.Change(ibisconfig.Change{AddKey: &ibisconfig.AddKey{
		Team: team.Name, Key: ibisconfig.Key{Name: "first", Hash: ibisconfig.HashKey(key)},
	}})
	for _, d := range c.Daemons {
		if d.Running() {
			d.awaitKey(key)
		}
	}
	return key
}

// awaitKey waits until the daemon takes the key: it then knows that there is no such request.
func (d *Daemon) awaitKey(key string) {
	d.t.Helper()
	Await(d.t, ReadyWithin, d.Name+" takes a new key", func() (bool, any) {
		s := ask(d, key)
		return s != "Unauthorized", s
	})
}
