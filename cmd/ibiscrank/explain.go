package main

import (
	"fmt"
	"io"
	"os"

	"github.com/zeebo/errs"

	"ibiscrank/ibislog"
)

// explainCmd implements "ibiscrank explain".
type explainCmd struct {
	ID   string   `arg:"" help:"ID of the request."`
	Logs []string `arg:"" type:"existingfile" help:"Log files of the daemons, one or more of each."`
}

// Run prints the log lines that are relevant to the request, each prefixed with the name of its file.
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
	lines, unparsed, err := ibislog.Explain(c.ID, sources...)
	if err != nil {
		return err
	}
	for _, l := range lines {
		fmt.Fprintln(w, l.Source+": "+l.Text)
	}
	if unparsed > 0 {
		fmt.Fprintf(w, "%d log lines could not be parsed\n", unparsed)
	}
	if len(lines) == 0 {
		return errs.New("no line in %d log files is about request %s", len(c.Logs), c.ID)
	}
	return nil
}
