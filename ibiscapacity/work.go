package ibiscapacity

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

const (
	submitters    = 16
	submitRetries = 20
)

var teamLimit = ibiswork.Resources{MilliCPU: 1 << 30, MemoryMB: 1 << 30, Slots: 1 << 20}

// teams makes the teams with the numbers from first to last-1 and waits until they are in force.
func (c *cluster) teams(ctx context.Context, first, last int) error {
	var version int64
	for i := first; i < last; i++ {
		team := ibisconfig.Team{Name: teamName(i), Share: 1, UpperLimit: teamLimit}
		if _, err := c.change(ctx, ibisconfig.Change{PutTeam: &team}); err != nil {
			return err
		}
		var err error
		version, err = c.change(ctx, ibisconfig.Change{AddKey: &ibisconfig.AddKey{
			Team: team.Name, Key: ibisconfig.Key{Name: "first", Hash: ibisconfig.HashKey(teamKey(i))},
		}})
		if err != nil {
			return err
		}
	}
	return c.inForce(ctx, version)
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }
func teamKey(i int) string  { return fmt.Sprintf("capacity-key-of-team-%d", i) }

// services submits n services that run until they are stopped, dealt out among some teams, and waits
// until running tasks run in all.
func (c *cluster) services(ctx context.Context, n, firstTeam, teams, running int) error {
	var g errgroup.Group
	g.SetLimit(submitters)
	for i := range n {
		g.Go(func() error { return c.submit(ctx, firstTeam+i%teams, c.daemons[i%len(c.daemons)]) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return await(ctx, fmt.Sprintf("%d tasks run", running), func() bool {
		now, err := c.running(ctx)
		return err == nil && now >= running
	})
}

func (c *cluster) running(ctx context.Context) (int, error) {
	var all []ibisstandin.ServerStats
	err := c.get(ctx, c.addresses.VMList+ibisstandin.PathStats, &all)
	n := 0
	for _, s := range all {
		n += s.Running
	}
	return n, err
}

func (c *cluster) submit(ctx context.Context, team int, d *daemon) error {
	r := ibiswork.Request{
		ID: ibiswork.NewID(), Class: ibiswork.Service, Idempotent: true, Payload: []byte(`{"RunMS":0}`),
		Resources: ibiswork.Resources{MilliCPU: 10, MemoryMB: 10, Slots: 1},
	}
	h := &http.Client{Transport: bearer{c.http.Transport, teamKey(team)}}
	var err error
	for range submitRetries {
		err = c.call(ctx, h, http.MethodPost, "http://"+d.listen+"/v1/requests?WaitMS=0", r, nil)
		if err == nil || pause(ctx, time.Second/4) != nil {
			return err
		}
	}
	return err
}

// load runs the command load at a rate of short tasks; the result waits for its end.
func (c *cluster) load(ctx context.Context, rate int, duration time.Duration) (wait func() error, err error) {
	args := []string{
		"load", "--mix=short", "--team=" + teamName(0) + "=" + teamKey(0), "--rate=" + strconv.Itoa(rate),
		"--duration=" + duration.String(), "--grace=2s",
	}
	for _, d := range c.daemons {
		args = append(args, "--daemon="+d.listen)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(c.bin, "ibiscrank"), args...)
	if err := cmd.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	return cmd.Wait, nil
}

// loseVM ends a VM with its tasks and takes it off the list of VMs.
func (c *cluster) loseVM(ctx context.Context, i int) error {
	vm := c.addresses.Servers[i]
	if err := c.call(ctx, c.http, http.MethodPost, c.addresses.VMList+"/lose?name="+vm.Name, nil, nil); err != nil {
		return err
	}
	vm.State = "Gone"
	return c.call(ctx, c.http, http.MethodPost, c.addresses.VMList+"/vms", ibisstandin.VMChange{VMs: append(c.addresses.Servers[:0:0], vm)}, nil)
}
