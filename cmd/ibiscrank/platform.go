package main

import (
	"os"

	"github.com/apex/log"

	"ibiscrank/ibislog"
	"ibiscrank/platform"
)

// platformCmd runs the daemon on the users' platform until it is told to end.
type platformCmd struct {
	Settings string `arg:"" optional:"" env:"IBISCRANK_CONFIG" help:"The platform's settings file."`
}

// Run runs the command.
func (c *platformCmd) Run() error {
	s, err := platform.Load(c.Settings)
	if err != nil {
		return err
	}
	h, stop := ibislog.New(os.Stdout)
	defer stop()
	return platform.Run(s, &log.Logger{Handler: h, Level: log.InfoLevel})
}
