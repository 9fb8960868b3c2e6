package main

import (
	"fmt"
	"io"
	"os"

	"github.com/zeebo/errs"

	"ibiscrank/ibissettings"
)

var errSettings = errs.New("the settings are not valid")

// checkCmd is the command check.
type checkCmd struct {
	File string `arg:"" help:"Settings file of a daemon."`
}

// Run prints ok, or every problem of the file on a line of its own.
func (c *checkCmd) Run() error { return c.run(os.Stdout) }

func (c *checkCmd) run(w io.Writer) error {
	_, err := ibissettings.Load(c.File)
	if err == nil {
		fmt.Fprintln(w, "ok")
		return nil
	}
	problems := ibissettings.ProblemsOf(err)
	if problems == nil {
		return err
	}
	for _, p := range problems {
		fmt.Fprintln(w, p)
	}
	return errSettings
}
