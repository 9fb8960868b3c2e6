package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// recorder keeps what was sent, answered and run, in the order of the events.
type recorder struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	starts map[string][]runRecord // by task
}

// runRecord is one run of a task as its worker saw it.
type runRecord struct {
	run        int64
	start, end time.Time // end is zero while it runs
	how        string
}

func newRecorder(folder string) (*recorder, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: f, starts: make(map[string][]runRecord)}, nil
}

// add records an event.
func (r *recorder) add(kind, who, what, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %-8s %-12s %-14s %s\n", time.Since(r.began).Seconds(), kind, who, what, detail)
}

func (r *recorder) runStarted(task string, run int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task] = append(r.starts[task], runRecord{run: run, start: time.Now()})
}

func (r *recorder) runEnded(task string, run int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.starts[task] {
		if rec := &r.starts[task][n]; rec.run == run && rec.end.IsZero() {
			rec.end, rec.how = time.Now(), how
			return
		}
	}
}

// runsOf returns the runs of a task so far.
func (r *recorder) runsOf(task string) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]runRecord(nil), r.starts[task]...)
}

// failedOf returns how many runs of a submission's tasks have ended as failed.
func (r *recorder) failedOf(id string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, runs := range r.starts {
		if !strings.HasPrefix(task, id+".") {
			continue
		}
		for _, rec := range runs {
			if rec.how == "failed" {
				n++
			}
		}
	}
	return n
}

// doubled returns a text about two runs of a task at the same time, or "".
func (r *recorder) doubled(task string) string {
	runs := r.runsOf(task)
	for n, a := range runs {
		for _, b := range runs[n+1:] {
			if a.end.IsZero() || a.end.After(b.start) {
				end := min(r.endOf(a), r.endOf(b))
				return fmt.Sprintf("TWICE: %s runs as run %d and as run %d from %.3f s to %.3f s", task, a.run, b.run, r.since(b.start), end)
			}
		}
	}
	return ""
}

// endOf returns the end of a run, which is now if it is still running.
func (r *recorder) endOf(rec runRecord) float64 {
	if rec.end.IsZero() {
		return r.since(time.Now())
	}
	return r.since(rec.end)
}

// absence returns the longest time for which a task had no run between its first start and now, and when that began.
func (r *recorder) absence(task string) (longest time.Duration, from time.Time) {
	runs := r.runsOf(task)
	for n, rec := range runs {
		if rec.end.IsZero() {
			break
		}
		until := time.Now()
		if n+1 < len(runs) {
			until = runs[n+1].start
		}
		if gap := until.Sub(rec.end); gap > longest {
			longest, from = gap, rec.end
		}
	}
	return longest, from
}

// since returns the time of an event as it is recorded.
func (r *recorder) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }
