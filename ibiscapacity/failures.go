package ibiscapacity

import "context"

// measureFailures makes increasing numbers of VMs fail at once, each of which runs some services, and
// measures the cost until all services run again.
func measureFailures(ctx context.Context, bin string) (*series, error) {
	const services = 300
	s := newSeries("VMs lost at once, with about 10 services each")
	failed := 0 // number of VMs that failed so far
	return measureGrowth(ctx, bin, s, []int{1, 2, 4}, func(c *cluster, from, to int) (map[string]float64, error) {
		if from == 0 {
			if err := c.startServices(ctx, services, 0, 1, services); err != nil {
				return nil, err
			}
		}
		idle, err := c.measureSettled(ctx)
		if err != nil {
			return nil, err
		}
		before, err := c.takeSample(ctx)
		if err != nil {
			return nil, err
		}
		for range to {
			if err := c.failVM(ctx, failed); err != nil {
				return nil, err
			}
			failed++
		}
		if err := await(ctx, "all services run again", func() bool {
			n, err := c.runningTasks(ctx)
			return err == nil && n >= services
		}); err != nil {
			return nil, err
		}
		after, err := c.takeSample(ctx)
		if err != nil {
			return nil, err
		}
		elapsed := after.wallSeconds - before.wallSeconds
		return map[string]float64{
			"Services run again, s": elapsed,
			"Processor ms of all daemons, above idle": 1000 * (after.cpuSeconds - before.cpuSeconds -
				elapsed*idle["Processor, % of a core a daemon"]*defaultDaemons/100),
			"Table reads, above idle":  after.tableReads - before.tableReads - elapsed*idle["Table reads/s, all daemons"],
			"Table writes, above idle": after.tableWrites - before.tableWrites - elapsed*idle["Table writes/s, all daemons"],
		}, nil
	})
}
