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

// checkCmd implements "ibiscrank check". It accepts the settings file of serve, which is JSON, and that of
// platform, which is YAML.
type checkCmd struct {
	File string `arg:"" help:"Settings file of 'serve' or of 'platform'."`
}

// Run prints "ok", or one line for each problem in the file.
func (c *checkCmd) Run() error { return c.run(os.Stdout) }

func (c *checkCmd) run(w io.Writer) error {
	err := validateFile(c.File)
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

// validateFile loads the settings file at path and discards the settings. A file that begins with "{" is read
// as the JSON settings of serve, any other as the YAML settings of platform.
func validateFile(path string) error {
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
