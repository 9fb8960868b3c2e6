package ibiscapacity

import (
	"context"
	"slices"
	"time"

	"ibiscrank/ibisconfig"
)

// Sizes of the measurements.
const (
	fewDaemons   = 3
	someServers  = 30
	manySlots    = 100
	changesTried = 10
	loadTime     = 10 * time.Second
)

func measureServers(ctx context.Context, bin string) (*series, error) {
	s := newSeries("backend servers owned by one daemon")
	for _, n := range []int{50, 200, 800} {
		values, err := at(ctx, bin, fewDaemons, n, func(c *cluster) (map[string]float64, error) { return c.window(ctx) })
		if err != nil {
			return nil, err
		}
		s.add(float64(n)/fewDaemons, values)
	}
	return s, nil
}

// at runs f with a cluster of its own.
func at(ctx context.Context, bin string, daemons, servers int, f func(*cluster) (map[string]float64, error)) (map[string]float64, error) {
	c, stop, err := start(ctx, bin, daemons, servers, manySlots)
	if err != nil {
		return nil, err
	}
	defer stop()
	return f(c)
}

// grow measures one cluster of few daemons at growing sizes.
func grow(ctx context.Context, bin string, s *series, sizes []int, step func(c *cluster, from, to int) (map[string]float64, error)) (*series, error) {
	c, stop, err := start(ctx, bin, fewDaemons, someServers, manySlots)
	if err != nil {
		return nil, err
	}
	defer stop()
	if err := c.teams(ctx, 0, 1); err != nil {
		return nil, err
	}
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	if err := c.quiet(ctx); err != nil {
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

// measureTasks counts the tasks of all daemons, because each task has one owner and one holder.
func measureTasks(ctx context.Context, bin string) (*series, error) {
	s := newSeries("running services, all daemons")
	return grow(ctx, bin, s, []int{0, 750, 1500, 2500}, func(c *cluster, from, to int) (map[string]float64, error) {
		if err := c.services(ctx, to-from, 0, 1, to); err != nil {
			return nil, err
		}
		return c.window(ctx)
	})
}

func measureTeams(ctx context.Context, bin string) (*series, error) {
	s := newSeries("teams, each with one running task")
	return grow(ctx, bin, s, []int{10, 50, 140}, func(c *cluster, from, to int) (map[string]float64, error) {
		if err := c.teams(ctx, max(from, 1), to); err != nil {
			return nil, err
		}
		if err := c.services(ctx, to-from, from, to-from, to); err != nil {
			return nil, err
		}
		return c.window(ctx)
	})
}

func measureStarts(ctx context.Context, bin string) (*series, error) {
	s := newSeries("offered task starts/s, all daemons")
	return grow(ctx, bin, s, []int{50, 100, 200, 400}, func(c *cluster, _, rate int) (map[string]float64, error) {
		wait, err := c.load(ctx, rate, loadTime)
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

func measureDaemons(ctx context.Context, bin string) (*series, error) {
	s := newSeries("daemons")
	for _, n := range []int{3, 7, 15, 30} {
		values, err := at(ctx, bin, n, someServers, func(c *cluster) (map[string]float64, error) {
			values, err := c.window(ctx)
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

// configChanges makes changes one after another and adds what one costs above the idle rates.
func (c *cluster) configChanges(ctx context.Context, values map[string]float64) error {
	a, err := c.sample(ctx)
	if err != nil {
		return err
	}
	var took []float64
	for i := range changesTried {
		began := time.Now()
		version, err := c.change(ctx, ibisconfig.Change{PutTeam: &ibisconfig.Team{Name: teamName(i), Share: 1, UpperLimit: teamLimit}})
		if err != nil {
			return err
		}
		if err := c.inForce(ctx, version); err != nil {
			return err
		}
		took = append(took, time.Since(began).Seconds())
	}
	b, err := c.sample(ctx)
	if err != nil {
		return err
	}
	slices.Sort(took)
	seconds := b.seconds - a.seconds
	values["Change in force at all daemons, s, middle of 10"] = took[len(took)/2]
	values["Change in force at all daemons, s, slowest of 10"] = took[len(took)-1]
	values["Table reads a change, above idle"] = max(0, (b.reads-a.reads-seconds*values["Table reads/s, all daemons"])/changesTried)
	values["Table writes a change, above idle"] = max(0, (b.writes-a.writes-seconds*values["Table writes/s, all daemons"])/changesTried)
	return nil
}

// restart ends one daemon without warning, starts it again at once, and adds what that took.
func (c *cluster) restart(ctx context.Context, values map[string]float64) error {
	a, err := c.sample(ctx)
	if err != nil {
		return err
	}
	d := c.daemons[0]
	began := time.Now()
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
	values["Servers of a lost daemon claimed, s"] = time.Since(began).Seconds()
	if err := c.launch(d); err != nil {
		return err
	}
	if err := c.awaitWhole(ctx); err != nil {
		return err
	}
	if err := pause(ctx, 8*time.Second); err != nil {
		return err
	}
	b, err := c.sample(ctx)
	if err != nil {
		return err
	}
	seconds := b.seconds - a.seconds
	values["Table reads a restart, above idle"] = max(0, b.reads-a.reads-seconds*values["Table reads/s, all daemons"])
	values["Table writes a restart, above idle"] = max(0, b.writes-a.writes-seconds*values["Table writes/s, all daemons"])
	return nil
}
