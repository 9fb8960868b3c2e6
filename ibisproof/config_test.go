package ibisproof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"ibiscrank/ibisadmin"
	"ibiscrank/ibisconfig"
	"ibiscrank/ibisharness"
	"ibiscrank/ibishttp"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

const (
	// configBound is the maximum delay until an accepted configuration change is in effect at every daemon.
	configBound = 5 * time.Second
	// operatorTimeout is the timeout of one operator call.
	operatorTimeout = 15 * time.Second
	// pollInterval is the time between two reads of the configuration version of a daemon, and between two
	// requests of submitInTurn.
	pollInterval = 50 * time.Millisecond
)

// operatorCall sends one admin API request to a daemon with the first operator's key. It returns the HTTP
// status, and decodes the reply into out unless out is nil.
func (p *proof) operatorCall(daemon int, method, path string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	client := &http.Client{Transport: operatorTransport{http.DefaultTransport}}
	reply, err := ibishttp.Call(ctx, client, method, p.Daemons[daemon].URL()+"/v1/admin"+path, in)
	if err != nil {
		return 0, err
	}
	if out == nil {
		return reply.Status, nil
	}
	return reply.Status, json.Unmarshal(reply.Body, out)
}

// operatorTransport adds the first operator's key to every request.
type operatorTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (k operatorTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+ibisharness.OperatorKey)
	return k.RoundTripper.RoundTrip(r)
}

// configVersion returns the version of the configuration in effect at a daemon, and whether it could be read.
func (p *proof) configVersion(daemon int) (int64, bool) {
	var v ibisadmin.ConfigView
	status, err := p.operatorCall(daemon, http.MethodGet, "/config", nil, &v)
	return v.Version, err == nil && status == http.StatusOK
}

// watchConfigVersions polls the configuration version of each daemon until stop is called, which returns
// every decrease.
func (p *proof) watchConfigVersions() (stop func() []string) {
	quit := make(chan struct{})
	decreases := make([][]string, len(p.Daemons))
	var wg sync.WaitGroup
	for i := range p.Daemons {
		wg.Go(func() {
			ticker := time.NewTicker(pollInterval)
			defer ticker.Stop()
			last := int64(0)
			for {
				select {
				case <-quit:
					return
				case <-ticker.C:
				}
				v, ok := p.configVersion(i)
				if !ok {
					continue
				}
				if v < last {
					decreases[i] = append(decreases[i], fmt.Sprintf("daemon %d went back from version %d to %d", i, last, v))
				}
				last = v
			}
		})
	}
	var once sync.Once
	stop = func() []string {
		once.Do(func() { close(quit); wg.Wait() })
		var violations []string
		for _, d := range decreases {
			violations = append(violations, d...)
		}
		return violations
	}
	p.t.Cleanup(func() { stop() })
	return stop
}

// awaitVersion waits until version v or a later one is in effect at every daemon, and fails the test if that
// takes longer than configBound from the time at which v was accepted.
func (p *proof) awaitVersion(v int64, accepted time.Time) {
	p.t.Helper()
	for i := range p.Daemons {
		ibisharness.Await(p.t, time.Until(accepted.Add(configBound)), fmt.Sprintf("version %d is in effect at daemon %d", v, i), func() (bool, any) {
			got, _ := p.configVersion(i)
			return got >= v, got
		})
	}
}

// putTeam sets the share of the team "other" through a daemon. The change is conditional on the version
// basedOn of the team, unless that is ibisconfig.NoCondition.
func (p *proof) putTeam(daemon int, id string, basedOn int64, share float64) (ibisadmin.ChangeReply, int, error) {
	var reply ibisadmin.ChangeReply
	status, err := p.operatorCall(daemon, http.MethodPut, "/teams/other", ibisadmin.ChangeRequest{
		ID: id, BasedOn: basedOn, Team: &ibisconfig.Team{Name: "other", Share: share, UpperLimit: ibisharness.NoLimit},
	}, &reply)
	return reply, status, err
}

func newChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// TestConfigChanges guards against configuration changes that are lost, applied twice or undone. Operators
// change one team concurrently through different daemons, repeat a change while the table loses replies, and
// change the team while a daemon is down. A change must be in effect everywhere within configBound; of
// concurrent changes based on the same version exactly one succeeds; a change repeated after a lost reply is
// applied once; no daemon ever goes back to an older version.
func TestConfigChanges(t *testing.T) {
	p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 6})
	p.AddTeam(ibisconfig.Team{Name: "other", Share: 1, UpperLimit: ibisharness.NoLimit})
	stopLoad := p.submitEvery(100*time.Millisecond, p.mixedRequest)
	stopWatch := p.watchConfigVersions()

	for round := range 4 {
		version := p.raceOperators(round)
		p.repeatChangeWithLostReply(round, version)
	}
	p.Daemons[1].Kill()
	reply, status, err := p.putTeam(0, newChangeID(), ibisconfig.NoCondition, 50)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	p.Daemons[1].Restart()
	got, ok := p.configVersion(1)
	assert.Assert(t, ok && got >= reply.Version, "the restarted daemon serves version %d, older than %d", got, reply.Version)

	p.reportViolations("configuration version decreased", stopWatch())
	stopLoad()
	p.requireAllDone(nil)
	p.checkInvariants()
}

// raceOperators applies three changes based on the same version concurrently through three daemons, checks
// that exactly one succeeds, and returns the new version.
func (p *proof) raceOperators(round int) int64 {
	p.t.Helper()
	basedOn := p.teamVersion("other")
	var wg sync.WaitGroup
	replies, statuses, errs := make([]ibisadmin.ChangeReply, 3), make([]int, 3), make([]error, 3)
	for i := range p.Daemons {
		wg.Go(func() {
			replies[i], statuses[i], errs[i] = p.putTeam(i, newChangeID(), basedOn, float64(10*round+i+2))
		})
	}
	wg.Wait()
	accepted, version := 0, int64(0)
	for i, status := range statuses {
		assert.NilError(p.t, errs[i])
		switch status {
		case http.StatusOK:
			accepted++
			version = replies[i].Version
		default:
			assert.Equal(p.t, status, http.StatusPreconditionFailed, "daemon %d", i)
		}
	}
	assert.Equal(p.t, accepted, 1, "accepted changes, statuses %v", statuses)
	p.awaitVersion(version, time.Now())
	return version
}

// repeatChangeWithLostReply applies a change while the table loses replies, repeats it with the same ID
// through every daemon, and checks that it was applied once.
func (p *proof) repeatChangeWithLostReply(round int, previous int64) {
	p.t.Helper()
	id := newChangeID()
	p.Platform.TableFaults(ibisstandin.TableFaults{LoseReplies: 3})
	versions := map[int64]bool{}
	for i := range 2 * len(p.Daemons) {
		reply, status, err := p.putTeam(i%len(p.Daemons), id, ibisconfig.NoCondition, float64(100+round))
		assert.NilError(p.t, err)
		if status == http.StatusOK {
			versions[reply.Version] = true
		}
	}
	p.Platform.TableFaults(ibisstandin.TableFaults{})
	assert.Equal(p.t, len(versions), 1, "the repeated change returned versions %v", versions)
	assert.Assert(p.t, p.teamVersion("other") > previous)
	var audit []ibisconfig.AuditEntry
	status, err := p.operatorCall(0, http.MethodGet, "/audit?limit=100", nil, &audit)
	assert.NilError(p.t, err)
	assert.Equal(p.t, status, http.StatusOK)
	applied := 0
	for _, a := range audit {
		if a.Change == id {
			applied++
		}
	}
	assert.Equal(p.t, applied, 1, "the repeated change was applied %d times", applied)
}

// teamVersion reads from the table the configuration version in which a team was last changed.
func (p *proof) teamVersion(team string) int64 {
	p.t.Helper()
	store := ibisconfig.NewStore(p.tableClient())
	assert.NilError(p.t, store.Poll(context.Background()))
	return store.Snapshot().Teams[team].Version
}

// TestKeyWithdrawn guards against a withdrawn key that a daemon still accepts. Every daemon must refuse the
// key within keyBound of its withdrawal and from then on, even if the table service is down and a daemon
// restarts.
func TestKeyWithdrawn(t *testing.T) {
	for _, tc := range []struct {
		name      string
		tableDown bool
	}{
		{"TableUp", false},
		{"TableDownAndRestart", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newProof(t, ibisharness.Options{Daemons: 3, Servers: 6})
			key := p.AddTeam(ibisconfig.Team{Name: "other", Share: 1, UpperLimit: ibisharness.NoLimit})
			caller := p.NewCaller(key)
			stopWatch := p.watchConfigVersions()
			for i := range p.Daemons {
				s := caller.Submit(t.Context(), p.newRequest(ibiswork.Interactive, true, 10), i, operatorTimeout)
				assert.Assert(t, s.Ended(), "%v %v", s.Refusal, s.Err)
			}
			if tc.tableDown {
				p.Platform.TableFaults(ibisstandin.TableFaults{Down: true})
			}
			stopSubmitting := p.submitInTurn(caller)
			p.withdrawKey(2)
			withdrawnAt := time.Now()
			if tc.tableDown {
				p.Daemons[0].Kill()
				p.Daemons[0].Start()
			}
			ibisharness.Await(t, requestTimeout, "keyBound has passed by two seconds", func() (bool, any) {
				return time.Since(withdrawnAt) > keyBound+2*time.Second, time.Since(withdrawnAt)
			})
			stopSubmitting()
			p.reportViolations("accepted with a withdrawn key", acceptedWithWithdrawnKey(p.Trace.Submissions(), key, withdrawnAt))
			if tc.tableDown {
				p.Platform.TableFaults(ibisstandin.TableFaults{})
				p.Daemons[0].AwaitReady()
				ibisharness.Await(t, configBound, "the withdrawal is stored in the table", func() (bool, any) {
					store := ibisconfig.NewStore(p.tableClient())
					err := store.Poll(context.Background())
					keys := store.Snapshot().Teams["other"].Keys
					return err == nil && len(keys) == 0, keys
				})
			}
			for i := range p.Daemons {
				s := caller.Submit(t.Context(), p.newRequest(ibiswork.Interactive, true, 10), i, time.Second)
				assert.Assert(t, s.Refusal != nil && s.Refusal.Code == ibiswork.CodeUnauthorized, "daemon %d: %+v", i, s)
			}
			p.reportViolations("configuration version decreased", stopWatch())
			p.checkInvariants()
		})
	}
}

// withdrawKey withdraws the key of the team "other" through a daemon.
func (p *proof) withdrawKey(daemon int) {
	p.t.Helper()
	var reply ibisadmin.ChangeReply
	status, err := p.operatorCall(daemon, http.MethodDelete, "/teams/other/keys/first", ibisadmin.ChangeRequest{ID: newChangeID()}, &reply)
	assert.NilError(p.t, err)
	assert.Equal(p.t, status, http.StatusOK)
}

// submitInTurn submits small requests to the daemons in turn until stop is called.
func (p *proof) submitInTurn(caller *ibisharness.Caller) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-ticker.C:
				caller.Submit(context.Background(), p.newRequest(ibiswork.Interactive, true, 5), i%len(p.Daemons), time.Second)
			}
		}
	}()
	var once sync.Once
	stop = func() { once.Do(func() { close(quit); <-done }) }
	p.t.Cleanup(stop)
	return stop
}
