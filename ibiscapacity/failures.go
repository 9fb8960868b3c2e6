package ibiscapacity

import "context"

// measureFailures loses growing numbers of VMs, each with some services, and counts the cost until all
// services run again.
func measureFailures(ctx context.Context, bin string) (*series, error) {
	const services = 300
	s := newSeries("VMs lost at once, with about 10 services each")
	lost := 0
	return grow(ctx, bin, s, []int{1, 2, 4}, func(c *cluster, from, to int) (map[string]float64, error) {
		if from == 0 {
			if err := c.services(ctx, services, 0, 1, services); err != nil {
				return nil, err
			}
		}
		idle, err := c.window(ctx)
		if err != nil {
			return nil, err
		}
		before, err := c.sample(ctx)
		if err != nil {
			return nil, err
		}
		for range to {
			if err := c.loseVM(ctx, lost); err != nil {
				return nil, err
			}
			lost++
		}
		if err := await(ctx, "all services run again", func() bool {
			n, err := c.running(ctx)
			return err == nil && n >= services
		}); err != nil {
			return nil, err
		}
		after, err := c.sample(ctx)
		if err != nil {
			return nil, err
		}
		t := after.seconds - before.seconds
		return map[string]float64{
			"Services run again, s": t,
			"Processor ms of all daemons, above idle": 1000 * (after.cpu - before.cpu -
				t*idle["Processor, % of a core a daemon"]*fewDaemons/100),
			"Table reads, above idle":  after.reads - before.reads - t*idle["Table reads/s, all daemons"],
			"Table writes, above idle": after.writes - before.writes - t*idle["Table writes/s, all daemons"],
		}, nil
	})
}
