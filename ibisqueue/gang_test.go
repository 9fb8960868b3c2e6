package ibisqueue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisqueue"
	"ibiscrank/ibiswork"
)

// gangSimulation keeps one owner full with small batch tasks and submits gangs that need most of its servers.
type gangSimulation struct {
	fifo    bool // use the baseline queue
	runTime bool // batch items have an expected run time
	gangs   int
	tasks   int // of each gang
	seed    uint64
	length  time.Duration
}

type gangResult struct {
	waits []time.Duration // of the gangs that started
	batch int             // small batch tasks that started
	idle  float64         // mean fraction of the servers that was not in use
}

func (g gangSimulation) run() gangResult {
	rng := rand.New(rand.NewPCG(g.seed, 9))
	o := newOwner(0, 10, res(16000, 64000, 0, 8))
	if g.fifo {
		o.queue = &fifo{teams: map[string]int{}}
	}
	total := res(16000, 64000, 0, 8).Times(10)
	o.queue.SetCapacity(total)
	var result gangResult
	submitted := map[string]time.Time{}
	serial, ticks := 0, 0
	for now := start; now.Before(start.Add(g.length)); now = now.Add(tick) {
		o.endTasks(now)
		for o.queue.TeamLen("small") < 100 {
			serial++
			i := ibisqueue.Item{
				ID: ibiswork.ID(fmt.Sprintf("s%08d", serial)), Team: "small", Class: ibiswork.Batch, Tasks: 1,
				PerTask: res(1000+rng.Int64N(3000), 4000, 0, 1), Enqueued: now,
			}
			if g.runTime {
				i.RunTime = time.Duration(5+rng.IntN(15)) * time.Second
			}
			o.queue.Push(i)
		}
		if now.Sub(start) == 20*time.Second {
			for n := range g.gangs {
				id := fmt.Sprintf("g%d", n)
				submitted[id] = now
				o.queue.Push(ibisqueue.Item{ID: ibiswork.ID(id), Team: "big" + id, Class: ibiswork.Gang, Tasks: g.tasks, PerTask: res(1500, 4000, 0, 1), Enqueued: now})
			}
		}
		if q, ok := o.queue.(*ibisqueue.Queue); ok {
			q.SetLocalFree(o.fleet.Capacity().Sub(o.fleet.Used()))
		}
		o.queue.Round(now, o.try(now, func(i ibisqueue.Item) time.Duration {
			switch {
			case i.Class == ibiswork.Gang:
				result.waits = append(result.waits, now.Sub(submitted[string(i.ID)]))
				return 30 * time.Second
			case i.RunTime > 0:
				return i.RunTime
			}
			return time.Duration(5+rng.IntN(15)) * time.Second
		}))
		result.idle += 1 - o.fleet.Used().Dominant(total)
		ticks++
	}
	result.batch = serial - 100
	result.idle /= float64(ticks)
	return result
}

// TestGangsStartAndDoNotStarveOthers submits gangs that cannot run at the same time to a full fleet. All of
// them must start, and small tasks must keep starting. Small tasks run for at most 20 s, so a reservation of
// 30 s or more frees enough servers for a gang.
func TestGangsStartAndDoNotStarveOthers(t *testing.T) {
	for _, c := range []gangSimulation{
		{gangs: 1, tasks: 48, seed: 1, length: 4 * time.Minute},
		{gangs: 2, tasks: 48, seed: 2, length: 8 * time.Minute},
		{gangs: 3, tasks: 70, seed: 3, length: 15 * time.Minute},
		{gangs: 2, tasks: 48, seed: 4, length: 8 * time.Minute, runTime: true},
	} {
		t.Run(fmt.Sprintf("%dx%d", c.gangs, c.tasks), func(t *testing.T) {
			r := c.run()
			t.Logf("gangs waited %v; %d small tasks started; %.1f %% idle", r.waits, r.batch, 100*r.idle)
			assert.Equal(t, len(r.waits), c.gangs)
			assert.Assert(t, r.batch > int(c.length/time.Minute)*100)
		})
	}
}

// TestReservationOfAGangThatNeverFits checks that the reservations of a gang which can never start leave
// less than half of the capacity idle on average.
func TestReservationOfAGangThatNeverFits(t *testing.T) {
	r := gangSimulation{gangs: 1, tasks: 81, seed: 5, length: 20 * time.Minute}.run()
	t.Logf("%d small tasks started; %.1f %% idle", r.batch, 100*r.idle)
	assert.Equal(t, len(r.waits), 0)
	assert.Assert(t, r.idle < 0.5)
}
