package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisclient"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibiswork"
)

// teamCmd is the command team.
type teamCmd struct {
	List   teamListCmd   `cmd:"" help:"List all teams."`
	Show   teamShowCmd   `cmd:"" help:"Show one team."`
	Put    teamPutCmd    `cmd:"" help:"Create or replace a team from a JSON file; its keys stay."`
	Share  teamShareCmd  `cmd:"" help:"Change the share of a team."`
	Limit  teamLimitCmd  `cmd:"" help:"Change the upper limit of a team."`
	Cancel teamCancelCmd `cmd:"" help:"Cancel everything that a team has waiting."`
	Delete teamDeleteCmd `cmd:"" help:"Delete a team with its keys."`
}

type teamListCmd struct {
	operatorFlags `embed:""`
	JSON          bool `name:"json" help:"Print JSON."`
}

// Run prints a line for each team.
func (c *teamListCmd) Run() error {
	v, err := within(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ConfigView, error) { return a.Config(ctx) })
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(v.Teams)
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "TEAM\tSHARE\tMILLICPU\tMEMORY MB\tACCELERATORS\tSLOTS\tKEYS\tOPEN\tVERSION")
	for _, name := range slices.Sorted(maps.Keys(v.Teams)) {
		t, l := v.Teams[name], v.Teams[name].UpperLimit
		fmt.Fprintf(tw, "%s\t%g\t%d\t%d\t%d\t%d\t%d\t%v\t%d\n", name, t.Share, l.MilliCPU, l.MemoryMB, l.Accelerators, l.Slots, len(t.Keys), t.Queue, t.Version)
	}
	return tw.Flush()
}

type teamShowCmd struct {
	operatorFlags `embed:""`
	Team          string `arg:"" help:"Name of the team."`
}

// Run prints the team.
func (c *teamShowCmd) Run() error {
	return call(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisconfig.Team, error) { return a.Team(ctx, c.Team) })
}

type teamPutCmd struct {
	changeFlags `embed:""`
	File        string `arg:"" help:"JSON file of the team, or - for standard input. Its Version is the one that was seen, 0 for a new team."`
	Force       bool   `help:"Replace whatever version there is."`
}

// Run puts the team.
func (c *teamPutCmd) Run() error {
	var t ibisconfig.Team
	if err := readJSON(c.File, &t); err != nil {
		return err
	}
	basedOn := t.Version
	if c.Force {
		basedOn = ibisconfig.NoCondition
	}
	return call(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		return a.PutTeam(ctx, c.ChangeID, basedOn, t)
	})
}

// edit changes the present version of a team.
func (c changeFlags) edit(team string, change func(*ibisconfig.Team)) error {
	return call(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		t, err := a.Team(ctx, team)
		if err != nil {
			return ibisadmin.ChangeReply{}, err
		}
		change(&t)
		return a.PutTeam(ctx, c.ChangeID, t.Version, t)
	})
}

type teamShareCmd struct {
	changeFlags `embed:""`
	Team        string  `arg:"" help:"Name of the team."`
	Share       float64 `arg:"" help:"Weight while the fleet is full."`
}

// Run changes the share.
func (c *teamShareCmd) Run() error {
	return c.edit(c.Team, func(t *ibisconfig.Team) { t.Share = c.Share })
}

type teamLimitCmd struct {
	changeFlags  `embed:""`
	Team         string `arg:"" help:"Name of the team."`
	MilliCPU     *int64 `name:"milli-cpu" help:"Thousandths of a core."`
	MemoryMB     *int64 `name:"memory-mb" help:"MiB of memory."`
	Accelerators *int64 `help:"Accelerators."`
	Slots        *int64 `help:"Slots."`
}

// Run changes the amounts that were given.
func (c *teamLimitCmd) Run() error {
	return c.edit(c.Team, func(t *ibisconfig.Team) { t.UpperLimit = c.limit(t.UpperLimit) })
}

func (c *teamLimitCmd) limit(r ibiswork.Resources) ibiswork.Resources {
	for _, f := range []struct{ to, from *int64 }{
		{&r.MilliCPU, c.MilliCPU},
		{&r.MemoryMB, c.MemoryMB},
		{&r.Accelerators, c.Accelerators},
		{&r.Slots, c.Slots},
	} {
		if f.from != nil {
			*f.to = *f.from
		}
	}
	return r
}

type teamCancelCmd struct {
	changeFlags `embed:""`
	Team        string `arg:"" help:"Name of the team."`
}

// Run cancels the queue.
func (c *teamCancelCmd) Run() error {
	return call(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		return a.CancelQueue(ctx, c.ChangeID, c.Team)
	})
}

type teamDeleteCmd struct {
	changeFlags `embed:""`
	Team        string `arg:"" help:"Name of the team."`
}

// Run deletes the version of the team that is there now.
func (c *teamDeleteCmd) Run() error {
	return call(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		t, err := a.Team(ctx, c.Team)
		if err != nil {
			return ibisadmin.ChangeReply{}, err
		}
		return a.DeleteTeam(ctx, c.ChangeID, t.Version, c.Team)
	})
}
