package ibisload

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"

	"ibiscrank/ibisserver"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// Verdict lists the violations of execution guarantees that the history of the backend servers shows for a
// load.
type Verdict struct {
	Runs        int           `json:"Runs"`                  // number of task starts that belong to the load
	RunTwice    []ibiswork.ID `json:"RunTwice,omitempty"`    // not idempotent, and started more than once
	Overlapping []ibiswork.ID `json:"Overlapping,omitempty"` // one task had two runs at the same time
	FalseNotRun []ibiswork.ID `json:"FalseNotRun,omitempty"` // started although the refusal guaranteed that it was not
}

// taskKey identifies one task of a request across its attempts.
type taskKey struct {
	id    ibiswork.ID
	index int
}

// span is one run of a task in wall-clock nanoseconds. A zero end means that the history has no end of the
// run.
type span struct{ start, end int64 }

// Verify compares the records of a load with the history of all backend servers. Runs of requests that are not
// in the records are ignored.
func Verify(records []Record, history []ibisstandin.Entry) Verdict {
	byID := make(map[ibiswork.ID]Record, len(records))
	for _, rec := range records {
		byID[rec.ID] = rec
	}
	var v Verdict
	found := newFindings()
	for key, spans := range runsByTask(history) {
		rec, inLoad := byID[key.id]
		if !inLoad {
			continue
		}
		v.Runs += len(spans)
		if rec.NotRun {
			found.falseNotRun[key.id] = true
		}
		if len(spans) > 1 && !rec.Idempotent {
			found.runTwice[key.id] = true
		}
		if overlap(spans) {
			found.overlapping[key.id] = true
		}
	}
	v.RunTwice, v.Overlapping, v.FalseNotRun = sortedIDs(found.runTwice), sortedIDs(found.overlapping), sortedIDs(found.falseNotRun)
	return v
}

// findings collects the requests that violate a guarantee.
type findings struct{ runTwice, overlapping, falseNotRun map[ibiswork.ID]bool }

func newFindings() findings {
	return findings{map[ibiswork.ID]bool{}, map[ibiswork.ID]bool{}, map[ibiswork.ID]bool{}}
}

// runsByTask groups the runs by task, ordered by start time.
func runsByTask(history []ibisstandin.Entry) map[taskKey][]span {
	type runKey struct {
		server string
		task   ibisserver.TaskID
	}
	ends := make(map[runKey]int64)
	for _, e := range history {
		if e.Event == ibisstandin.End {
			ends[runKey{e.Server, e.TaskID}] = e.WallNS
		}
	}
	all := make(map[taskKey][]span)
	for _, e := range history {
		if e.Event != ibisstandin.Start {
			continue
		}
		key := taskKey{e.TaskID.Request, e.TaskID.Index}
		all[key] = append(all[key], span{e.WallNS, ends[runKey{e.Server, e.TaskID}]})
	}
	for _, spans := range all {
		sort.Slice(spans, func(i, j int) bool { return spans[i].start < spans[j].start })
	}
	return all
}

// overlap reports whether a run started before the previous one ended. A run without an end overlaps every
// later run.
func overlap(spans []span) bool {
	for i := 1; i < len(spans); i++ {
		if spans[i-1].end == 0 || spans[i].start < spans[i-1].end {
			return true
		}
	}
	return false
}

func sortedIDs(set map[ibiswork.ID]bool) []ibiswork.ID {
	var ids []ibiswork.ID
	for id := range set {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].Before(ids[j]) })
	return ids
}

// ReadHistory fetches and concatenates the run histories at the URLs. Each is served by a simulated backend
// server or by a whole fleet of them.
func ReadHistory(ctx context.Context, urls ...string) ([]ibisstandin.Entry, error) {
	var all []ibisstandin.Entry
	for _, url := range urls {
		entries, err := readHistory(ctx, url)
		if err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}

func readHistory(ctx context.Context, url string) ([]ibisstandin.Entry, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("history at %s: unexpected HTTP status %s", url, resp.Status)
	}
	var reply ibisstandin.HistoryReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return nil, Error.Wrap(err)
	}
	return reply.Entries, nil
}
