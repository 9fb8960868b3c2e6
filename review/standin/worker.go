package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment that concern workers.
const (
	workerHeartbeat = 1500 * time.Millisecond
	entryLifetime   = 3 * workerHeartbeat // of the entry of a silent worker
	holdMaxMS       = 10_000
	workerCPU       = 16_000 // thousandths of a core
	workerMemMB     = 65_536
)

// worker is a stand-in of one worker. A task does what its submission's spec says, see behaviour.
type worker struct {
	id, rack, zone string
	address        string // at which it listens
	registered     string // at which it says that it listens: there, or at a proxy
	store          *store
	rec            *recorder

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	up       bool
	began    time.Time
	born     int64
	seq      int64
	runs     map[string]*workerRun
	ended    []workerEnd
	lastEnd  int64
	closed   map[string]int64 // by task: highest run that was stopped or has ended
	fence    int64
	leaseEnd int64
	changed  chan struct{} // closed and replaced when a run ends
	gone     chan struct{} // closed when this boot ends
}

type workerRun struct {
	task  string
	run   int64
	timer *time.Timer
}

type workerEnd struct {
	n    int64
	task string
	run  int64
	how  string
}

func newWorker(id, zone, rack string, s *store, rec *recorder) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, zone: zone, rack: rack, address: l.Addr().String(), registered: l.Addr().String(), store: s, rec: rec}
	w.boot(l)
	return w, nil
}

// boot begins a life of the worker.
func (w *worker) boot(l net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up, w.began, w.born, w.seq, w.listener = true, time.Now(), time.Now().UnixMilli(), 0, l
	w.runs, w.closed, w.ended, w.lastEnd, w.fence, w.leaseEnd = make(map[string]*workerRun), make(map[string]int64), nil, 0, 0, 0
	w.changed, w.gone, w.conns = make(chan struct{}), make(chan struct{}), make(map[net.Conn]bool)
	born, conns := w.born, w.conns
	mux := http.NewServeMux()
	for path, handle := range map[string]func(http.ResponseWriter, *http.Request, *order){"run-start": w.start, "run-stop": w.stop, "hold": w.hold} {
		mux.HandleFunc("POST /v1/"+path, func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, born, handle) })
	}
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	srv := &http.Server{Handler: mux, ConnState: func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch state {
		case http.StateNew:
			conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(conns, c)
		}
	}}
	go func() { _ = srv.Serve(l) }() // ends when the listener is closed
	go w.beat(w.gone)
	go w.watchLease(w.gone)
}

// crash ends the worker's process, as a kill does: its channels are closed, and it sends nothing.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	close(w.gone)
	for _, r := range w.runs {
		r.timer.Stop()
		w.rec.add("worker", w.id, "run ends", fmt.Sprintf("%s run %d: the worker has crashed", r.task, r.run))
		w.rec.runEnded(r.task, r.run, "crashed")
	}
	w.runs = make(map[string]*workerRun)
	w.listener.Close()
	for c := range w.conns {
		_ = c.Close() // it may be closed
	}
	w.rec.add("worker", w.id, "crashes", "")
	born := w.born
	time.AfterFunc(entryLifetime, func() { // of the registration, unless the worker is back
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up && w.born == born {
			w.store.remove("servers", w.id)
		}
	})
}

// restart starts the worker again, at the address that it had.
func (w *worker) restart() error {
	var err error
	for range 50 {
		var l net.Listener
		if l, err = net.Listen("tcp", w.address); err == nil {
			w.boot(l)
			w.rec.add("worker", w.id, "starts again", "")
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

func (w *worker) beat(gone chan struct{}) {
	for {
		w.mu.Lock()
		if w.up {
			w.seq++
			w.store.put("servers", w.id, map[string]any{
				"service": serviceName, "address": w.registered, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
				"seq": w.seq, "born": w.born, "capacity": map[string]int64{"cpu": workerCPU, "memMb": workerMemMB, "gpu": 0}, "labels": []string{"a", w.rack},
			})
		}
		w.mu.Unlock()
		select {
		case <-gone:
			return
		case <-time.After(workerHeartbeat):
		}
	}
}

// watchLease kills everything when the lease has expired.
func (w *worker) watchLease(gone chan struct{}) {
	for {
		select {
		case <-gone:
			return
		case <-time.After(20 * time.Millisecond):
		}
		w.mu.Lock()
		if w.clock() > w.leaseEnd {
			for _, r := range w.runs {
				w.end(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// clock is the worker's steady clock. The caller holds w.mu.
func (w *worker) clock() int64 { return 1000 + time.Since(w.began).Milliseconds() }

// order is the body of any order.
type order struct {
	Task         string `json:"task"`
	RunID        int64  `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

// serve decodes an order and checks its instance and fence number. It calls handle with w.mu locked.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request, born int64, handle func(http.ResponseWriter, *http.Request, *order)) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.born != born {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Ibiscrank-Expected-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.FencingToken < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = o.FencingToken
	w.leaseEnd = max(w.leaseEnd, min(o.DeadlineMS, w.clock()+holdMaxMS))
	handle(rw, r, &o)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

// behaviour returns how long a task runs and how it ends: its spec is "done MS", "failed MS", or "lasts", which ends only
// when it is stopped.
func (w *worker) behaviour(o *order) (time.Duration, string) {
	how, ms, _ := strings.Cut(o.Spec, " ")
	n, err := strconv.Atoi(ms)
	if err != nil {
		return 24 * time.Hour, "done"
	}
	return time.Duration(n) * time.Millisecond, how
}

func (w *worker) start(rw http.ResponseWriter, _ *http.Request, o *order) {
	if r := w.runs[o.Task]; r != nil && r.run == o.RunID {
		writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
		return
	}
	switch {
	case o.RunID <= w.closed[o.Task] || w.runs[o.Task] != nil:
		w.refuse(rw, "old")
		return
	case o.DeadlineMS <= w.clock():
		w.refuse(rw, "late")
		return
	}
	r := &workerRun{task: o.Task, run: o.RunID}
	w.runs[o.Task] = r
	after, how := w.behaviour(o)
	r.timer = time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[o.Task] == r {
			w.end(r, how)
		}
	})
	w.rec.add("worker", w.id, "run starts", fmt.Sprintf("%s run %d, fence number %d", o.Task, o.RunID, o.FencingToken))
	w.rec.runStarted(o.Task, o.RunID)
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

// end ends a run. The caller holds w.mu.
func (w *worker) end(r *workerRun, how string) {
	r.timer.Stop()
	delete(w.runs, r.task)
	w.closed[r.task] = max(w.closed[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, workerEnd{n: w.lastEnd, task: r.task, run: r.run, how: how})
	w.rec.add("worker", w.id, "run ends", fmt.Sprintf("%s run %d: %s", r.task, r.run, how))
	w.rec.runEnded(r.task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// failTask ends the run of a task here as failed and reports whether there is one.
func (w *worker) failTask(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[task]
	if r == nil {
		return false
	}
	w.end(r, "failed")
	return true
}

// runsTask reports whether a task runs here.
func (w *worker) runsTask(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up && w.runs[task] != nil
}

func (w *worker) stop(rw http.ResponseWriter, _ *http.Request, o *order) {
	w.closed[o.Task] = max(w.closed[o.Task], o.RunID)
	if r := w.runs[o.Task]; r != nil && r.run <= o.RunID {
		w.end(r, "stopped")
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.n > o.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	if len(w.ended) == 0 && o.WaitMS > 0 {
		changed, gone := w.changed, w.gone
		w.mu.Unlock()
		select {
		case <-changed:
		case <-gone:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		select {
		case <-gone:
			panic(http.ErrAbortHandler)
		default:
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.run, "", 100, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), storeMaxRows)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born, "running": running, "finished": finished})
}
