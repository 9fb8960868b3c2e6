package ibisproof

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ibiscrank/ibisharness"
	"ibiscrank/ibisload"
	"ibiscrank/ibisserver"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

var (
	soakSeed    = flag.Uint64("soak.seed", 20261203, "seed of the random faults and of the load")
	soakMinutes = flag.Float64("soak.minutes", 0, "length of the random-fault run; zero runs a short one")
)

const (
	shortSoak = 25 * time.Second
	// soakKey is the key that AddTeam gives to the team of a proof.
	soakKey               = "key-of-team"
	soakRequestsPerSecond = 20
	// recoveryTime is the minimum time from the end of the last fault to the end of the run, within which the
	// cluster must recover.
	recoveryTime = 5 * time.Second
)

// fault is one scheduled fault. It is injected at start, measured from the start of the run, and undone after
// duration.
type fault struct {
	start    time.Duration
	duration time.Duration
	name     string
	inject   func(p *proof)
	undo     func(p *proof)
}

// schedule returns the random faults of a run. The same seed gives the same faults at the same times. Faults
// do not overlap, so that at most one daemon is down at a time, and all are undone recoveryTime before the
// end of the run.
func schedule(seed uint64, length time.Duration, daemons int, servers []string) []fault {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var faults []fault
	start := 3 * time.Second
	for {
		duration := time.Duration(1000+rnd.IntN(4000)) * time.Millisecond
		f := randomFault(rnd, rnd.IntN(daemons), servers[rnd.IntN(len(servers))])
		if start+duration+recoveryTime > length {
			return faults
		}
		f.start, f.duration = start, duration
		faults = append(faults, f)
		start += duration + time.Duration(rnd.IntN(1500))*time.Millisecond
	}
}

// randomFault returns a random fault of the table, of the daemon with this index or its connections, or of
// the named backend server.
func randomFault(rnd *rand.Rand, daemon int, server string) fault {
	d := func(p *proof) *ibisharness.Daemon { return p.Daemons[daemon] }
	table := func(name string, f ibisstandin.TableFaults) fault {
		return fault{
			name:   name,
			inject: func(p *proof) { p.Platform.TableFaults(f) },
			undo:   func(p *proof) { p.Platform.TableFaults(ibisstandin.TableFaults{}) },
		}
	}
	servers := func(name string, f ibisstandin.ServerFaults) fault {
		return fault{
			name:   fmt.Sprintf("%s of %s", name, server),
			inject: func(p *proof) { p.Platform.ServerFaults(f, server) },
			undo:   func(p *proof) { p.Platform.ServerFaults(ibisstandin.ServerFaults{}, server) },
		}
	}
	switch rnd.IntN(9) {
	case 0:
		return fault{
			name:   fmt.Sprintf("kill of daemon %d", daemon),
			inject: func(p *proof) { d(p).Kill() },
			undo:   func(p *proof) { d(p).Start() },
		}
	case 1:
		return fault{
			name:   fmt.Sprintf("pause of daemon %d", daemon),
			inject: func(p *proof) { d(p).Pause() },
			undo:   func(p *proof) { d(p).Resume() },
		}
	case 2:
		ready := false // the signal itself may end a daemon that has not installed its handler yet
		return fault{
			name:   fmt.Sprintf("shutdown of daemon %d", daemon),
			inject: func(p *proof) { ready = d(p).Ready(); d(p).Terminate() },
			undo: func(p *proof) {
				if err := d(p).AwaitExit(); err != nil && ready {
					p.t.Errorf("shutdown of daemon %d: %v", daemon, err)
				}
				d(p).Start()
			},
		}
	case 3:
		return table("outage of the table", ibisstandin.TableFaults{Down: true})
	case 4:
		return table("slow table", ibisstandin.TableFaults{DelayMS: int64(50 + rnd.IntN(400))})
	case 5:
		return table("lost replies of the table", ibisstandin.TableFaults{LoseReplies: 1 + rnd.IntN(20)})
	case 6:
		return servers("freeze", ibisstandin.ServerFaults{Freeze: true})
	case 7:
		return servers("failure of every task", ibisstandin.ServerFaults{FailAll: true})
	}
	return fault{
		name: fmt.Sprintf("silent connections of daemon %d", daemon),
		inject: func(p *proof) {
			for _, l := range d(p).Links() {
				l.Silence()
			}
		},
		undo: func(*proof) {},
	}
}

// TestSoak injects random faults under mixed load and runs every oracle at the end. The faults and the load
// are reproducible from the seed.
func TestSoak(t *testing.T) {
	length := shortSoak
	if *soakMinutes > 0 {
		length = time.Duration(*soakMinutes * float64(time.Minute))
	}
	t.Logf("seed %d, %v; repeat with: make soak SEED=%d MINUTES=%g", *soakSeed, length, *soakSeed, length.Minutes())
	p := newProof(t, ibisharness.Options{
		Daemons: 3, Servers: 8, Proxies: true, Capacity: ibiswork.Resources{MilliCPU: 16000, MemoryMB: 32768, Slots: 16},
	})
	var servers []string
	for _, vm := range p.Platform.Servers {
		servers = append(servers, vm.Name)
	}
	load := p.startLoad(length)
	stop := p.submitEvery(100*time.Millisecond, p.mixedRequest)
	p.runFaults(schedule(*soakSeed, length, len(p.Daemons), servers), time.Now(), length)
	stop()
	for _, d := range p.Daemons {
		d.AwaitReady()
	}
	p.wg.Wait()
	unknown, failed := p.Trace.UnknownOutcomes(), p.requestsWithFailedTask()
	p.requireAllDone(func(r callResult) bool {
		_, outcomeUnknown := unknown[r.request.ID]
		return !r.request.Idempotent && (outcomeUnknown || r.hasOutcome(ibiswork.Failed) && failed[r.request.ID])
	})
	p.checkInvariants()
	p.checkLoad(load())
}

// hasOutcome reports whether the request ended with this outcome.
func (r callResult) hasOutcome(want ibiswork.Outcome) bool {
	return r.err == nil && r.status.Answer != nil && r.status.Answer.Outcome == want
}

// requestsWithFailedTask returns the requests of which a task failed according to the backend servers.
func (p *proof) requestsWithFailedTask() map[ibiswork.ID]bool {
	failed := map[ibiswork.ID]bool{}
	for _, e := range p.Platform.History() {
		if e.Event == ibisstandin.End && e.State == ibisserver.Failed {
			failed[e.TaskID.Request] = true
		}
	}
	return failed
}

// runFaults injects and undoes the faults at their times, and returns when the run has lasted for length.
func (p *proof) runFaults(faults []fault, started time.Time, length time.Duration) {
	p.t.Helper()
	wait := func(until time.Duration) {
		ctx, cancel := context.WithDeadline(context.Background(), started.Add(until))
		defer cancel()
		<-ctx.Done()
	}
	for _, f := range faults {
		wait(f.start)
		p.t.Logf("%v: %s for %v", time.Since(started).Round(time.Millisecond), f.name, f.duration)
		f.inject(p)
		wait(f.start + f.duration)
		f.undo(p)
	}
	wait(length)
}

// startLoad generates load from the mix "tuul" in addition to the requests of the test. The function that it
// returns waits for the end of the load and returns its report.
func (p *proof) startLoad(length time.Duration) func() ibisload.Report {
	p.t.Helper()
	mix, err := ibisload.NamedMix("tuul")
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	var report ibisload.Report
	go func() {
		defer close(done)
		report, err = ibisload.Run(ctx, ibisload.Options{
			Daemons: p.Addresses(), Teams: []ibisload.Team{{Name: p.team, Key: soakKey}}, Mix: mix, Rate: soakRequestsPerSecond,
			Duration: length, Seed: *soakSeed, RepeatFraction: 0.2,
		})
	}()
	p.t.Cleanup(func() { cancel(); <-done })
	return func() ibisload.Report {
		<-done
		if err != nil {
			p.t.Fatal(err)
		}
		return report
	}
}

// checkLoad compares the replies that the load generator received with the history of the backend servers.
func (p *proof) checkLoad(report ibisload.Report) {
	p.t.Helper()
	v := ibisload.Verify(report.Records, p.Platform.History())
	for rule, ids := range map[string][]ibiswork.ID{
		"load: run twice": v.RunTwice, "load: running twice at once": v.Overlapping, "load: started despite NotRun": v.FalseNotRun,
	} {
		var violations []string
		for _, id := range ids {
			violations = append(violations, string(id))
		}
		p.reportViolations(rule, violations)
	}
	p.t.Logf("load: %d runs of tasks", v.Runs)
}
