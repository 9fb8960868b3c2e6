package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Bounds of RULES.md for a task that lasts: 6 s after its last run, and 3 s with capacity free.
const (
	lastingBound = 9 * time.Second
	downFor      = 3 * time.Second // of a worker that has crashed
)

// lastingCrash crashes the worker of a task that lasts, twice, one worker at a time. The task has to be restarted however it
// ends, and nobody cancels it.
func lastingCrash(f *fixture) (string, error) {
	const id = "00000000000000a1"
	task := id + ".0.0.0"
	if err := f.submit(id, teamKey, submission("lasts", step{Count: 1, CPU: 2000, MemMB: 2000, EstimateMS: 60_000, LongRunning: true})); err != nil {
		return "", err
	}
	for range 2 {
		var w *worker
		if !await(10*time.Second, func() bool { w = f.workerOf(task); return w != nil }) {
			return f.lasting(id, task)
		}
		time.Sleep(5 * time.Second) // it is at work
		if f.trouble {
			w.crash()
			time.Sleep(downFor)
			if err := w.restart(); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(lastingBound + 6*time.Second)
	return f.lasting(id, task)
}

// lasting checks a submission with a task that lasts, which nobody has cancelled.
func (f *fixture) lasting(id, task string) (string, error) {
	var broken []string
	if len(f.rec.runsOf(task)) == 0 {
		return "", fmt.Errorf("%w: %s never ran", errNotRun, task)
	}
	if gap, from := f.rec.absence(task); gap > lastingBound {
		broken = append(broken, fmt.Sprintf("LOST: %s, which lasts, had no run for %.1f s from %.3f s on", task, gap.Seconds(), f.rec.since(from)))
	}
	for _, d := range f.daemons[:3] {
		if a := f.call(d, http.MethodGet, id, teamKey, nil); a.state == "failed" || a.state == "canceled" || a.state == "completed" || a.status == http.StatusGone {
			failed := 0
			for _, r := range f.rec.runsOf(task) {
				if r.how == "failed" {
					failed++
				}
			}
			broken = append(broken, fmt.Sprintf("LOST: %s is shown as %q (%d) by %s after %d ends failed; nobody has cancelled it", id, a.state, a.status, d.name, failed))
		}
	}
	return strings.Join(broken, "; "), nil
}

// otherTasks is the number of tasks of the submission whose tasks fail: four for each worker.
const otherTasks = 4 * workerCount

// lastingAside lets one task of a submission that lasts fail once, while the tasks of another tenant's submission, which last
// too, fail again and again.
func lastingAside(f *fixture) (string, error) {
	const id, other = "00000000000000b1", "00000000000000b2"
	task := id + ".0.0.0"
	if err := f.submit(id, teamKey, submission("lasts", step{Count: 1, CPU: 2000, MemMB: 2000, EstimateMS: 60_000, LongRunning: true})); err != nil {
		return "", err
	}
	var w *worker
	if !await(10*time.Second, func() bool { w = f.workerOf(task); return w != nil }) {
		return "", fmt.Errorf("%w: %s never ran", errNotRun, task)
	}
	spec := "lasts"
	if f.trouble {
		spec = "failed 1000"
	}
	if err := f.submit(other, otherKey, submission(spec, step{Count: otherTasks, CPU: 3500, MemMB: 2000, EstimateMS: 60_000, LongRunning: true})); err != nil {
		return "", err
	}
	// The other tenant's tasks fail together: the second time, as soon as they have been restarted.
	if f.trouble && !await(30*time.Second, func() bool { return f.rec.failedOf(other) >= 2*otherTasks }) {
		return "", fmt.Errorf("%w: the tasks of %s were not restarted", errNotRun, other)
	}
	time.Sleep(700 * time.Millisecond)
	if w = f.workerOf(task); w == nil || !w.failTask(task) {
		return "", fmt.Errorf("%w: %s doesn't run", errNotRun, task)
	}
	time.Sleep(lastingBound + 6*time.Second)
	return f.lasting(id, task)
}

const cancelBound = 3 * time.Second // cancel_ms

// cancelUnknown stops the leader, as the platform stops machines in turn, and cancels a submission just after it was accepted.
func cancelUnknown(f *fixture) (string, error) {
	acks := make(map[string]answer)
	for round := 0; round < 40 && time.Since(f.began) < 75*time.Second; round++ {
		var lead *daemon
		if !await(10*time.Second, func() bool { lead = f.leader(); return lead != nil }) {
			return "", fmt.Errorf("%w: no daemon leads", errNotRun)
		}
		next := f.youngest(lead)
		time.Sleep(500*time.Millisecond + time.Duration(rand.IntN(500))*time.Millisecond)
		if f.trouble {
			lead.signal(syscall.SIGTERM)
			time.Sleep(5 * time.Millisecond)
		}
		id := fmt.Sprintf("%016x", 0xc000+round)
		job := submission("done 4000", step{Count: 1, CPU: 2000, MemMB: 2000, EstimateMS: 4000}, step{Count: 1, CPU: 2000, MemMB: 2000, EstimateMS: 4000, DependsOn: []int{0}})
		if a := f.call(next, http.MethodPost, id, teamKey, job); a.status == http.StatusOK {
			if a := f.cancel(id, f.calm(lead, next)); a.status != 0 {
				acks[id] = a
			}
		}
		if f.trouble {
			<-lead.exited
			if err := lead.start(); err != nil {
				return "", err
			}
			await(10*time.Second, lead.isReady)
		}
	}
	time.Sleep(cancelBound + 3*time.Second)
	var broken []string
	for id, a := range acks {
		broken = append(broken, f.startedLate(id, a)...)
	}
	slices.Sort(broken)
	return strings.Join(broken, "; "), nil
}

// startedLate returns which tasks of a submission of two steps have started too long after its cancelling was acknowledged.
func (f *fixture) startedLate(id string, ack answer) (broken []string) {
	for n := range 2 {
		task := fmt.Sprintf("%s.0.%d.0", id, n)
		for _, r := range f.rec.runsOf(task) {
			if late := r.start.Sub(ack.at); late > cancelBound {
				broken = append(broken, fmt.Sprintf("UNASKED: %s starts %.3f s after the cancelling of its submission was acknowledged with %d at %.3f s", task, late.Seconds(), ack.status, f.rec.since(ack.at)))
			}
		}
	}
	return broken
}

// cancel cancels a submission at a daemon until that is acknowledged, with 2xx or 410. Without that the status is 0.
func (f *fixture) cancel(id string, d *daemon) answer {
	for range 4 {
		if a := f.call(d, http.MethodDelete, id, teamKey, nil); a.status/100 == 2 || a.status == http.StatusGone {
			return a
		}
		time.Sleep(100 * time.Millisecond)
	}
	return answer{}
}

// calm returns a daemon that is neither of the given ones.
func (f *fixture) calm(a, b *daemon) *daemon {
	for _, d := range f.daemons {
		if d != a && d != b {
			return d
		}
	}
	return a
}

// youngest returns the daemon that was started last, the given one left out.
func (f *fixture) youngest(but *daemon) *daemon {
	var latest *daemon
	for _, d := range f.daemons {
		if d != but && (latest == nil || d.startedAt.After(latest.startedAt)) {
			latest = d
		}
	}
	return latest
}
