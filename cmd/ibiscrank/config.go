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

// configCmd implements "ibiscrank config".
type configCmd struct {
	Show  configShowCmd  `cmd:"" help:"Print the configuration without keys."`
	Audit configAuditCmd `cmd:"" help:"List the latest accepted changes."`
}

type configShowCmd struct {
	operatorFlags `embed:""`
}

// Run prints the configuration as JSON.
func (c *configShowCmd) Run() error {
	return callAndPrint(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) (ibisadmin.ConfigView, error) { return a.Config(ctx) })
}

type configAuditCmd struct {
	operatorFlags `embed:""`
	Limit         int  `help:"Maximum number of changes to list." default:"20"`
	JSON          bool `name:"json" help:"Print JSON, with the state before and after each change."`
}

// Run prints the changes, newest first.
func (c *configAuditCmd) Run() error {
	entries, err := callAdmin(c.operatorFlags, func(ctx context.Context, a *ibisclient.Admin) ([]ibisconfig.AuditEntry, error) {
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
