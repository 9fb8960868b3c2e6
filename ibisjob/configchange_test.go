package ibisjob

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// randomConfig returns base with some queues and teams added, changed and removed.
func randomConfig(rng *rand.Rand, base *Config) *Config {
	c := &Config{Version: base.Version + 1 + rng.Int64N(3), Limits: Limits{MaxBodyBytes: rng.IntN(3)}, Services: []Service{{Name: fmt.Sprint("svc", rng.IntN(2))}}}
	for _, q := range base.Queues {
		if rng.IntN(6) > 0 {
			q.Priority = rng.IntN(2)
			c.Queues = append(c.Queues, q)
		}
	}
	for _, t := range base.Teams {
		if rng.IntN(6) > 0 {
			t.Keys = []string{fmt.Sprint("key", rng.IntN(3))}
			c.Teams = append(c.Teams, t)
		}
	}
	for n := range rng.IntN(5) {
		c.Queues = slices.Insert(c.Queues, rng.IntN(len(c.Queues)+1), Queue{Name: fmt.Sprint("queue", c.Version, "-", n)})
		c.Teams = slices.Insert(c.Teams, rng.IntN(len(c.Teams)+1), Team{Name: fmt.Sprint("team", c.Version, "-", n)})
	}
	if rng.IntN(8) == 0 { // the order of the rest changes
		rng.Shuffle(len(c.Queues), func(a, b int) { c.Queues[a], c.Queues[b] = c.Queues[b], c.Queues[a] })
	}
	return c
}

func TestConfigChangeLeadsToTheNewVersion(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	cfg, whole := &Config{}, 0
	for range 2000 {
		next := randomConfig(rng, cfg)
		change := next.ChangeSince(cfg)
		if change.Base != cfg.Version {
			whole++
		}
		got, err := cfg.With(change)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, next)
		got, err = cfg.With(next.ChangeSince(nil))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, next)
		cfg = next
	}
	assert.Assert(t, whole < 400, "%d of 2,000 changes list the whole configuration", whole)
}

func TestConfigChangeOfOneQueueIsSmall(t *testing.T) {
	base := &Config{Version: 1}
	for n := range 5000 {
		base.Queues = append(base.Queues, Queue{Name: fmt.Sprint("queue", n)})
	}
	next := &Config{Version: 2, Queues: append([]Queue{}, base.Queues...)}
	next.Queues[17].Priority = 1
	change := next.ChangeSince(base)
	assert.DeepEqual(t, change, &ConfigChange{Base: 1, Version: 2, Queues: ListChange[Queue]{Items: next.Queues[17:18], At: []int{17}}})
}

func TestConfigChangeAppliesToItsBaseOnly(t *testing.T) {
	change := &ConfigChange{Base: 3, Version: 5}
	_, err := (&Config{Version: 4}).With(change)
	assert.ErrorContains(t, err, "a change from version 3 to 5 can't be applied to version 4")
	_, err = (&Config{Version: 3}).With(&ConfigChange{Base: 3, Version: 3})
	assert.ErrorContains(t, err, "from version 3 to 3")
	base := &Config{Version: 3, Queues: []Queue{{Name: "a"}}}
	for _, at := range [][]int{nil, {0, 1}, {2}, {-1}} {
		_, err = base.With(&ConfigChange{Base: 3, Version: 4, Queues: ListChange[Queue]{Items: []Queue{{Name: "b"}}, At: at}})
		assert.ErrorContains(t, err, "queues: ", "%v", at)
	}
}
