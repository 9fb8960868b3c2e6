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
	// replacedWithin is when a connection that has gone silent is noticed and replaced.
	replacementTimeout = 2 * time.Second
	// quickAnswer is the longest answer to a small request when no connection is silent and a third of
	// the fleet is free.
	maxProbeTime = 1 * time.Second
	// probeFor and probeEvery say for how long after a silence, and how often, each daemon is probed.
	probeDuration = 3 * time.Second
	probeInterval = 100 * time.Millisecond
)

// All connections of the daemons, to the backend servers, to each other and to the table, go silent at
// once without a reset while new ones work, and again later. Nothing is lost or run twice.
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

// Small requests that come later than replacedWithin after such a silence are answered without delay.
func TestSilentConnectionsReplaced(t *testing.T) {
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8, Proxies: true})
	for range 2 {
		assert.Equal(t, len(p.slowProbes()), 0, "probes without a silence")
		p.silenceAllLinks()
		p.reportViolations("answered late", p.slowProbes())
	}
	p.checkInvariants()
}

// silence silences every connection of every daemon.
func (p *proof) silenceAllLinks() {
	for _, d := range p.Daemons {
		for _, l := range d.Links() {
			l.Silence()
		}
	}
}

// probes sends small idempotent requests to every daemon for a while and finds those that were sent
// later than replacedWithin after the beginning and not answered within quickAnswer.
func (p *proof) slowProbes() []string {
	var (
		wg         sync.WaitGroup
		mu         sync.Mutex
		violations []string
	)
	began := time.Now()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for time.Since(began) < probeDuration {
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
				after := sent.Sub(began)
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
