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
	maxLine   = 1 << 20         // bytes of a line that is read
	beforeJob = 2 * time.Second // of a request's first line, from which changes of belief may matter to it
)

// Source is the log of one daemon.
type Source struct {
	Name string
	Log  io.Reader
}

// Line is one line of a daemon's log.
type Line struct {
	Time   time.Time
	Source string
	Text   string // from Time= on
	fields map[string]string
}

// Explain collects what the logs tell of one request, in order of time: its own lines, those that say what was
// believed of the backend servers that it met, and changes of the lead and warnings from shortly before it to
// its end. Lines that cannot be read are counted.
func Explain(id string, sources ...Source) (lines []Line, unread int, _ error) {
	var own, others []Line
	servers := make(map[string]bool)
	for _, s := range sources {
		scanner := bufio.NewScanner(s.Log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			l, ok := parse(scanner.Text())
			if !ok {
				if len(scanner.Bytes()) > 0 {
					unread++
				}
				continue
			}
			l.Source = s.Name
			switch {
			case l.tellsOf(id):
				own = append(own, l)
				if server := l.fields["Server"]; server != "" {
					servers[server] = true
				}
			case l.fields["Job"] == "" && l.fields["Step"] == "":
				others = append(others, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, unread, Error.New("%s: %w", s.Name, err)
		}
	}
	if len(own) == 0 {
		return nil, unread, nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Time.Add(-beforeJob), own[len(own)-1].Time
	for _, l := range others {
		if !l.Time.Before(from) && !l.Time.After(to) && l.bearsOn(servers) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own, unread, nil
}

// parse reads a line. What stands before its time, as a collector may put it there, is left out.
func parse(s string) (Line, bool) {
	at := strings.Index(s, "Time=")
	if at < 0 {
		return Line{}, false
	}
	l := Line{Text: s[at:], fields: make(map[string]string)}
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

// tellsOf reports whether l names the request, or a step or task of it.
func (l Line) tellsOf(id string) bool {
	for _, f := range []string{"Job", "Step", "Task", "Request"} {
		if v := l.fields[f]; v == id || strings.HasPrefix(v, id+".") {
			return true
		}
	}
	return false
}

// leadEvents tell who decides about all requests, and how full the cell is.
var leadEvents = []string{"LeadTaken", "LeadEnded", "LeadHandedOver", "CellRecovered", "CellLoad"}

// bearsOn reports whether l, which names no request, may matter to one that met the given backend servers.
func (l Line) bearsOn(servers map[string]bool) bool {
	if server := l.fields["Server"]; server != "" {
		return servers[server]
	}
	level := l.fields["Level"]
	return level == "warn" || level == "error" || slices.Contains(leadEvents, l.fields["Event"])
}
