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

// teamCmd implements "ibiscrank team".
type teamCmd struct {
	List   teamListCmd   `cmd:"" help:"List all teams."`
	Show   teamShowCmd   `cmd:"" help:"Show one team."`
	Put    teamPutCmd    `cmd:"" help:"Create or replace a team from a JSON file; an existing team keeps its keys."`
	Share  teamShareCmd  `cmd:"" help:"Change the share of a team."`
	Limit  teamLimitCmd  `cmd:"" help:"Change the upper limit of a team."`
	Cancel teamCancelCmd `cmd:"" help:"Cancel all queued requests of a team."`
	Delete teamDeleteCmd `cmd:"" help:"Delete a team and its keys."`
}

type teamListCmd struct {
	operatorFlags `embed:""`
	JSON          bool `name:"json" help:"Print JSON."`
}

// Run prints one line per team.
func (c *teamListCmd) Run() error {
	v, err := callAdmin(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ConfigView, error) { return a.Config(ctx) })
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

// Run prints the team as JSON.
func (c *teamShowCmd) Run() error {
	return callAndPrint(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisconfig.Team, error) { return a.Team(ctx, c.Team) })
}

type teamPutCmd struct {
	changeFlags `embed:""`
	File        string `arg:"" help:"JSON file of the team, or - for standard input. Its Version must be the current version of the team, or 0 for a new team."`
	Force       bool   `help:"Replace the team regardless of its current version."`
}

// Run creates or replaces the team.
func (c *teamPutCmd) Run() error {
	var t ibisconfig.Team
	if err := readJSON(c.File, &t); err != nil {
		return err
	}
	basedOn := t.Version
	if c.Force {
		basedOn = ibisconfig.NoCondition
	}
	return callAndPrint(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		return a.PutTeam(ctx, c.ChangeID, basedOn, t)
	})
}

// updateTeam reads a team, applies change to it and writes it back. The daemon refuses the write if the team
// was changed meanwhile.
func (c changeFlags) updateTeam(team string, change func(*ibisconfig.Team)) error {
	return callAndPrint(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
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
	Share       float64 `arg:"" help:"Weight of the team when the fleet is full."`
}

// Run changes the share.
func (c *teamShareCmd) Run() error {
	return c.updateTeam(c.Team, func(t *ibisconfig.Team) { t.Share = c.Share })
}

type teamLimitCmd struct {
	changeFlags  `embed:""`
	Team         string `arg:"" help:"Name of the team."`
	MilliCPU     *int64 `name:"milli-cpu" help:"CPU, in thousandths of a core."`
	MemoryMB     *int64 `name:"memory-mb" help:"Memory, in MiB."`
	Accelerators *int64 `help:"Number of accelerators."`
	Slots        *int64 `help:"Number of slots."`
}

// Run changes the amounts that are given as flags and keeps the others.
func (c *teamLimitCmd) Run() error {
	return c.updateTeam(c.Team, func(t *ibisconfig.Team) { t.UpperLimit = c.apply(t.UpperLimit) })
}

// apply returns r with the amounts that are given as flags.
func (c *teamLimitCmd) apply(r ibiswork.Resources) ibiswork.Resources {
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

// Run cancels the queued requests of the team.
func (c *teamCancelCmd) Run() error {
	return callAndPrint(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		return a.CancelQueue(ctx, c.ChangeID, c.Team)
	})
}

type teamDeleteCmd struct {
	changeFlags `embed:""`
	Team        string `arg:"" help:"Name of the team."`
}

// Run reads the current version of the team and deletes it. The daemon refuses the deletion if the team was
// changed meanwhile.
func (c *teamDeleteCmd) Run() error {
	return callAndPrint(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ChangeReply, error) {
		t, err := a.Team(ctx, c.Team)
		if err != nil {
			return ibisadmin.ChangeReply{}, err
		}
		return a.DeleteTeam(ctx, c.ChangeID, t.Version, c.Team)
	})
}
