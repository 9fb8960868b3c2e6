package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	frozenFor = 3 * time.Second        // of a machine of the system
	patience  = 900 * time.Millisecond // of a client that leaves before its time budget
)

// cancelBeforeSubmit freezes a daemon that doesn't lead. A client hands a submission in there, gets no answer, leaves, and
// cancels the submission at another daemon.
func cancelBeforeSubmit(f *fixture) (string, error) {
	const id = "00000000000000d1"
	lead := f.leader()
	if lead == nil {
		return "", fmt.Errorf("%w: no daemon leads", errNotRun)
	}
	frozen := f.calm(lead, nil)
	other := f.calm(lead, frozen)
	job := submission("done 4000", step{Count: 1, CPU: 2000, MemMB: 2000, EstimateMS: 4000}, step{Count: 1, CPU: 2000, MemMB: 2000, EstimateMS: 4000, DependsOn: []int{0}})
	if f.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	woken := time.After(frozenFor)
	f.callFor(patience, frozen, http.MethodPost, id, teamKey, job)
	ack := f.cancel(id, other)
	<-woken
	if f.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	if ack.status == 0 {
		return "", fmt.Errorf("%w: the cancelling was not acknowledged", errNotRun)
	}
	time.Sleep(cancelBound + 6*time.Second)
	f.call(other, http.MethodGet, id, teamKey, nil)
	return strings.Join(f.startedLate(id, ack), "; "), nil
}

// lastingGang lets the tasks of a gang that lasts end.
func lastingGang(f *fixture) (string, error) {
	const id = "00000000000000e1"
	spec := "lasts"
	if f.trouble {
		spec = "done 3000"
	}
	job := submission(spec, step{Count: 4, CPU: 2000, MemMB: 2000, EstimateMS: 60_000, LongRunning: true, Gang: true})
	if err := f.submit(id, teamKey, job); err != nil {
		return "", err
	}
	time.Sleep(3*time.Second + lastingBound + 4*time.Second)
	return f.lasting(id, id+".0.0.0")
}

// lateOrder leaves the first start order of a task unanswered and carries it out later; meanwhile the worker crashes and starts
// again under its id.
func lateOrder(f *fixture) (string, error) {
	const small, id = "0000000000000101", "0000000000000102"
	task := id + ".0.0.0"
	// The task takes a whole worker. Small tasks are on the first ones for a while, so that it gets another one.
	if err := f.submit(small, teamKey, submission("done 2500", step{Count: 5, CPU: 1000, MemMB: 100, EstimateMS: 2500, PerWorker: 1})); err != nil {
		return "", err
	}
	if f.trouble {
		f.late.set(task, 7*time.Second)
	}
	if err := f.submit(id, teamKey, submission("done 20000", step{Count: 1, CPU: workerCPU, MemMB: 2000, EstimateMS: 20_000})); err != nil {
		return "", err
	}
	var w *worker
	if !await(10*time.Second, func() bool { w = f.workerOf(task); return w != nil }) {
		return "", fmt.Errorf("%w: %s never ran", errNotRun, task)
	}
	if f.trouble {
		time.Sleep(time.Second)
		w.crash()
		time.Sleep(time.Second)
		if err := w.restart(); err != nil {
			return "", err
		}
	}
	time.Sleep(15 * time.Second)
	return f.rec.doubled(task), nil
}

// goneThenLeader loses the worker of a task for good, and the leader a little later.
func goneThenLeader(f *fixture) (string, error) {
	const id = "0000000000000201"
	task := id + ".0.0.0"
	if err := f.submit(id, teamKey, submission("lasts", step{Count: 1, CPU: 2000, MemMB: 2000, EstimateMS: 60_000, LongRunning: true})); err != nil {
		return "", err
	}
	var w *worker
	if !await(10*time.Second, func() bool { w = f.workerOf(task); return w != nil }) {
		return "", fmt.Errorf("%w: %s never ran", errNotRun, task)
	}
	lead := f.leader()
	if lead == nil {
		return "", fmt.Errorf("%w: no daemon leads", errNotRun)
	}
	time.Sleep(5 * time.Second)
	if f.trouble {
		w.crash()
		time.Sleep(1300 * time.Millisecond)
		lead.signal(syscall.SIGKILL)
		<-lead.exited
		time.Sleep(3500 * time.Millisecond)
		if err := lead.start(); err != nil {
			return "", err
		}
	}
	time.Sleep(20 * time.Second)
	return f.lasting(id, task)
}
