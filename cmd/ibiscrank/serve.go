package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"ibiscrank/ibisdaemon"
	"ibiscrank/ibissettings"
)

// serveCmd implements "ibiscrank serve".
type serveCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file of the daemon, in JSON."`
}

// Run runs the daemon until SIGTERM or SIGINT, then drains it. It logs to standard error.
func (c *serveCmd) Run() error {
	s, err := ibissettings.Load(c.Settings)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	log.SetLevel(level)
	log.SetHandler(logfmt.New(os.Stderr))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return ibisdaemon.Run(ctx, s)
}
