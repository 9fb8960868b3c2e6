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
	// configBound is when an accepted change of the configuration is in force everywhere.
	configBound = 5 * time.Second
	// operatorTimeout bounds one call of an operator.
	operatorTimeout = 15 * time.Second
	// watchEvery is the time between two looks at the version of each daemon.
	watchEvery = 50 * time.Millisecond
)

// operatorCall is one call of an operator to one daemon, with the first operator's key.
func (p *proof) operatorCall(daemon int, method, path string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	client := &http.Client{Transport: operatorKey{http.DefaultTransport}}
	reply, err := ibishttp.Call(ctx, client, method, p.Daemons[daemon].URL()+"/v1/admin"+path, in)
	if err != nil {
		return 0, err
	}
	if out == nil {
		return reply.Status, nil
	}
	return reply.Status, json.Unmarshal(reply.Body, out)
}

// operatorKey adds the first operator's key to every call.
type operatorKey struct{ http.RoundTripper }

// RoundTrip adds the key and makes the call.
func (k operatorKey) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+ibisharness.OperatorKey)
	return k.RoundTripper.RoundTrip(r)
}

// version is that of the configuration in force at a daemon.
func (p *proof) configVersion(daemon int) (int64, bool) {
	var v ibisadmin.ConfigView
	status, err := p.operatorCall(daemon, http.MethodGet, "/config", nil, &v)
	return v.Version, err == nil && status == http.StatusOK
}

// watchVersions looks at the versions of all daemons until stop is called, which returns every fall.
func (p *proof) watchConfigVersions() (stop func() []string) {
	quit := make(chan struct{})
	decreases := make([][]string, len(p.Daemons))
	var wg sync.WaitGroup
	for i := range p.Daemons {
		wg.Go(func() {
			ticker := time.NewTicker(watchEvery)
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
					decreases[i] = append(decreases[i], fmt.Sprintf("daemon %d fell from version %d to %d", i, last, v))
				}
				last = v
			}
		})
	}
	var once sync.Once
	stop = func() []string {
		once.Do(func() { close(quit); wg.Wait() })
		var violations []string
		for _, f := range decreases {
			violations = append(violations, f...)
		}
		return violations
	}
	p.t.Cleanup(func() { stop() })
	return stop
}

// awaitVersion waits until a version that was accepted at a moment is in force everywhere, and checks
// that it came within the bound.
func (p *proof) awaitVersion(v int64, accepted time.Time) {
	p.t.Helper()
	for i := range p.Daemons {
		ibisharness.Await(p.t, time.Until(accepted.Add(configBound)), fmt.Sprintf("version %d is in force at daemon %d", v, i), func() (bool, any) {
			got, _ := p.configVersion(i)
			return got >= v, got
		})
	}
}

// putTeam changes the team "other" through a daemon.
func (p *proof) putTeam(daemon int, id string, basedOn int64, share float64) (ibisadmin.ChangeReply, int, error) {
	var reply ibisadmin.ChangeReply
	status, err := p.operatorCall(daemon, http.MethodPut, "/teams/other", ibisadmin.ChangeRequest{
		ID: id, BasedOn: basedOn, Team: &ibisconfig.Team{Name: "other", Share: share, UpperLimit: ibisharness.NoLimit},
	}, &reply)
	return reply, status, err
}

func newChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// Operators change one team: a change is in force everywhere within the bound, of two that race on one
// version one is told that it is stale, and a change whose reply was lost takes effect once, however
// often it is repeated. No daemon ever falls back to an older version.
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
	assert.Assert(t, ok && got >= reply.Version, "a daemon that was away serves version %d, not %d", got, reply.Version)

	p.reportViolations("version fell", stopWatch())
	stopLoad()
	p.requireAllDone(nil)
	p.checkInvariants()
}

// raceOperators lets three operators change the same version through three daemons at once, and returns
// the version that was made.
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
	assert.Equal(p.t, accepted, 1, "%v", statuses)
	p.awaitVersion(version, time.Now())
	return version
}

// loseReply makes a change whose reply from the table is lost, and repeats it through every daemon.
func (p *proof) repeatChangeWithLostReply(round int, before int64) {
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
	assert.Equal(p.t, len(versions), 1, "%v", versions)
	assert.Assert(p.t, p.teamVersion("other") > before)
	var audit []ibisconfig.AuditEntry
	status, err := p.operatorCall(0, http.MethodGet, "/audit?limit=100", nil, &audit)
	assert.NilError(p.t, err)
	assert.Equal(p.t, status, http.StatusOK)
	n := 0
	for _, a := range audit {
		if a.Change == id {
			n++
		}
	}
	assert.Equal(p.t, n, 1, "the repeated change took effect %d times", n)
}

// teamVersion is the version in which a team was last changed, as the table has it.
func (p *proof) teamVersion(team string) int64 {
	p.t.Helper()
	store := ibisconfig.NewStore(p.tableClient())
	assert.NilError(p.t, store.Poll(context.Background()))
	return store.Snapshot().Teams[team].Version
}

// A key is withdrawn: it is refused at every daemon within the bound, also while the table service is
// down and one daemon is started again meanwhile, and stays refused after.
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
			holder := p.NewCaller(key)
			stopWatch := p.watchConfigVersions()
			for i := range p.Daemons {
				s := holder.Submit(t.Context(), p.newRequest(ibiswork.Interactive, true, 10), i, operatorTimeout)
				assert.Assert(t, s.Ended(), "%v %v", s.Refusal, s.Err)
			}
			if tc.tableDown {
				p.Platform.TableFaults(ibisstandin.TableFaults{Down: true})
			}
			stopSubmitting := p.submitInTurn(holder)
			p.withdrawKey(2)
			withdrawnAt := time.Now()
			if tc.tableDown {
				p.Daemons[0].Kill()
				p.Daemons[0].Start()
			}
			ibisharness.Await(t, requestTimeout, "the bound has passed for a while", func() (bool, any) {
				return time.Since(withdrawnAt) > keyBound+2*time.Second, time.Since(withdrawnAt)
			})
			stopSubmitting()
			p.reportViolations("taken with a withdrawn key", acceptedWithWithdrawnKey(p.Trace.Submissions(), key, withdrawnAt))
			if tc.tableDown {
				p.Platform.TableFaults(ibisstandin.TableFaults{})
				p.Daemons[0].AwaitReady()
				ibisharness.Await(t, configBound, "the withdrawal is written down", func() (bool, any) {
					store := ibisconfig.NewStore(p.tableClient())
					err := store.Poll(context.Background())
					keys := store.Snapshot().Teams["other"].Keys
					return err == nil && len(keys) == 0, keys
				})
			}
			for i := range p.Daemons {
				s := holder.Submit(t.Context(), p.newRequest(ibiswork.Interactive, true, 10), i, time.Second)
				assert.Assert(t, s.Refusal != nil && s.Refusal.Code == ibiswork.CodeUnauthorized, "daemon %d: %+v", i, s)
			}
			p.reportViolations("version fell", stopWatch())
			p.checkInvariants()
		})
	}
}

// withdraw withdraws the key of the team "other" through a daemon.
func (p *proof) withdrawKey(daemon int) {
	p.t.Helper()
	var reply ibisadmin.ChangeReply
	status, err := p.operatorCall(daemon, http.MethodDelete, "/teams/other/keys/first", ibisadmin.ChangeRequest{ID: newChangeID()}, &reply)
	assert.NilError(p.t, err)
	assert.Equal(p.t, status, http.StatusOK)
}

// submitKeyed submits small requests to every daemon in turn until stop is called.
func (p *proof) submitInTurn(k *ibisharness.Caller) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(watchEvery)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-quit:
				return
			case <-ticker.C:
				k.Submit(context.Background(), p.newRequest(ibiswork.Interactive, true, 5), i%len(p.Daemons), time.Second)
			}
		}
	}()
	var once sync.Once
	stop = func() { once.Do(func() { close(quit); <-done }) }
	p.t.Cleanup(stop)
	return stop
}
