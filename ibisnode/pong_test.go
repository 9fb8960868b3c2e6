package ibisnode_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisharness"
	"ibiscrank/ibisjob"
	"ibiscrank/ibisnode"
	"ibiscrank/ibiswork"
)

// controlBytesPerS is the target for what a daemon spends on control.
const controlBytesPerS = 13_000

// submitToIdleService has a job wait in each of a number of queues, whose service has no servers.
func (g *group) submitToIdleService(queues int) {
	g.t.Helper()
	cfg := newConfig(2, 1)
	for n := range queues {
		cfg.Queues = append(cfg.Queues, ibisjob.Queue{Name: fmt.Sprintf("queue-%07d", n), Host: "h", PathPrefix: fmt.Sprintf("/path-%07d/", n), Service: "idle", SlackFactor: 2, ObjectiveMS: 600_000})
	}
	cfg.Services = []ibisjob.Service{{Name: "idle"}}
	g.table.setConfig(cfg)
	g.awaitConfig(2, g.members...)
	var wg sync.WaitGroup
	for first := range 50 {
		wg.Go(func() {
			for n := first; n < queues; n += 50 {
				job := ibisjob.Job{ID: ibisjob.ID(fmt.Sprintf("%016x", 1<<40+n)), Queue: fmt.Sprintf("queue-%07d", n), Team: "a", Steps: []ibisjob.Step{{Tasks: 1, Size: ibiswork.Resources{MilliCPU: 10, MemoryMB: 1}}}}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				res := g.leader().Call(ctx, ibisnode.Request{Kind: ibisnode.Submit, ID: job.ID, Job: &job})
				cancel()
				if !assert.Check(g.t, res.Outcome == ibiscell.OK, "queue %d: %v", n, res) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// Guards against heartbeats that fill a link: each pong lists the waiting jobs of all queues, whether they have changed or
// not.
func TestPongsStaySmallWhileManyQueuesHaveWaitingJobs(t *testing.T) {
	const queues = 4200 // as in the incident LOST
	g := newGroup(t, 1, 0.2, 0.2, 0.2)
	g.submitToIdleService(queues)
	time.Sleep(2 * time.Second)
	in := func() (total int64) {
		for _, m := range g.others(g.leader()) {
			total += metrics.GetOrRegisterCounter("BytesInLink", m.registry).Count()
		}
		return total / 3
	}
	before, lost, began := in(), g.count("LeaderLost"), time.Now()
	time.Sleep(4 * time.Second)
	perS := float64(in()-before) / time.Since(began).Seconds()
	t.Logf("LeaderLost: %d", g.count("LeaderLost")-lost)
	assert.Assert(t, perS < controlBytesPerS, "each follower receives %.0f bytes a second on its link while nothing happens", perS)
}

// Guards against daemons that lose their leader because pongs take longer to arrive than they wait for them.
func TestManyQueuesWithWaitingJobsDoNotBreakSlowLinks(t *testing.T) {
	g := newGroup(t, 1, 0.2, 0.2, 0.2)
	g.submitToIdleService(4200)
	g.leader().link.Limit(171) // a link's share of a leader's 200 Mbit/s on 147 VMs
	before := g.count("LeaderLost")
	time.Sleep(8 * time.Second)
	lost := g.count("LeaderLost") - before
	assert.Assert(t, lost == 0, "the leader was lost %d times", lost)
}

// Guards against links that break again because the counts that a new link begins with fill it, and against wrong counts
// until they have come.
func TestNewLinksGetTheWaitingJobsOfManyQueues(t *testing.T) {
	const queues = 4200
	g := newGroup(t, 1, 0.2, 0.2, 0.2)
	g.submitToIdleService(queues)
	time.Sleep(2500 * time.Millisecond) // older counts are not shown
	link := g.leader().link
	link.Cut()
	link.Restore()
	link.Limit(64)
	g.awaitServing(g.members...)
	before := g.count("LeaderLost")
	ibisharness.Eventually(t, 10*time.Second, "all counts are known", func() bool {
		known := 0
		for _, m := range g.members {
			for n := range queues {
				if count, ok := m.WaitingJobs(fmt.Sprintf("queue-%07d", n)); ok {
					known++
					assert.Assert(t, count == 1, "%s: queue %d has %d waiting jobs", m.name, n, count)
				}
			}
		}
		return known == queues*len(g.members)
	})
	time.Sleep(3 * time.Second)
	lost := g.count("LeaderLost") - before
	assert.Assert(t, lost == 0, "the leader was lost %d times", lost)
}
