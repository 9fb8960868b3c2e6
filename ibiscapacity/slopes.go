package ibiscapacity

import (
	"context"
	"slices"
	"time"

	"ibiscrank/ibisconfig"
)

// Sizes that the measurements keep fixed.
const (
	defaultDaemons    = 3
	defaultServers    = 30
	slotsPerServer    = 100
	configChangeCount = 10
	loadDuration      = 10 * time.Second
)

// measureServers varies the number of backend servers, with a new cluster for each size.
func measureServers(ctx context.Context, bin string) (*series, error) {
	s := newSeries("backend servers owned by one daemon")
	for _, n := range []int{50, 200, 800} {
		values, err := measureCluster(ctx, bin, defaultDaemons, n, func(c *cluster) (map[string]float64, error) { return c.measureSettled(ctx) })
		if err != nil {
			return nil, err
		}
		s.add(float64(n)/defaultDaemons, values)
	}
	return s, nil
}

// measureCluster starts a cluster, returns what f measures on it, and stops it.
func measureCluster(ctx context.Context, bin string, daemons, servers int, f func(*cluster) (map[string]float64, error)) (map[string]float64, error) {
	c, stop, err := startCluster(ctx, bin, daemons, servers, slotsPerServer)
	if err != nil {
		return nil, err
	}
	defer stop()
	return f(c)
}

// measureGrowth starts one cluster and measures it at increasing sizes. The function step grows it from one
// size to the next and returns the values.
func measureGrowth(ctx context.Context, bin string, s *series, sizes []int, step func(c *cluster, from, to int) (map[string]float64, error)) (*series, error) {
	c, stop, err := startCluster(ctx, bin, defaultDaemons, defaultServers, slotsPerServer)
	if err != nil {
		return nil, err
	}
	defer stop()
	if err := c.createTeams(ctx, 0, 1); err != nil {
		return nil, err
	}
	if err := pause(ctx, settleDelay); err != nil {
		return nil, err
	}
	if err := c.awaitStableShards(ctx); err != nil {
		return nil, err
	}
	from := 0
	for _, to := range sizes {
		values, err := step(c, from, to)
		if err != nil {
			return nil, err
		}
		s.add(float64(to), values)
		from = to
	}
	return s, nil
}

// measureTasks varies the number of running tasks. X counts the tasks of all daemons rather than of one,
// because each task costs both the owner of the backend server that runs it and the holder of the shard of
// its request, which may be different daemons.
func measureTasks(ctx context.Context, bin string) (*series, error) {
	s := newSeries("running services, all daemons")
	return measureGrowth(ctx, bin, s, []int{0, 750, 1500, 2500}, func(c *cluster, from, to int) (map[string]float64, error) {
		if err := c.startServices(ctx, to-from, 0, 1, to); err != nil {
			return nil, err
		}
		return c.measureSettled(ctx)
	})
}

// measureTeams varies the number of client accounts.
func measureTeams(ctx context.Context, bin string) (*series, error) {
	s := newSeries("teams, each with one running task")
	return measureGrowth(ctx, bin, s, []int{10, 50, 140}, func(c *cluster, from, to int) (map[string]float64, error) {
		if err := c.createTeams(ctx, max(from, 1), to); err != nil {
			return nil, err
		}
		if err := c.startServices(ctx, to-from, from, to-from, to); err != nil {
			return nil, err
		}
		return c.measureSettled(ctx)
	})
}

// measureStarts varies the rate of short tasks. It measures in the middle of each load and then waits for its
// end.
func measureStarts(ctx context.Context, bin string) (*series, error) {
	s := newSeries("offered task starts/s, all daemons")
	return measureGrowth(ctx, bin, s, []int{50, 100, 200, 400}, func(c *cluster, _, rate int) (map[string]float64, error) {
		wait, err := c.startLoad(ctx, rate, loadDuration)
		if err != nil {
			return nil, err
		}
		if err := pause(ctx, 2*time.Second); err != nil {
			return nil, err
		}
		values, err := c.measure(ctx)
		if err != nil {
			return nil, err
		}
		return values, wait()
	})
}

// measureDaemons varies the number of daemons. At each size it also measures the cost of configuration
// changes and of the restart of a daemon.
func measureDaemons(ctx context.Context, bin string) (*series, error) {
	s := newSeries("daemons")
	for _, n := range []int{3, 7, 15, 30} {
		values, err := measureCluster(ctx, bin, n, defaultServers, func(c *cluster) (map[string]float64, error) {
			values, err := c.measureSettled(ctx)
			if err != nil {
				return nil, err
			}
			if err := c.configChanges(ctx, values); err != nil {
				return nil, err
			}
			return values, c.restart(ctx, values)
		})
		if err != nil {
			return nil, err
		}
		s.add(float64(n), values)
	}
	return s, nil
}

// configChanges makes sequential configuration changes and adds to values their latency and the cost of one
// change above the idle rates in values.
func (c *cluster) configChanges(ctx context.Context, values map[string]float64) error {
	a, err := c.takeSample(ctx)
	if err != nil {
		return err
	}
	var latencies []float64 // seconds
	for i := range configChangeCount {
		startTime := time.Now()
		version, err := c.change(ctx, ibisconfig.Change{PutTeam: &ibisconfig.Team{Name: teamName(i), Share: 1, UpperLimit: teamLimit}})
		if err != nil {
			return err
		}
		if err := c.awaitConfig(ctx, version); err != nil {
			return err
		}
		latencies = append(latencies, time.Since(startTime).Seconds())
	}
	b, err := c.takeSample(ctx)
	if err != nil {
		return err
	}
	slices.Sort(latencies)
	seconds := b.wallSeconds - a.wallSeconds
	values["Change in force at all daemons, s, middle of 10"] = latencies[len(latencies)/2]
	values["Change in force at all daemons, s, slowest of 10"] = latencies[len(latencies)-1]
	values["Table reads a change, above idle"] = max(0, (b.tableReads-a.tableReads-seconds*values["Table reads/s, all daemons"])/configChangeCount)
	values["Table writes a change, above idle"] = max(0, (b.tableWrites-a.tableWrites-seconds*values["Table writes/s, all daemons"])/configChangeCount)
	return nil
}

// restart kills one daemon, waits until the others have claimed its servers, starts it again, and adds to
// values the time until the claims and the cost above the idle rates in values.
func (c *cluster) restart(ctx context.Context, values map[string]float64) error {
	a, err := c.takeSample(ctx)
	if err != nil {
		return err
	}
	d := c.daemons[0]
	startTime := time.Now()
	kill(d.cmd)
	err = await(ctx, "the servers of the lost daemon are claimed", func() bool {
		o, err := c.overview(ctx, c.daemons[len(c.daemons)-1])
		if err != nil || len(o.Daemons) != len(c.daemons)-1 {
			return false
		}
		for _, s := range o.Servers {
			if s.State != "Live" {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	values["Servers of a lost daemon claimed, s"] = time.Since(startTime).Seconds()
	if err := c.startDaemon(d); err != nil {
		return err
	}
	if err := c.awaitReady(ctx); err != nil {
		return err
	}
	if err := pause(ctx, 8*time.Second); err != nil {
		return err
	}
	b, err := c.takeSample(ctx)
	if err != nil {
		return err
	}
	seconds := b.wallSeconds - a.wallSeconds
	values["Table reads a restart, above idle"] = max(0, b.tableReads-a.tableReads-seconds*values["Table reads/s, all daemons"])
	values["Table writes a restart, above idle"] = max(0, b.tableWrites-a.tableWrites-seconds*values["Table writes/s, all daemons"])
	return nil
}
