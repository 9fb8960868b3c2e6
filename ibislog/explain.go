package ibislog

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("log")

const (
	maxLineBytes  = 1 << 20         // longest log line that is read
	contextBefore = 2 * time.Second // events up to this long before a request's first line may concern it
)

// Source is the log of one daemon. Name identifies it in the results of Explain.
type Source struct {
	Name string
	Log  io.Reader
}

// Line is one parsed line of a daemon's log.
type Line struct {
	Time   time.Time
	Source string
	Text   string            // the line from its Time= field on
	fields map[string]string // by key
}

// Explain returns the log lines that concern the request id, in order of time. These are the lines that name
// the request, its steps or its tasks, and, from two seconds before the first of these until the last, also
//   - lines about the backend servers that they name, which show how the daemons saw these servers,
//   - warnings and errors that name no backend server,
//   - changes of leadership and events that concern all requests.
//
// Lines that cannot be parsed are left out and counted in unparsed. Explain fails if a source cannot be read
// or has a line above 1 MiB.
func Explain(id string, sources ...Source) (lines []Line, unparsed int, _ error) {
	var matched, others []Line
	servers := make(map[string]bool)
	for _, s := range sources {
		scanner := bufio.NewScanner(s.Log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l, ok := parse(scanner.Text())
			if !ok {
				if len(scanner.Bytes()) > 0 {
					unparsed++
				}
				continue
			}
			l.Source = s.Name
			switch {
			case l.belongsTo(id):
				matched = append(matched, l)
				if server := l.fields["Server"]; server != "" {
					servers[server] = true
				}
			case l.fields["Job"] == "" && l.fields["Step"] == "":
				others = append(others, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, unparsed, Error.New("read log %s: %w", s.Name, err)
		}
	}
	if len(matched) == 0 {
		return nil, unparsed, nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(matched, byTime)
	from, to := matched[0].Time.Add(-contextBefore), matched[len(matched)-1].Time
	for _, l := range others {
		if !l.Time.Before(from) && !l.Time.After(to) && l.isRelevantTo(servers) {
			matched = append(matched, l)
		}
	}
	slices.SortStableFunc(matched, byTime)
	return matched, unparsed, nil
}

// parse parses one log line. It skips any text before the Time= field, which a log collector may have added.
func parse(s string) (Line, bool) {
	start := strings.Index(s, "Time=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Text: s[start:], fields: make(map[string]string)}
	d := logfmt.NewDecoder(strings.NewReader(l.Text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.fields[string(d.Key())] = string(d.Value())
		}
	}
	t, err := time.Parse(time.RFC3339, l.fields["Time"])
	if d.Err() != nil || err != nil {
		return Line{}, false
	}
	l.Time = t
	return l, true
}

// belongsTo reports whether l names the request id or one of its steps or tasks, whose IDs begin with the ID of
// the request and a dot.
func (l Line) belongsTo(id string) bool {
	for _, f := range []string{"Job", "Step", "Task", "Request"} {
		if v := l.fields[f]; v == id || strings.HasPrefix(v, id+".") {
			return true
		}
	}
	return false
}

// cellEvents concern all requests: changes of leadership, and the recovery and load of the cell, the set of
// backend servers that one leader schedules.
var cellEvents = []string{"LeadTaken", "LeadEnded", "LeadHandedOver", "CellRecovered", "CellLoad"}

// isRelevantTo reports whether l, which names no request, may concern a request whose lines name the given
// backend servers.
func (l Line) isRelevantTo(servers map[string]bool) bool {
	if server := l.fields["Server"]; server != "" {
		return servers[server]
	}
	level := l.fields["Level"]
	return level == "warn" || level == "error" || slices.Contains(cellEvents, l.fields["Event"])
}
