package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// soak plays random single disruptions under a light load with cancels, steps that depend on each other and tasks that last.
func soak(f *fixture) (string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 1))
	type job struct {
		id             string
		steps          int
		tasks          int
		lasts          bool
		accepted, gone time.Time
	}
	var mu sync.Mutex
	var jobs []*job
	end := time.Now().Add(60 * time.Second)
	var wg sync.WaitGroup
	for c := range 10 {
		wg.Add(1)
		r := rand.New(rand.NewPCG(seed, uint64(100+c)))
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(end); n++ {
				j := &job{id: fmt.Sprintf("%08x%08x", c+1, n), steps: 1 + r.IntN(2), tasks: 1 + r.IntN(4), lasts: r.IntN(12) == 0}
				var steps []step
				spec := fmt.Sprintf("done %d", 50+r.IntN(1500))
				for s := range j.steps {
					st := step{Count: j.tasks, CPU: 1000 + int64(r.IntN(5000)), MemMB: 500, EstimateMS: 700}
					if s > 0 {
						st.DependsOn = []int{s - 1}
					}
					steps = append(steps, st)
				}
				if j.lasts {
					spec, j.steps = "lasts", 1
					steps = steps[:1]
					steps[0].LongRunning = true
				}
				for range 4 {
					a := f.call(f.daemons[r.IntN(len(f.daemons))], http.MethodPost, j.id, teamKey, submission(spec, steps...))
					if a.status == http.StatusOK {
						j.accepted = a.at
						break
					}
					time.Sleep(time.Duration(100+r.IntN(300)) * time.Millisecond)
				}
				if !j.accepted.IsZero() {
					mu.Lock()
					jobs = append(jobs, j)
					mu.Unlock()
					if r.IntN(3) == 0 || j.lasts {
						time.Sleep(time.Duration(700+r.IntN(1500)) * time.Millisecond)
						for range 8 {
							if a := f.call(f.daemons[r.IntN(len(f.daemons))], http.MethodDelete, j.id, teamKey, nil); a.status == http.StatusOK || a.status == http.StatusGone {
								mu.Lock()
								j.gone = a.at
								mu.Unlock()
								break
							}
							time.Sleep(200 * time.Millisecond)
						}
					}
				}
				time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
			}
		}()
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rnd.IntN(2500)) * time.Millisecond)
		d := f.daemons[rnd.IntN(len(f.daemons))]
		if lead := f.leader(); rnd.IntN(3) > 0 && lead != nil {
			d = lead
		}
		switch rnd.IntN(6) {
		case 0:
			d.signal(syscall.SIGKILL)
			<-d.exited
			time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
			if err := d.start(); err != nil {
				return "", err
			}
		case 1:
			d.signal(syscall.SIGTERM)
			<-d.exited
			if err := d.start(); err != nil {
				return "", err
			}
		case 2:
			d.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(300+rnd.IntN(3700)) * time.Millisecond)
			d.signal(syscall.SIGCONT)
		case 3, 4:
			w := f.workers[rnd.IntN(6)]
			w.crash()
			time.Sleep(time.Duration(200+rnd.IntN(3000)) * time.Millisecond)
			if err := w.restart(); err != nil {
				return "", err
			}
		case 5:
			mode := []string{"busy", "lost", "silent"}[rnd.IntN(3)]
			f.rec.add("trouble", "store", mode, "")
			f.store.setMode(mode)
			time.Sleep(time.Duration(300+rnd.IntN(3500)) * time.Millisecond)
			f.store.setMode("")
			f.rec.add("trouble", "store", "sound", "")
		}
	}
	wg.Wait()
	time.Sleep(20 * time.Second)
	var broken []string
	d := f.daemons[0]
	for _, j := range jobs {
		for s := range j.steps {
			for k := range j.tasks {
				task := fmt.Sprintf("%s.0.%d.%d", j.id, s, k)
				if t := f.rec.doubled(task); t != "" {
					broken = append(broken, t)
				}
				for n, r := range f.rec.runsOf(task) {
					if !j.gone.IsZero() && r.start.Sub(j.gone) > cancelBound {
						broken = append(broken, fmt.Sprintf("UNASKED: %s starts %.1f s after its cancelling", task, r.start.Sub(j.gone).Seconds()))
					}
					if n > 0 && f.rec.runsOf(task)[n-1].how == "done" && !j.lasts {
						broken = append(broken, "TWICE?: "+task+" starts after it was done (if that was taken note of)")
					}
				}
			}
		}
		a := f.call(d, http.MethodGet, j.id, teamKey, nil)
		switch {
		case j.gone.IsZero() && !j.lasts && a.state != "completed":
			broken = append(broken, fmt.Sprintf("LOST: %s is %d %s", j.id, a.status, a.state))
		case j.lasts && j.gone.IsZero() && a.state != "active":
			broken = append(broken, fmt.Sprintf("LOST: %s, which lasts, is %d %s", j.id, a.status, a.state))
		}
	}
	f.rec.add("check", "soak", "jobs", strconv.Itoa(len(jobs)))
	fmt.Println(len(jobs), "jobs")
	return strings.Join(broken, "\n"), nil
}
