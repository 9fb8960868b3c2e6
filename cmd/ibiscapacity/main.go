// Command ibiscapacity measures what daemons cost as the system grows, and prints a line fitted through
// each value, with the error of the fit. It ends by itself.
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
	Bin          string   `help:"Directory of the programs." default:"bin" type:"existingdir"`
	Measurements []string `arg:"" optional:"" help:"servers, tasks, teams, daemons, starts or failures; all when none is given."`
}

// Run takes the measurements.
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
