// Command standin plays the cases of the review that are scripts: it starts daemons with the command of the deploy file,
// stands in for the platform's store, the workers and the clients, brings the case's disruption about, and checks the rule.
// It uses addresses of loopback only.
//
//	standin CASE FOLDER
//
// It writes record.txt into FOLDER and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
// With TROUBLE=0 it leaves the disruption out.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	serviceName = "panel-svc"
	queueHost   = "panel.example"
	queuePrefix = "/coil/"
	teamKey     = "key-of-tenant-a"
	otherKey    = "key-of-tenant-b"

	daemonCount = 7
	workerCount = 48
	playLimit   = 112 * time.Second // a script may run for 120 s
)

// errNotRun says that a case couldn't run.
var errNotRun = errors.New("the case couldn't run")

var zones = [...]string{"ub-bayangol", "ub-khanuul", "ub-sukhbaatar"}

// fixture is a small deployment.
type fixture struct {
	rec     *recorder
	store   *store
	daemons []*daemon
	workers []*worker
	late    lateOrders
	proxies bool // before the workers
	trouble bool
	began   time.Time
}

// A test plays one case. It returns what broke the rule, or "".
type test func(*fixture) (broken string, err error)

var tests = map[string]test{
	"lasting-crash":  lastingCrash,
	"lasting-aside":  lastingAside,
	"cancel-unknown": cancelUnknown,
	"cancel-frozen":  cancelBeforeSubmit,
	"lasting-gang":   lastingGang,
	"late-order":     lateOrder,
	"gone-leader":    goneThenLeader,
}

func main() {
	if len(os.Args) != 3 || tests[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec, err := newRecorder(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	settings, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(settings) }()
	f := &fixture{rec: rec, trouble: os.Getenv("TROUBLE") != "0", proxies: name == "late-order", began: time.Now()}
	defer func() {
		for _, d := range f.daemons {
			d.kill()
		}
	}()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		if err := f.setUp(settings); err != nil {
			done <- result{err: err}
			return
		}
		broken, err := tests[name](f)
		done <- result{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	var res result
	select {
	case res = <-done:
	case <-stopped:
		res.err = errors.New("stopped by a signal")
	case <-time.After(playLimit):
		res.err = errors.New("out of time")
	}
	switch {
	case res.err != nil:
		rec.add("check", name, "not run", res.err.Error())
		fmt.Println("not run:", res.err)
		return 2
	case res.broken != "":
		rec.add("check", name, "BROKEN", res.broken)
		fmt.Println("broken:", res.broken)
		return 1
	}
	rec.add("check", name, "held", "")
	fmt.Println("held")
	return 0
}

// setUp starts the store, the workers and the daemons, and waits until all daemons are ready.
func (f *fixture) setUp(folder string) error {
	var err error
	if f.store, err = newStore(); err != nil {
		return err
	}
	f.configure()
	for n := range workerCount {
		w, err := newWorker(fmt.Sprintf("i-%010d", n), zones[n%len(zones)], fmt.Sprintf("r%d", n/8), f.store, f.rec)
		if err != nil {
			return err
		}
		if f.proxies {
			if err := w.putProxy(&f.late); err != nil {
				return err
			}
		}
		f.workers = append(f.workers, w)
	}
	command, err := deployedCommand()
	if err != nil {
		return err
	}
	for n := range daemonCount {
		d, err := f.startDaemon(folder, n, command)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
	}
	for n, d := range f.daemons {
		for tries := 0; !await(10*time.Second, func() bool { return d.isReady() || d.ended() }) || d.ended(); tries++ {
			if tries == 3 {
				return fmt.Errorf("%w: daemon %s isn't ready", errNotRun, d.name)
			}
			if !d.ended() {
				continue
			}
			// Another program may have taken one of its ports.
			if d, err = f.startDaemon(folder, n, command); err != nil {
				return err
			}
			f.daemons[n] = d
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// startDaemon starts the daemon with a number, at free ports.
func (f *fixture) startDaemon(folder string, n int, command []string) (*daemon, error) {
	zone := zones[n%len(zones)]
	d, err := newDaemon(folder, fmt.Sprintf("edge-%s-%d", zone, n), zone, f.store.address, f.store.address, command, f.rec)
	if err != nil {
		return nil, err
	}
	return d, d.start()
}

// configure writes the first configuration.
func (f *fixture) configure() {
	f.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-coil", "host": queueHost, "pathPrefix": queuePrefix, "service": serviceName, "priority": 1, "maxAttempts": 4,
			"slackFactor": 4.0, "objectiveMs": 3000, "timeoutMs": 3000,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/healthz", "admissionCheck": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
		"tenants": []map[string]any{
			{"name": "tenant-a", "keys": []string{teamKey}, "weight": 50, "cap": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0}},
			{"name": "tenant-b", "keys": []string{otherKey}, "weight": 50, "cap": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0}},
		},
	})
}

// await waits until ok holds.
func await(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// leader returns the daemon that leads, or nil.
func (f *fixture) leader() *daemon {
	var latest *daemon
	for _, d := range f.daemons {
		d.mu.Lock()
		if d.leads && (latest == nil || d.ledAt.After(latest.ledAt)) {
			latest = d
		}
		d.mu.Unlock()
	}
	return latest
}

// workerOf returns the worker that runs a task, or nil.
func (f *fixture) workerOf(task string) *worker {
	for _, w := range f.workers {
		if w.runsTask(task) {
			return w
		}
	}
	return nil
}

// answer is the answer to a client's call.
type answer struct {
	status int // 0: none
	state  string
	at     time.Time
}

// call makes one call of a client over a channel of its own.
func (f *fixture) call(d *daemon, method, id, key string, body any) answer {
	return f.callFor(3*time.Second, d, method, id, key, body)
}

// callFor makes one call of a client that leaves after a time.
func (f *fixture) callFor(limit time.Duration, d *daemon, method, id, key string, body any) answer {
	var b bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&b).Encode(body); err != nil {
			panic(err) // the bodies are this program's own
		}
	}
	req, err := http.NewRequest(method, "http://"+d.frontend+queuePrefix+id, &b)
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Api-Key", key)
	req.Header.Set("Ibiscrank-Deadline-Ms", "3000")
	f.rec.add("client", d.name, method+" sent", id)
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	var a answer
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var out struct {
			State string `json:"state"`
		}
		_ = json.NewDecoder(resp.Body).Decode(&out) // most answers have no body
		a.status, a.state = resp.StatusCode, out.State
	}
	a.at = time.Now()
	f.rec.add("client", d.name, method+" answered", fmt.Sprintf("%s: %d %s", id, a.status, a.state))
	return a
}

// submit hands a submission in until it is accepted.
func (f *fixture) submit(id, key string, body any) error {
	for n := range 10 {
		if a := f.call(f.daemons[n%len(f.daemons)], http.MethodPost, id, key, body); a.status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: %s was not accepted", errNotRun, id)
}

// step is a step of a submission on the wire.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	MemMB       int64 `json:"memMb"`
	EstimateMS  int64 `json:"estimateMs,omitempty"`
	DependsOn   []int `json:"dependsOn,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	PerWorker   int   `json:"antiAffinity,omitempty"`
}

func submission(spec string, steps ...step) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}
