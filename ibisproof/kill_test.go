package ibisproof

import (
	"testing"
	"time"

	"ibiscrank/ibisharness"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// TestKillHolder guards against work that is lost or run twice when a daemon dies. Two daemons in turn are
// killed while they hold requests and own running tasks of all classes; callers retry with the same IDs
// through the other daemons.
func TestKillHolder(t *testing.T) {
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8})
	stop := p.submitEvery(40*time.Millisecond, p.mixedRequest)
	for _, d := range p.Daemons[:2] {
		p.awaitFinished(20)
		p.awaitRunning(6)
		d.Kill()
		p.awaitFinished(20)
		d.Restart()
	}
	p.awaitFinished(20)
	stop()
	p.requireAllDone(nil)
	p.checkInvariants()
}

// TestKillAll guards against accepted work that exists only in memory. All daemons are killed while they hold
// accepted requests. After the restart, also if the table service is down at first, every request must end.
func TestKillAll(t *testing.T) {
	for _, tc := range []struct {
		name      string
		tableDown bool
	}{
		{"TableUp", false},
		{"TableDownForTheRestart", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 6})
			for i := range 60 {
				r := p.newRequest(ibiswork.Batch, i%2 == 0, 300+i%5*500)
				if i%6 == 0 {
					r = p.newRequest(ibiswork.Gang, true, 500)
					r.Tasks = 3
				}
				p.submitUntilAccepted(r, i%3)
			}
			p.awaitRunning(6)
			for _, d := range p.Daemons {
				d.Kill()
			}
			if tc.tableDown {
				p.Platform.TableFaults(ibisstandin.TableFaults{Down: true})
			}
			for _, d := range p.Daemons {
				d.Start()
			}
			if tc.tableDown {
				for _, d := range p.Daemons {
					ibisharness.Await(t, requestTimeout, d.Name+" retries to register its incarnation", func() (bool, any) {
						n := d.CountLogged("IncarnationNotRegistered")
						return n >= 2, n
					})
				}
				p.Platform.TableFaults(ibisstandin.TableFaults{})
			}
			for _, d := range p.Daemons {
				d.AwaitReady()
			}
			p.checkInvariants()
		})
	}
}
