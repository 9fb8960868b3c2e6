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

// changeTimeout is the timeout of one configuration change.
const changeTimeout = 10 * time.Second

// admin writes configuration changes directly to the table, as a daemon does for an operator.
type admin struct {
	t     testing.TB
	store *ibisconfig.Store
	n     atomic.Int64 // number of changes, for their IDs
}

func newAdmin(t testing.TB, table string) *admin {
	return &admin{t: t, store: ibisconfig.NewStore(ibistable.NewClient(table, nil))}
}

// ApplyChange applies a configuration change, whose ID, operator, condition and time it sets, and returns the
// new configuration version. It fails the test if the change is rejected.
func (c *Cluster) ApplyChange(change ibisconfig.Change) int64 {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	change.ID = fmt.Sprintf("harness-change-%d", c.admin.n.Add(1))
	change.Operator, change.BasedOn, change.At = "harness", ibisconfig.NoCondition, time.Now()
	res, err := c.admin.store.Apply(ctx, change)
	assert.NilError(c.t, err)
	return res.Version
}

// AddTeam creates a team with one key named "first", and returns the key once every running daemon accepts
// it.
func (c *Cluster) AddTeam(team ibisconfig.Team) string {
	c.t.Helper()
	c.ApplyChange(ibisconfig.Change{PutTeam: &team})
	key := "key-of-" + team.Name
	c.ApplyChange(ibisconfig.Change{AddKey: &ibisconfig.AddKey{
		Team: team.Name, Key: ibisconfig.Key{Name: "first", Hash: ibisconfig.HashKey(key)},
	}})
	for _, d := range c.Daemons {
		if d.Running() {
			d.awaitKey(key)
		}
	}
	return key
}

// awaitKey waits until the daemon accepts the key, that is, answers a query for an unknown request with
// something other than Unauthorized.
func (d *Daemon) awaitKey(key string) {
	d.t.Helper()
	Await(d.t, ReadyTimeout, d.Name+" accepts a new key", func() (bool, any) {
		s := probeKey(d, key)
		return s != "Unauthorized", s
	})
}
