package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisclient"
	"ibiscrank/ibisconfig"
)

// configCmd is the command config.
type configCmd struct {
	Show  configShowCmd  `cmd:"" help:"Print the configuration without keys."`
	Audit configAuditCmd `cmd:"" help:"List the newest accepted changes."`
}

type configShowCmd struct {
	operatorFlags `embed:""`
}

// Run prints the configuration.
func (c *configShowCmd) Run() error {
	return call(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ConfigView, error) { return a.Config(ctx) })
}

type configAuditCmd struct {
	operatorFlags `embed:""`
	Limit         int  `help:"How many changes." default:"20"`
	JSON          bool `name:"json" help:"Print JSON with what was before and after."`
}

// Run prints the changes, the newest first.
func (c *configAuditCmd) Run() error {
	entries, err := within(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) ([]ibisconfig.AuditEntry, error) {
		return a.Audit(ctx, c.Limit)
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(entries)
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "VERSION\tAT\tOPERATOR\tACTION\tITEM\tCHANGE")
	for _, e := range entries {
		fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%s\t%s\n", e.Version, e.At.UTC().Format(time.RFC3339), e.Operator, e.Action, e.Item, e.Change)
	}
	return tw.Flush()
}
