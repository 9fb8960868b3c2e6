package main

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/zeebo/errs"

	"ibiscrank/ibissettings"
	"ibiscrank/platform"
)

var errSettings = errs.New("the settings are not valid")

// checkCmd is the command check. It takes the settings of serve, which are JSON, and those of platform, which
// are YAML.
type checkCmd struct {
	File string `arg:"" help:"Settings file of a daemon, of serve or of platform."`
}

// Run prints ok, or every problem of the file on a line of its own.
func (c *checkCmd) Run() error { return c.run(os.Stdout) }

func (c *checkCmd) run(w io.Writer) error {
	err := load(c.File)
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

func load(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errs.Wrap(err)
	}
	if bytes.HasPrefix(bytes.TrimSpace(b), []byte("{")) {
		_, err = ibissettings.Load(path)
	} else {
		_, err = platform.Load(path)
	}
	return err
}
