// Command ibiscapacity measures how the resource usage of daemons grows with the size of the system. It
// starts daemons and a simulated platform on loopback, prints for each metric the line fitted to the
// measurements and the error of the fit, and exits.
//
// Usage:
//
//	ibiscapacity --bin bin servers teams
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/apex/log"

	"ibiscrank/ibiscapacity"
)

type cli struct {
	Bin          string   `help:"Directory of the programs ibiscrank and ibisstandin." default:"bin" type:"existingdir"`
	Measurements []string `arg:"" optional:"" help:"Measurements to run: servers, tasks, teams, daemons, starts or failures; all by default."`
}

// Run runs the selected measurements.
func (c *cli) Run() error {
	log.SetLevel(log.ErrorLevel)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ibiscapacity.Runner{Bin: c.Bin, Out: os.Stdout}.Run(ctx, c.Measurements...)
}

func main() {
	ctx := kong.Parse(new(cli), kong.Name("ibiscapacity"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
