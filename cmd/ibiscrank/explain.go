package main

import (
	"fmt"
	"io"
	"os"

	"github.com/zeebo/errs"

	"ibiscrank/ibislog"
)

// explainCmd is the command explain.
type explainCmd struct {
	ID   string   `arg:"" help:"The request's ID."`
	Logs []string `arg:"" type:"existingfile" help:"Log files, one or more of each daemon."`
}

// Run prints the lines that bear on the request, each after the name of its file.
func (c *explainCmd) Run() error { return c.run(os.Stdout) }

func (c *explainCmd) run(w io.Writer) error {
	sources := make([]ibislog.Source, 0, len(c.Logs))
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return errs.Wrap(err)
		}
		defer f.Close()
		sources = append(sources, ibislog.Source{Name: path, Log: f})
	}
	lines, unread, err := ibislog.Explain(c.ID, sources...)
	if err != nil {
		return err
	}
	for _, l := range lines {
		fmt.Fprintln(w, l.Source+": "+l.Text)
	}
	if unread > 0 {
		fmt.Fprintf(w, "%d lines could not be read\n", unread)
	}
	if len(lines) == 0 {
		return errs.New("no line of %d files tells of %s", len(c.Logs), c.ID)
	}
	return nil
}
