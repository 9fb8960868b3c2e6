package main

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"ibiscrank/ibisload"
)

// loadCmd implements "ibiscrank load".
type loadCmd struct {
	Daemon    []string      `help:"Address of a daemon; repeat it to give several." default:"127.0.0.1:8080" placeholder:"IP:PORT"`
	Mix       string        `help:"Built-in mix of requests: mandacaru, short or tuul." default:"tuul"`
	MixFile   string        `help:"JSON file with a mix of requests, used instead of a built-in one." type:"existingfile"`
	Team      []string      `help:"Team with its key and its weight in the arrivals; repeat it to give several." placeholder:"NAME=KEY[=WEIGHT]" sep:"none"`
	Queue     []string      `help:"Open queue with its weight in the arrivals; repeat it to give several." placeholder:"NAME[=WEIGHT]" sep:"none"`
	Rate      float64       `help:"Mean number of arrivals per second." default:"50"`
	Duration  time.Duration `help:"Time during which requests arrive." default:"10s"`
	Grace     time.Duration `help:"Time after the last arrival until an accepted request without an outcome counts as lost." default:"30s"`
	Seed      uint64        `help:"Random seed of the arrivals." default:"1"`
	Repeat    float64       `help:"Fraction of the durable requests that are submitted twice concurrently, from 0 to 1." default:"0.02"`
	TimeScale float64       `help:"Factor on all run times." default:"1"`
	Attempts  int           `help:"Maximum number of HTTP requests for one call." default:"20"`
	History   []string      `help:"URL of a history of backend servers to verify the outcomes against; repeat it to give several." placeholder:"URL"`
	JSON      bool          `name:"json" help:"Print the report as JSON."`
	Report    string        `help:"File to which the report is also written as JSON." type:"path"`
	Records   string        `help:"File to which the outcome of each request is written, one JSON object per line." type:"path"`
}

// Run generates the load and prints the report. It returns an error if a request was lost, had a wrong result
// or two different answers, or was run against the guarantees of the scheduler.
func (c *loadCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	opts, err := c.options()
	if err != nil {
		return err
	}
	report, err := ibisload.Run(ctx, opts)
	if err != nil {
		return err
	}
	if err := c.verify(&report); err != nil {
		return err
	}
	if err := c.writeRecords(report.Records); err != nil {
		return err
	}
	if err := c.writeReport(report); err != nil {
		return err
	}
	if !c.JSON {
		report.WriteTable(os.Stdout)
	} else if err := printJSON(report); err != nil {
		return err
	}
	return report.Err()
}

// writeReport writes the report as JSON to the file of --report, if one is given.
func (c *loadCmd) writeReport(r ibisload.Report) error {
	if c.Report == "" {
		return nil
	}
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errs.Wrap(err)
	}
	return errs.Wrap(os.WriteFile(c.Report, b, 0o644))
}

func (c *loadCmd) options() (ibisload.Options, error) {
	mix, err := c.mix()
	if err != nil {
		return ibisload.Options{}, err
	}
	teams, err := c.teams()
	if err != nil {
		return ibisload.Options{}, err
	}
	return ibisload.Options{
		Daemons:        c.Daemon,
		Teams:          teams,
		Mix:            mix,
		Rate:           c.Rate,
		Duration:       c.Duration,
		Seed:           c.Seed,
		Grace:          c.Grace,
		RepeatFraction: c.Repeat,
		TimeScale:      c.TimeScale,
		Attempts:       c.Attempts,
	}, nil
}

func (c *loadCmd) mix() (ibisload.Mix, error) {
	if c.MixFile == "" {
		return ibisload.NamedMix(c.Mix)
	}
	b, err := os.ReadFile(c.MixFile)
	if err != nil {
		return ibisload.Mix{}, err
	}
	var m ibisload.Mix
	err = json.Unmarshal(b, &m)
	return m, err
}

// teams parses the flags --team and --queue.
func (c *loadCmd) teams() ([]ibisload.Team, error) {
	var teams []ibisload.Team
	for _, s := range c.Team {
		name, rest, ok := strings.Cut(s, "=")
		key, weight, _ := strings.Cut(rest, "=")
		if !ok || name == "" || key == "" {
			return nil, errs.New("--team: %q is not of the form NAME=KEY[=WEIGHT]", s)
		}
		w, err := parseWeight(weight)
		if err != nil {
			return nil, errs.New("--team %s: %v", name, err)
		}
		teams = append(teams, ibisload.Team{Name: name, Key: key, Weight: w})
	}
	for _, s := range c.Queue {
		name, weight, _ := strings.Cut(s, "=")
		w, err := parseWeight(weight)
		if err != nil {
			return nil, errs.New("--queue %s: %v", name, err)
		}
		teams = append(teams, ibisload.Team{Name: name, Queue: name, Weight: w})
	}
	return teams, nil
}

// parseWeight parses the weight of a team or queue, which is 1 by default.
func parseWeight(s string) (float64, error) {
	if s == "" {
		return 1, nil
	}
	w, err := strconv.ParseFloat(s, 64)
	if err != nil || !(w > 0) {
		return 0, errs.New("the weight %q is not a number above zero", s)
	}
	return w, nil
}

// verify checks the records against the histories of --history and adds the verdict to the report.
func (c *loadCmd) verify(report *ibisload.Report) error {
	if len(c.History) == 0 {
		return nil
	}
	const readTimeout = 30 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	history, err := ibisload.ReadHistory(ctx, c.History...)
	if err != nil {
		return err
	}
	verdict := ibisload.Verify(report.Records, history)
	report.Verdict = &verdict
	return nil
}

func (c *loadCmd) writeRecords(records []ibisload.Record) error {
	if c.Records == "" {
		return nil
	}
	f, err := os.Create(c.Records)
	if err != nil {
		return err
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	for _, rec := range records {
		if err := enc.Encode(rec); err != nil {
			return err
		}
	}
	return w.Flush()
}
