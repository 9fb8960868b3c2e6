package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisburn"
	"ibiscrank/ibisclient"
)

// reportCmd implements "ibiscrank report".
type reportCmd struct {
	operatorFlags `embed:""`
	JSON          bool `name:"json" help:"Print JSON."`
	Burn          bool `help:"Print only the burn rates, without the state of the fleet."`
}

// fullReport is the JSON output of the command. Overview is nil with --burn.
type fullReport struct {
	Burn     ibisburn.Report     `json:"Burn"`
	Overview *ibisadmin.Overview `json:"Overview,omitempty"`
}

// Run prints the report.
func (c *reportCmd) Run() error {
	r, err := callAdmin(c.operatorFlags, c.collect)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(r)
	}
	if r.Overview != nil {
		writeOverview(os.Stdout, *r.Overview)
	}
	return r.Burn.WriteTable(os.Stdout)
}

func (c *reportCmd) collect(ctx context.Context, a *ibisclient.Admin) (fullReport, error) {
	burn, err := a.Burn(ctx)
	if err != nil || c.Burn {
		return fullReport{Burn: burn}, err
	}
	o, err := a.Overview(ctx)
	return fullReport{Burn: burn, Overview: &o}, err
}

// writeOverview prints the alerts, the teams, the daemons and a summary of the backend servers and the store.
func writeOverview(w io.Writer, o ibisadmin.Overview) {
	for _, a := range o.Alerts {
		fmt.Fprintf(w, "%s: %s: %s\n  %s\n  Do: %s\n", a.Severity, a.Name, strings.Join(a.Subjects, ", "), a.Wrong, a.Do)
	}
	if len(o.Alerts) == 0 {
		fmt.Fprintln(w, "Nothing is wrong.")
	}
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "\nTEAM\tRUNNING\tQUEUED\tSHARE\tDESERVED\tLIMIT USED")
	for _, t := range o.Teams {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%.0f%%\t%.0f%%\t%.0f%%\n", t.Name, t.RunningTasks, t.Queued, 100*t.Share, 100*t.DeservedShare, 100*t.Running.Dominant(t.UpperLimit))
	}
	fmt.Fprintln(tw, "\nDAEMON\tADDRESS\tDOMAIN\tSTATE\tANSWERS\tCONFIG")
	for _, d := range o.Daemons {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%v\t%d\n", d.Incarnation, d.Address, d.FailureDomain, d.State, d.Answers, d.ConfigVersion)
	}
	tw.Flush()
	storeState := "The table service answers."
	if !o.Store.Reachable {
		storeState = "The table service does not answer."
	}
	setAside := 0
	for _, s := range o.Servers {
		if s.SetAside {
			setAside++
		}
	}
	fmt.Fprintf(w, "\n%d backend servers, %d set aside. %s\n\n", len(o.Servers), setAside, storeState)
}
