package ibiscell

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibisjob"
)

// changeRow is the value of a row of TableChanges. The rows are applied in the order of their keys.
type changeRow struct {
	_        struct{} `cbor:",toarray"`
	Servers  []ServerRef
	Jobs     []jobChange
	Settings []settingsChange
}

// bareChangeRow is the value of a row without settings, as earlier versions wrote it.
type bareChangeRow struct {
	_       struct{} `cbor:",toarray"`
	Servers []ServerRef
	Jobs    []jobChange
}

// decodeChangeRow decodes the value of a row of TableChanges.
func decodeChangeRow(b []byte) (changeRow, error) {
	var row changeRow
	err := cbor.Unmarshal(b, &row)
	if err == nil {
		return row, nil
	}
	var bare bareChangeRow
	if cbor.Unmarshal(b, &bare) != nil {
		return changeRow{}, err
	}
	return changeRow{Servers: bare.Servers, Jobs: bare.Jobs}, nil
}

// ServerRef identifies one incarnation of a backend server.
type ServerRef struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
}

// jobChange records what has changed in a job since the last row that contains it.
type jobChange struct {
	_              struct{} `cbor:",toarray"`
	ID             ibisjob.ID
	Job            *ibisjob.Job // if set, the change describes the whole job and replaces all earlier ones
	Started        bool
	NextOccurrence int
	Occurrences    []occurrenceChange
}

// occurrenceChange records what has changed in one occurrence, or that it has begun.
type occurrenceChange struct {
	_     struct{} `cbor:",toarray"`
	N     int
	Done  bool
	Steps []stepChange
}

// stepChange records what has changed in one step.
type stepChange struct {
	_       struct{} `cbor:",toarray"`
	N       int
	Failed  failedRuns // of a gang
	Done    bool       // all tasks are done
	Tasks   []taskChange
	Crashes []crash // under a gang
}

// taskChange is the present state of a task.
type taskChange struct {
	_     struct{} `cbor:",toarray"`
	N     int
	State TaskRec
}

// TaskRec is the journal record of one task. Server is an index from 1 into the list of servers of the row, or 0
// without a current run.
type TaskRec struct {
	_          struct{} `cbor:",toarray"`
	Done       bool
	Run        int64
	Server     int
	Failed     failedRuns
	Checkpoint string
	Crashes    []crash
}

// endedJob is one entry of a row of ended jobs.
type endedJob struct {
	_   struct{} `cbor:",toarray"`
	ID  ibisjob.ID
	End Ended
}

// Ended is the journal record of a job that has ended.
type Ended struct {
	_     struct{} `cbor:",toarray"`
	State ibisjob.State
	Queue string
	Team  string
	AtMS  int64 // Unix time
}

// taskState is the journalled part of a task's state.
type taskState struct {
	done       bool
	run        int64
	server     ServerRef // of the current run; no ID without one
	failed     failedRuns
	crashes    []crash
	checkpoint string
}

func (s taskState) equal(o taskState) bool {
	return s.done == o.done && s.run == o.run && s.server == o.server && s.checkpoint == o.checkpoint &&
		slices.Equal(s.failed, o.failed) && slices.Equal(s.crashes, o.crashes)
}

// stepState is the journalled part of a step's state, its tasks left out.
type stepState struct {
	failed  failedRuns
	crashes []crash
	done    bool
}

func (s stepState) equal(o stepState) bool {
	return s.done == o.done && slices.Equal(s.failed, o.failed) && slices.Equal(s.crashes, o.crashes)
}

// failedRuns holds the numbers of the runs of a task, or of a gang, that have ended as failed, so that each counts once
// however often and however late its end is reported. It only grows, by appending, so copies may share it.
type failedRuns []int64

// maxFailedRuns bounds a list of failed runs where the queue sets no limit.
const maxFailedRuns = 64

var noFailedRuns = encode(0)

// MarshalCBOR encodes an empty list as 0, as earlier versions did.
func (f failedRuns) MarshalCBOR() ([]byte, error) {
	if len(f) == 0 {
		return noFailedRuns, nil
	}
	return cbor.Marshal([]int64(f))
}

// UnmarshalCBOR also reads the number of failed runs, which is all that earlier versions wrote.
func (f *failedRuns) UnmarshalCBOR(b []byte) error {
	var count int
	if cbor.Unmarshal(b, &count) == nil {
		*f = make(failedRuns, min(max(count, 0), maxFailedRuns)) // no run has number 0
		return nil
	}
	return cbor.Unmarshal(b, (*[]int64)(f))
}

func (t *task) state() taskState {
	s := taskState{done: t.done, run: t.lastRun, failed: t.failed, crashes: t.crashes, checkpoint: t.checkpoint}
	if t.done {
		s.checkpoint = "" // no run needs it any more
	}
	if t.run != nil && t.run.state != runAwaitingTicket {
		s.server = ServerRef{ID: t.run.server.info.ID, Incarnation: t.run.server.info.Incarnation}
	}
	return s
}

func (st *step) state() stepState {
	return stepState{failed: st.failed, crashes: st.crashes, done: st.unfinished == 0}
}

const (
	maxChangeRowBytes = 45_000 // estimated size of a row; the platform accepts 64 KiB
	jobChangeBytes    = 40     // estimated size of a jobChange, jobs and occurrences left out
	stepChangeBytes   = 24     // estimated size of a stepChange without tasks, or of an occurrenceChange
	taskChangeBytes   = 20     // estimated size of a taskChange without its checkpoint
	failedRunBytes    = 3      // estimated size of the number of a failed run
	crashBytes        = 5      // estimated size of a crash
	serverRefBytes    = 14     // estimated size of a ServerRef without its ID
)

// changeWriter collects the changes of jobs into rows of TableChanges.
type changeWriter struct {
	bytes   int // estimated size of all rows
	rows    []*changeRow
	jobs    [][]*job          // by row: the jobs whose changes it contains
	kept    [][]*keptSettings // by row: whose settings it contains
	size    int               // estimated size of the last row
	servers map[ServerRef]int
	job     *job       // whose changes are being added
	change  *jobChange // of job in the last row; nil: none yet
}

// addJob adds what has changed in j since it was last added, or all of j if it has not been written.
func (w *changeWriter) addJob(j *job) {
	w.job, w.change = j, nil
	whole := !j.written
	if whole {
		w.beginChange(j.spec.EncodedBytes())
		w.change.Job = &j.spec
	}
	if j.savedStarted != j.started || j.savedOccurrence != j.nextOccurrence {
		w.beginChange(0)
	}
	for _, n := range j.doneOccurrences {
		if !whole {
			w.occurrence(n).Done = true
		}
	}
	for _, occ := range j.occurrences {
		if whole || !occ.saved {
			w.occurrence(occ.n)
		}
		for _, st := range occ.steps {
			w.addStep(st, whole)
		}
		occ.saved = true
	}
	j.written, j.savedStarted, j.savedOccurrence, j.doneOccurrences = true, j.started, j.nextOccurrence, nil
}

func (w *changeWriter) addStep(st *step, whole bool) {
	state := st.state()
	if whole {
		st.saved = stepState{}
	}
	if !state.equal(st.saved) {
		w.step(st)
		st.saved = state
	}
	if !st.open || state.done {
		return
	}
	for _, t := range st.tasks {
		if whole {
			t.saved = taskState{}
		}
		if s := t.state(); !s.equal(t.saved) {
			w.addTask(st, t.index, s)
			t.saved = s
		}
	}
}

func (w *changeWriter) addTask(st *step, index int, s taskState) {
	// Reserves the space first: the server's index is valid in this row only.
	size := taskChangeBytes + len(s.checkpoint) + failedRunBytes*len(s.failed) + crashBytes*len(s.crashes)
	w.beginChange(2*stepChangeBytes + size + serverRefBytes + len(s.server.ID))
	c := w.step(st)
	rec := TaskRec{Done: s.done, Run: s.run, Failed: s.failed, Checkpoint: s.checkpoint, Crashes: s.crashes}
	if s.server.ID != "" {
		rec.Server = w.serverIndex(s.server)
	}
	c.Tasks = append(c.Tasks, taskChange{N: index, State: rec})
	w.grow(size)
}

// serverIndex returns the index of a server in the list of the last row, from 1.
func (w *changeWriter) serverIndex(ref ServerRef) int {
	if n, ok := w.servers[ref]; ok {
		return n
	}
	row := w.rows[len(w.rows)-1]
	row.Servers = append(row.Servers, ref)
	w.servers[ref] = len(row.Servers)
	w.grow(serverRefBytes + len(ref.ID))
	return len(row.Servers)
}

// beginChange makes sure that the last row contains a change of the job and has room for size more bytes. A
// change that does not fit continues in another row.
func (w *changeWriter) beginChange(size int) {
	w.reserve(size + jobChangeBytes)
	if w.change != nil {
		return
	}
	n := len(w.rows) - 1
	w.rows[n].Jobs = append(w.rows[n].Jobs, jobChange{ID: w.job.spec.ID, Started: w.job.started, NextOccurrence: w.job.nextOccurrence})
	w.jobs[n] = append(w.jobs[n], w.job)
	w.change = &w.rows[n].Jobs[len(w.rows[n].Jobs)-1]
	w.grow(jobChangeBytes + size)
}

// reserve makes sure that the last row has room for size more bytes.
func (w *changeWriter) reserve(size int) {
	if len(w.rows) == 0 || w.size+size > maxChangeRowBytes && w.size > 0 {
		w.rows, w.jobs, w.kept = append(w.rows, &changeRow{}), append(w.jobs, nil), append(w.kept, nil)
		w.size, w.servers, w.change = 0, make(map[ServerRef]int), nil
	}
}

// addSettings adds the settings of a queue or a team.
func (w *changeWriter) addSettings(k *keptSettings) {
	size := settingsChangeBytes + len(k.key.name) + len(k.saved)
	w.reserve(size)
	n := len(w.rows) - 1
	w.rows[n].Settings = append(w.rows[n].Settings, settingsChange{Kind: k.key.kind, Name: k.key.name, Value: k.saved})
	w.kept[n] = append(w.kept[n], k)
	w.grow(size)
}

// occurrence returns the change of occurrence n of the job.
func (w *changeWriter) occurrence(n int) *occurrenceChange {
	w.beginChange(stepChangeBytes)
	list := w.change.Occurrences
	if last := len(list) - 1; last >= 0 && list[last].N == n {
		return &list[last]
	}
	w.change.Occurrences = append(list, occurrenceChange{N: n})
	w.grow(stepChangeBytes)
	return &w.change.Occurrences[len(list)]
}

// step returns the change of a step of the job, with the step's present state.
func (w *changeWriter) step(st *step) *stepChange {
	c := w.occurrence(st.occ.n)
	if last := len(c.Steps) - 1; last >= 0 && c.Steps[last].N == st.n {
		return &c.Steps[last]
	}
	s := st.state()
	c.Steps = append(c.Steps, stepChange{N: st.n, Failed: s.failed, Done: s.done, Crashes: s.crashes})
	w.grow(stepChangeBytes + failedRunBytes*len(s.failed) + crashBytes*len(s.crashes))
	return &c.Steps[len(c.Steps)-1]
}

func (w *changeWriter) grow(size int) {
	w.size += size
	w.bytes += size
}
