package ibiscell_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
)

// configure gives the leader the next version of the configuration.
func (w *world) configure(queues []ibisjob.Queue, teams []ibisjob.Team) {
	w.cfg = &ibisjob.Config{Version: w.cfg.Version + 1, Queues: queues, Teams: teams}
	w.e.SetConfig(w.cfg)
}

// settingsInJournal returns the settings in the rows of the journal, by kind and name, and their size.
func (w *world) settingsInJournal() (names map[string]int, size int) {
	names = make(map[string]int)
	for _, row := range w.table[ibiscell.TableChanges] {
		parts := changeRowParts(w.t, row)
		for _, raw := range slices.Concat(parts[2:]...) {
			var s []any
			assert.NilError(w.t, cbor.Unmarshal(raw, &s))
			names[fmt.Sprint(s[0], " ", s[1])]++
			size += len(raw)
		}
	}
	return names, size
}

// changeRowParts decodes the lists of a row of Changes: servers, jobs and, in rows of this version, settings.
func changeRowParts(t testing.TB, row []byte) (parts [][]cbor.RawMessage) {
	assert.NilError(t, cbor.Unmarshal(row, &parts))
	return parts
}

func submitTwoSteps(w *world, n int, queue, team string) {
	w.submit(uint64(n), ibisjob.Job{ID: jobID(n), Queue: queue, Team: team, Spec: "1000", Steps: steps(
		ibisjob.Step{Tasks: 2, Size: size(1000, 10)}, ibisjob.Step{Tasks: 2, Size: size(1000, 10), DependsOn: []int{0}})})
}

// Guards against LOST: the leader dies between the change that drops the queues and its next commit, and the ones after it
// never see them.
func TestJobsOfRemovedQueuesOutliveSeveralLeaders(t *testing.T) {
	for _, commitMS := range []int64{0, 5, 12, 100} {
		w := newWorld(t, 3)
		w.run(20)
		submitTwoSteps(w, 1, "bulk", "a")
		submitTwoSteps(w, 2, "wide", "b")
		w.run(200)
		w.configure(w.cfg.Queues[:1], nil)
		w.run(commitMS)
		w.newLeader()
		w.run(300)
		w.newLeader()
		w.run(6000)
		assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
		assert.Equal(t, w.state(jobID(2)), ibisjob.Completed)
		names, _ := w.settingsInJournal()
		assert.Equal(t, len(names), 0, "%v", names)
		assert.Equal(t, len(w.table[ibiscell.TableChanges]), 0)
	}
}

// Guards against LOST: settings that have changed since the job was accepted are those that the next leader needs.
func TestLastSettingsOfARemovedQueueAreKept(t *testing.T) {
	w := newWorld(t, 3)
	w.run(20)
	submitTwoSteps(w, 1, "bulk", "a")
	w.run(200)
	for _, s := range w.servers { // the service gets another name
		s.info.Service = "renamed"
	}
	w.sendServerList()
	queues := slices.Clone(w.cfg.Queues)
	queues[2].Service = "renamed"
	w.configure(queues, w.cfg.Teams)
	w.run(50)
	w.configure(queues[:2], w.cfg.Teams)
	w.newLeader()
	w.run(6000)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

// The newest configuration decides, also about accepted jobs of a queue that comes back.
func TestQueueComesBackWithOtherSettings(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		w := newWorld(t, 3)
		w.run(20)
		submitTwoSteps(w, 1, "bulk", "a")
		w.run(200)
		queues := slices.Clone(w.cfg.Queues)
		w.configure(queues[:2], w.cfg.Teams)
		w.run(50)
		w.newLeader()
		w.run(50)
		queues[2].Service = "other" // no server belongs to it yet
		w.configure(queues, w.cfg.Teams)
		w.run(50)
		if takeover {
			w.configure(queues[:2], w.cfg.Teams)
			w.newLeader()
		}
		w.run(6000)
		assert.Equal(t, w.state(jobID(1)), ibisjob.Active)
		for _, s := range w.servers {
			s.info.Service = "other"
		}
		w.sendServerList()
		w.run(6000)
		assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
	}
}

// Guards against LOST: a leader accepts a job of a queue that it has never known, from a daemon that still goes by the
// configuration before. Nobody knows its service.
func TestJobOfAQueueUnknownToTheLeaderIsRefused(t *testing.T) {
	w := newWorld(t, 2)
	all := w.cfg.Queues
	w.configure(all[:2], w.cfg.Teams)
	w.newLeader()
	w.run(20)
	submitTwoSteps(w, 1, "bulk", "a")
	w.run(6000)
	assert.Equal(t, w.answers[1].Outcome, ibiscell.Rejected)
	assert.Assert(t, w.answers[1].RetryMS > 0)
	assert.Equal(t, len(w.starts), 0)
	w.configure(all, w.cfg.Teams)
	submitTwoSteps(w, 1, "bulk", "a")
	w.run(6000)
	assert.Equal(t, w.answers[1].Outcome, ibiscell.OK)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

// Guards against QUOTA: the upper limit of a team that the configuration no longer contains holds for its accepted jobs,
// also under the next leader.
func TestUpperLimitOfARemovedTeamOutlivesItsLeader(t *testing.T) {
	w := newWorld(t, 4)
	teams := []ibisjob.Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 1, UpperLimit: size(4000, 0)}}
	w.configure(w.cfg.Queues, teams)
	w.submit(1, ibisjob.Job{ID: jobID(1), Queue: "bulk", Team: "b", Spec: "200", Steps: steps(ibisjob.Step{Tasks: 12, Size: size(1500, 10)})})
	w.run(100)
	w.configure(w.cfg.Queues, teams[:1])
	w.newLeader()
	for range 700 {
		w.run(10)
		n := 0
		for _, s := range w.servers {
			n += len(s.runs)
		}
		assert.Assert(t, n <= 2, "%d tasks of 1500 run; the upper limit is 4000", n)
	}
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

// Guards against LOST: a row that an earlier version has written, without settings, is read. Its jobs go on by the
// configuration, whose settings are then in the journal.
func TestChangeRowsWithoutSettingsAreRead(t *testing.T) {
	w := newWorld(t, 3)
	w.run(20)
	submitTwoSteps(w, 1, "bulk", "a")
	submitTwoSteps(w, 2, "quick", "a")
	w.run(200)
	for key, row := range w.table[ibiscell.TableChanges] {
		bare, err := cbor.Marshal(changeRowParts(t, row)[:2])
		assert.NilError(t, err)
		w.table[ibiscell.TableChanges][key] = bare
	}
	all := w.cfg.Queues
	w.configure(all[:2], w.cfg.Teams) // its settings are known to nobody
	w.newLeader()
	w.run(6000)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Active)
	assert.Equal(t, w.state(jobID(2)), ibisjob.Completed)
	w.configure(all, w.cfg.Teams)
	w.run(20)
	names, _ := w.settingsInJournal()
	assert.Equal(t, names["1 bulk"], 1)
	assert.Equal(t, names["2 a"], 1)
	w.configure(all[:2], w.cfg.Teams)
	w.newLeader()
	w.run(6000)
	assert.Equal(t, w.state(jobID(1)), ibisjob.Completed)
}

// TestQueuesComeAndGoUnderTakeovers changes queues, teams and leaders at random moments. Each accepted job must complete,
// and the journal must be empty then.
func TestQueuesComeAndGoUnderTakeovers(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			w := newWorld(t, 4)
			all, teams := w.cfg.Queues, w.cfg.Teams
			w.run(20)
			const jobs = 80
			for n := range jobs {
				q := w.cfg.Queues[rng.IntN(len(w.cfg.Queues))].Name
				w.submit(uint64(n), ibisjob.Job{ID: jobID(n), Queue: q, Team: []string{"a", "b"}[n%2], Spec: fmt.Sprint(20 + rng.IntN(600)), Steps: steps(
					ibisjob.Step{Tasks: 1 + rng.IntN(5), Size: size(500, 10)}, ibisjob.Step{Tasks: 1, Size: size(500, 10), DependsOn: []int{0}})})
				w.run(rng.Int64N(100))
				if rng.IntN(4) == 0 {
					var queues []ibisjob.Queue
					for _, k := range rng.Perm(len(all))[:1+rng.IntN(len(all))] {
						queues = append(queues, all[k])
						queues[len(queues)-1].ObjectiveMS += rng.Int64N(3)
					}
					w.configure(queues, teams[:rng.IntN(len(teams)+1)])
				}
				if rng.IntN(5) == 0 {
					w.newLeader()
				}
			}
			w.run(20_000)
			accepted := 0
			for n := range jobs {
				if w.answers[uint64(n)].Outcome == ibiscell.OK {
					accepted++
					assert.Equal(t, w.state(jobID(n)), ibisjob.Completed, "job %d", n)
				}
			}
			assert.Assert(t, accepted > jobs/2)
			assert.Equal(t, len(w.table[ibiscell.TableChanges]), 0)
		})
	}
}

// Guards against a journal that grows with the jobs: settings are written once, whatever the number of jobs.
func TestSettingsAreWrittenOnce(t *testing.T) {
	w := newWorld(t, 3)
	w.run(20)
	for n := range 60 {
		w.submit(uint64(n), ibisjob.Job{ID: jobID(n), Queue: "bulk", Spec: "1000000", Steps: steps(ibisjob.Step{Tasks: 1, Size: size(5, 1)})})
		w.run(20)
		if n%20 == 10 {
			w.newLeader()
			w.run(20)
		}
	}
	names, _ := w.settingsInJournal()
	assert.DeepEqual(t, names, map[string]int{"1 bulk": 1, "2 a": 1})
}

// TestSettingsInTheJournalAreBounded has a job in each of 4,200 queues. The settings are written once for each queue and
// change, and go with the last job.
func TestSettingsInTheJournalAreBounded(t *testing.T) {
	const (
		count    = 4200
		maxBytes = 150       // of the settings of a queue; two fifths of those of a job of one step
		maxCall  = 1_000_000 // bytes that the platform accepts per call, encoded in base64
	)
	w := newWorld(t, 8)
	queues := make([]ibisjob.Queue, count)
	for n := range queues {
		queues[n] = ibisjob.Queue{
			Name: fmt.Sprint("queue-", n), Service: "svc", Priority: n % 3, MaxAttempts: 3, SlackFactor: 2.5, ObjectiveMS: 1250,
			Advice: &ibisjob.Advice{ValidMS: 1500},
		}
	}
	w.configure(queues, w.cfg.Teams)
	w.run(20)
	for n := range count {
		w.submit(uint64(n), ibisjob.Job{ID: jobID(n), Queue: queues[n].Name, Spec: "10000000", Steps: steps(ibisjob.Step{Tasks: 1, Size: size(5, 1)})})
		if n%100 == 0 {
			w.run(20)
		}
	}
	w.run(3000)
	check := func() {
		t.Helper()
		names, size := w.settingsInJournal()
		assert.Equal(t, len(names), count+1)
		for name, times := range names {
			if times > 1 && name != "2 a" {
				t.Errorf("%d settings of %s", times, name)
			}
		}
		assert.Assert(t, size < maxBytes*count, "%d bytes of settings", size)
		assert.Assert(t, len(w.table[ibiscell.TableChanges]) <= 1000, "%d rows", len(w.table[ibiscell.TableChanges]))
	}
	check()

	written := w.writtenBytes
	w.configure(slices.Clone(queues), w.cfg.Teams)
	w.run(200)
	assert.Equal(t, w.writtenBytes, written, "nothing has changed")

	changed := slices.Clone(queues)
	for n := range changed {
		changed[n].ObjectiveMS = 750
	}
	w.configure(changed, w.cfg.Teams)
	for range 40 {
		before := w.writtenBytes
		w.run(5)
		assert.Assert(t, (w.writtenBytes-before)*4/3 < maxCall)
	}
	assert.Assert(t, w.writtenBytes-written < maxBytes*count, "%d bytes for a change of all queues", w.writtenBytes-written)

	w.configure(nil, w.cfg.Teams)
	w.newLeader()
	w.run(1000)
	for n := range count {
		if n > 0 {
			w.e.Cancel(w.now, uint64(count+n), jobID(n))
		}
		if n%100 == 0 {
			w.run(20)
		}
	}
	w.run(3000)
	names, _ := w.settingsInJournal()
	assert.Assert(t, names["1 queue-0"] > 0)
	for range 400 { // until old rows have been written again
		w.run(1000)
		w.e.WriteConfirmed(w.now, w.now) // the leader's heartbeat
	}
	names, _ = w.settingsInJournal()
	assert.DeepEqual(t, names, map[string]int{"1 queue-0": 1, "2 a": 1})
	w.e.Cancel(w.now, 1<<30, jobID(0))
	w.run(500)
	assert.Equal(t, len(w.table[ibiscell.TableChanges]), 0)
}
