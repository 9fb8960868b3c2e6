package ibisaside_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisaside"
)

var start = time.Unix(1_800_000_000, 0)

func name(n int) string { return fmt.Sprintf("w%02d", n) }

// failTasks starts tasks on w00 as far as allowed, up to slots at once, and lets all fail until the server is
// set aside. It returns the number of failed tasks.
func failTasks(g *ibisaside.Guard, now time.Time, slots int) int {
	failed, running := 0, 0
	for {
		for running < slots && g.Allowance(name(0), now) > 0 {
			g.Start(name(0), now)
			running++
		}
		if running == 0 {
			return failed
		}
		running--
		failed++
		g.Record(name(0), false, 5, now)
	}
}

// recordRandom records tasks on random servers, of which the fraction failing fails.
func recordRandom(g *ibisaside.Guard, servers, tasks int, failing float64, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for range tasks {
		g.Record(name(rng.IntN(servers)), rng.Float64() >= failing, 100, start)
	}
}

func TestServerThatFailsEverythingIsSetAsideSoon(t *testing.T) {
	for _, slots := range []int{1, 8, 32} {
		var g ibisaside.Guard
		recordRandom(&g, 50, 2000, 0, 1)
		g.Record(name(0), true, 100, start)
		failed := failTasks(&g, start, slots)
		assert.Assert(t, failed <= slots+ibisaside.MinFailures-1, "%d tasks failed with %d slots", failed, slots)
		assert.Equal(t, g.Allowance(name(0), start), 0)
		assert.Equal(t, g.Allowance(name(1), start), ibisaside.Unlimited)
		assert.Assert(t, g.ServerAtFault(name(0)))
		assert.Assert(t, !g.ServerAtFault(name(1)))
		reason, ok := g.Reason(name(0))
		assert.Assert(t, ok)
		assert.Equal(t, reason, "failed 3 tasks in a row, the last after 5 ms")
		assert.Equal(t, len(g.List(start)), 1)
	}
}

// Tasks that fail on every server are the fault of the tasks: at most a third of the servers may be set aside.
func TestFailingTasksDoNotSetServersAside(t *testing.T) {
	var g ibisaside.Guard
	recordRandom(&g, 50, 2000, 0, 1)
	recordRandom(&g, 50, 20000, 0.3, 2)
	assert.Assert(t, len(g.List(start)) <= 1, "%v", g.List(start))
	for range 50 { // then all tasks fail on all servers
		for n := range 50 {
			g.Record(name(n), false, 100, start)
		}
	}
	aside := len(g.List(start))
	assert.Assert(t, aside <= 50/3, "%d set aside", aside)
	assert.Assert(t, g.Allowance(name(49), start) > 0)
}

func TestHalfOfTheServersFailing(t *testing.T) {
	var g ibisaside.Guard
	recordRandom(&g, 50, 2000, 0, 1)
	for range 50 {
		for n := range 50 {
			g.Record(name(n), n >= 30, 5, start)
		}
	}
	aside := g.List(start)
	assert.Equal(t, len(aside), 50/3) // the maximum without an operator
	for _, a := range aside {
		assert.Assert(t, a.Server < name(30))
	}
	assert.Assert(t, g.ServerAtFault(name(29)))
}

func TestProbationAfterGrowingBackoff(t *testing.T) {
	var g ibisaside.Guard
	recordRandom(&g, 50, 2000, 0, 1)
	now, last := start, time.Duration(0)
	for range 5 {
		failed := failTasks(&g, now, 8)
		assert.Assert(t, failed <= 8+ibisaside.MinFailures-1)
		for wait := time.Duration(0); ; wait += time.Second {
			if n := g.Allowance(name(0), now.Add(wait)); n > 0 {
				assert.Equal(t, n, 1)
				assert.Assert(t, wait > last)
				last, now = wait, now.Add(wait)
				break
			}
		}
	}
	for n := 1; n <= 3; n++ { // the server has been repaired
		assert.Equal(t, g.Allowance(name(0), now), n)
		g.Start(name(0), now)
		g.Record(name(0), true, 100, now)
	}
	assert.Equal(t, g.Allowance(name(0), now), ibisaside.Unlimited)
	assert.Equal(t, len(g.List(now)), 0)
}

// A probe without an outcome must not keep a server on probation from getting further tasks.
func TestUnfinishedProbeDoesNotBlockProbation(t *testing.T) {
	var g ibisaside.Guard
	recordRandom(&g, 50, 2000, 0, 1)
	failTasks(&g, start, 1)
	now := start.Add(time.Minute)
	assert.Equal(t, g.Allowance(name(0), now), 1)
	g.Start(name(0), now)
	assert.Equal(t, g.Allowance(name(0), now), 0)
	assert.Equal(t, g.Allowance(name(0), now.Add(2*time.Minute)), 1)
}

// Outcomes of tasks that were still running when the server was set aside must not restart its backoff.
func TestTasksStillRunningWhenSetAsideDoNotProlongIt(t *testing.T) {
	var g ibisaside.Guard
	recordRandom(&g, 50, 2000, 0, 1)
	failTasks(&g, start, 1)
	until := g.List(start)[0].Until
	g.Record(name(0), false, 5, start.Add(time.Second))
	g.Record(name(0), true, 5, start.Add(time.Second))
	assert.Equal(t, g.List(start)[0].Until, until)
}

func TestStartProbationAndRemove(t *testing.T) {
	var g ibisaside.Guard
	recordRandom(&g, 50, 2000, 0, 1)
	failTasks(&g, start, 1)
	g.StartProbation(name(0))
	assert.Equal(t, g.Allowance(name(0), start), 1)
	g.Record(name(0), false, 5, start)
	assert.Equal(t, g.Allowance(name(0), start), 0)
	g.Remove(name(0))
	assert.Equal(t, g.Allowance(name(0), start), ibisaside.Unlimited)
	assert.Equal(t, len(g.List(start)), 0)
	g.StartProbation("unknown")
	g.Remove("unknown")
}
