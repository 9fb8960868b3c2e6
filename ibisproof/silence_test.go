package ibisproof

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisharness"
	"ibiscrank/ibiswork"
)

const (
	// replacementTimeout is the maximum time until a silent connection is detected and replaced.
	replacementTimeout = 2 * time.Second
	// maxProbeTime is the maximum time to answer a small request when no connection is silent and a third of
	// the fleet is free.
	maxProbeTime = 1 * time.Second
	// probeDuration and probeInterval are how long, and how often, each daemon is probed after a silence.
	probeDuration = 3 * time.Second
	probeInterval = 100 * time.Millisecond
)

// TestSilentConnections guards against work that is lost or run twice when connections go silent without a
// reset. All connections of the daemons to the backend servers, to each other and to the table go silent at
// the same time, twice; new connections work.
func TestSilentConnections(t *testing.T) {
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8, Proxies: true})
	stop := p.submitEvery(60*time.Millisecond, p.mixedRequest)
	for range 2 {
		p.awaitFinished(30)
		p.silenceAllLinks()
	}
	p.awaitFinished(30)
	stop()
	p.requireAllDone(nil)
	p.checkInvariants()
}

// TestSilentConnectionsReplaced guards against silent connections that stay in use. Small requests sent more
// than replacementTimeout after all connections went silent must be answered within maxProbeTime.
func TestSilentConnectionsReplaced(t *testing.T) {
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8, Proxies: true})
	for range 2 {
		assert.Equal(t, len(p.slowProbes()), 0, "slow probes before any silence")
		p.silenceAllLinks()
		p.reportViolations("answered late", p.slowProbes())
	}
	p.checkInvariants()
}

// silenceAllLinks silences the open connections of every daemon.
func (p *proof) silenceAllLinks() {
	for _, d := range p.Daemons {
		for _, l := range d.Links() {
			l.Silence()
		}
	}
}

// slowProbes sends small idempotent requests to every daemon for probeDuration. It returns those that failed,
// and those that took longer than maxProbeTime, if they were sent more than replacementTimeout after the
// start of the probing.
func (p *proof) slowProbes() []string {
	var (
		wg         sync.WaitGroup
		mu         sync.Mutex
		violations []string
	)
	started := time.Now()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for time.Since(started) < probeDuration {
		for i := range p.Daemons {
			r := p.newRequest(ibiswork.Interactive, true, 10)
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), requestTimeout/2)
				defer cancel()
				sent := time.Now()
				_, err := p.caller.Do(ctx, r, i)
				took := time.Since(sent)
				mu.Lock()
				defer mu.Unlock()
				after := sent.Sub(started)
				if err != nil || after > replacementTimeout && took > maxProbeTime {
					violations = append(violations, r.ID.Time().Format(time.StampMilli)+" sent "+after.String()+" after the silence took "+took.String())
				}
			})
		}
		<-ticker.C
	}
	wg.Wait()
	return violations
}
