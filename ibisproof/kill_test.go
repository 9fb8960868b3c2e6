package ibisproof

import (
	"testing"
	"time"

	"ibiscrank/ibisharness"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// A daemon is killed while it holds and owns work of all kinds; callers go on with the same IDs through
// the other daemons. It happens twice, to different daemons.
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

// All daemons are killed at once while they hold accepted work; new ones with empty memory bring each
// accepted request to its end.
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
					ibisharness.Await(t, requestTimeout, d.Name+" asks the table", func() (bool, any) {
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
