package main

import (
	"os"

	"github.com/apex/log"

	"ibiscrank/ibislog"
	"ibiscrank/platform"
)

// platformCmd implements "ibiscrank platform", which runs a daemon as a service of the platform.
type platformCmd struct {
	Settings string `arg:"" optional:"" env:"IBISCRANK_CONFIG" help:"Settings file of the platform, in YAML."`
}

// Run serves until SIGTERM or SIGINT, then drains. It logs to standard output.
func (c *platformCmd) Run() error {
	s, err := platform.Load(c.Settings)
	if err != nil {
		return err
	}
	h, stop := ibislog.New(os.Stdout)
	defer stop()
	return platform.Run(s, &log.Logger{Handler: h, Level: log.InfoLevel})
}
