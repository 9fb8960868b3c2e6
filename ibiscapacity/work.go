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
	submitters     = 16 // concurrent submissions
	submitAttempts = 20 // for each service
)

// teamLimit is an upper limit that no measurement reaches.
var teamLimit = ibiswork.Resources{MilliCPU: 1 << 30, MemoryMB: 1 << 30, Slots: 1 << 20}

// createTeams creates the teams with the numbers from first to end-1, each with a key, and waits until all
// daemons know them.
func (c *cluster) createTeams(ctx context.Context, first, end int) error {
	var version int64
	for i := first; i < end; i++ {
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
	return c.awaitConfig(ctx, version)
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }
func teamKey(i int) string  { return fmt.Sprintf("capacity-key-of-team-%d", i) }

// startServices submits n services, which run until they are stopped, spread evenly over the given number of
// teams from firstTeam. It waits until the cluster runs wantRunning tasks in total.
func (c *cluster) startServices(ctx context.Context, n, firstTeam, teams, wantRunning int) error {
	var g errgroup.Group
	g.SetLimit(submitters)
	for i := range n {
		g.Go(func() error { return c.submitService(ctx, firstTeam+i%teams, c.daemons[i%len(c.daemons)]) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return await(ctx, fmt.Sprintf("%d tasks run", wantRunning), func() bool {
		running, err := c.runningTasks(ctx)
		return err == nil && running >= wantRunning
	})
}

// runningTasks returns the number of tasks that the backend servers run.
func (c *cluster) runningTasks(ctx context.Context) (int, error) {
	var all []ibisstandin.ServerStats
	err := c.get(ctx, c.addresses.VMList+ibisstandin.PathStats, &all)
	n := 0
	for _, s := range all {
		n += s.Running
	}
	return n, err
}

// submitService submits one service of a team to d, with retries.
func (c *cluster) submitService(ctx context.Context, team int, d *daemon) error {
	r := ibiswork.Request{
		ID: ibiswork.NewID(), Class: ibiswork.Service, Idempotent: true, Payload: []byte(`{"RunMS":0}`),
		Resources: ibiswork.Resources{MilliCPU: 10, MemoryMB: 10, Slots: 1},
	}
	h := &http.Client{Transport: bearerTransport{c.http.Transport, teamKey(team)}}
	var err error
	for range submitAttempts {
		err = c.call(ctx, h, http.MethodPost, "http://"+d.address+"/v1/requests?WaitMS=0", r, nil)
		if err == nil || pause(ctx, time.Second/4) != nil {
			return err
		}
	}
	return err
}

// startLoad starts "ibiscrank load" with rate short tasks a second. The returned function waits for its exit.
func (c *cluster) startLoad(ctx context.Context, rate int, duration time.Duration) (wait func() error, err error) {
	args := []string{
		"load", "--mix=short", "--team=" + teamName(0) + "=" + teamKey(0), "--rate=" + strconv.Itoa(rate),
		"--duration=" + duration.String(), "--grace=2s",
	}
	for _, d := range c.daemons {
		args = append(args, "--daemon="+d.address)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(c.bin, "ibiscrank"), args...)
	if err := cmd.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	return cmd.Wait, nil
}

// failVM makes the VM of the backend server i fail with its tasks and marks it as gone in the VM list.
func (c *cluster) failVM(ctx context.Context, i int) error {
	vm := c.addresses.Servers[i]
	if err := c.call(ctx, c.http, http.MethodPost, c.addresses.VMList+"/lose?name="+vm.Name, nil, nil); err != nil {
		return err
	}
	vm.State = "Gone"
	return c.call(ctx, c.http, http.MethodPost, c.addresses.VMList+"/vms", ibisstandin.VMChange{VMs: append(c.addresses.Servers[:0:0], vm)}, nil)
}
