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
	replacedWithin = 2 * time.Second
	// quickAnswer is the longest answer to a small request when no connection is silent and a third of
	// the fleet is free.
	quickAnswer = 1 * time.Second
	// probeFor and probeEvery say for how long after a silence, and how often, each daemon is probed.
	probeFor   = 3 * time.Second
	probeEvery = 100 * time.Millisecond
)

// All connections of the daemons, to the backend servers, to each other and to the table, go silent at
// once without a reset while new ones work, and again later. Nothing is lost or run twice.
func TestSilentConnections(t *testing.T) {
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8, Proxies: true})
	stop := p.stream(60*time.Millisecond, p.mixed)
	for range 2 {
		p.awaitMore(30)
		p.silence()
	}
	p.awaitMore(30)
	stop()
	p.allDone(nil)
	p.judge()
}

// Small requests that come later than replacedWithin after such a silence are answered without delay.
func TestSilentConnectionsReplaced(t *testing.T) {
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 8, Proxies: true})
	for range 2 {
		assert.Equal(t, len(p.probes()), 0, "probes without a silence")
		p.silence()
		p.report("answered late", p.probes())
	}
	p.judge()
}

// silence silences every connection of every daemon.
func (p *proof) silence() {
	for _, d := range p.Daemons {
		for _, l := range d.Links() {
			l.Silence()
		}
	}
}

// probes sends small idempotent requests to every daemon for a while and finds those that were sent
// later than replacedWithin after the beginning and not answered within quickAnswer.
func (p *proof) probes() []string {
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		bad []string
	)
	began := time.Now()
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for time.Since(began) < probeFor {
		for i := range p.Daemons {
			r := p.request(ibiswork.Interactive, true, 10)
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), answerWithin/2)
				defer cancel()
				sent := time.Now()
				_, err := p.caller.Do(ctx, r, i)
				took := time.Since(sent)
				mu.Lock()
				defer mu.Unlock()
				after := sent.Sub(began)
				if err != nil || after > replacedWithin && took > quickAnswer {
					bad = append(bad, r.ID.Time().Format(time.StampMilli)+" sent "+after.String()+" after the silence took "+took.String())
				}
			})
		}
		<-ticker.C
	}
	wg.Wait()
	return bad
}
