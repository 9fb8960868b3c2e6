// Package ibisjob holds the domain types of jobs: steps of tasks, the queues and teams that they belong to,
// and the states that callers are shown.
//
// A job is a graph of steps, each of many equal tasks. A type checks itself, so that a value that was
// decoded from a caller's body or from a journal row is valid once Check has returned nil.
//
// Usage:
//
//	job := ibisjob.Job{ID: "5c0e7a21d94b36f8", Queue: "nesting", Team: "tuul-floor", Steps: []ibisjob.Step{
//		{Tasks: 4, Size: ibiswork.Resources{MilliCPU: 500, MemoryMB: 256}, EstimateMS: 900},
//	}}
//	if err := job.Check(); err != nil {
//		return err
//	}
package ibisjob

import (
	"fmt"

	"github.com/zeebo/errs"

	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("job")

// Bounds on the fields of a job.
const (
	MaxSpecBytes = 4000   // bytes of a job's specification
	MaxSteps     = 256    // steps of a job
	MaxTasks     = 10_000 // tasks of a job's steps together
	idDigits     = 16     // hexadecimal digits of an ID
)

// ID names a job. Callers choose it; it has 16 hexadecimal digits.
type ID string

// Check reports an ID that is not made of 16 hexadecimal digits.
func (id ID) Check() error {
	if len(id) != idDigits {
		return Error.New("ID %.20q does not have %d digits", string(id), idDigits)
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return Error.New("ID %q is not hexadecimal", string(id))
		}
	}
	return nil
}

// State is what callers are shown of a job.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "Queued"    // no task has started
	Active    State = "Active"    // a task has started
	Completed State = "Completed" // all tasks have ended as done
	Failed    State = "Failed"    // a task or a gang has failed as often as its queue allows
	Canceled  State = "Canceled"
)

// Final reports whether a job in this state runs nothing more.
func (s State) Final() bool { return s == Completed || s == Failed || s == Canceled }

// Job is what a caller submits, with the queue and the team that it came for.
type Job struct {
	ID          ID     `json:"ID"`
	Queue       string `json:"Queue"`
	Team        string `json:"Team,omitempty"`
	Spec        string `json:"Spec,omitempty"`
	Steps       []Step `json:"Steps"`
	Occurrences int    `json:"Occurrences,omitempty"` // times that the steps run; 0: once, at once
	StartAtMS   int64  `json:"StartAtMS,omitempty"`   // Unix time of the first occurrence
	IntervalMS  int64  `json:"IntervalMS,omitempty"`  // between occurrences
	AcceptedMS  int64  `json:"AcceptedMS,omitempty"`  // Unix time of the admission
}

// Step is a number of equal tasks of a job.
type Step struct {
	Tasks          int                `json:"Tasks"`
	Size           ibiswork.Resources `json:"Size"`
	EstimateMS     int64              `json:"EstimateMS,omitempty"` // rough duration of a task
	DependsOn      []int              `json:"DependsOn,omitempty"`  // earlier steps that must be done first
	Checkpointing  bool               `json:"Checkpointing,omitempty"`
	Gang           bool               `json:"Gang,omitempty"`           // the tasks run only together
	Colocated      bool               `json:"Colocated,omitempty"`      // faster on one rack
	Label          string             `json:"Label,omitempty"`          // that a backend server must have
	Rack           string             `json:"Rack,omitempty"`           // where the data are
	MaxPerServer   int                `json:"MaxPerServer,omitempty"`   // tasks on one backend server; 0: any number
	Speculative    bool               `json:"Speculative,omitempty"`    // copies may run in parallel
	LongRunning    bool               `json:"LongRunning,omitempty"`    // runs until the job is canceled
	Image          string             `json:"Image,omitempty"`          // what the tasks run
	TailGoalMS     int64              `json:"TailGoalMS,omitempty"`     // bound of the tail latency of a service
	Filler         bool               `json:"Filler,omitempty"`         // uses capacity that others leave idle
	MaxUnavailable int                `json:"MaxUnavailable,omitempty"` // tasks that may be away through disruptions
}

// Check reports the first field that is out of bounds.
func (j *Job) Check() error {
	if err := j.ID.Check(); err != nil {
		return err
	}
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return Error.New("the specification has %d bytes; at most %d are allowed", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return Error.New("%d steps; 1 to %d are allowed", len(j.Steps), MaxSteps)
	case j.Occurrences < 0 || j.IntervalMS < 0 || j.StartAtMS < 0:
		return Error.New("the times of the occurrences are negative")
	}
	tasks := 0
	for n := range j.Steps {
		if err := j.Steps[n].check(n); err != nil {
			return err
		}
		tasks += j.Steps[n].Tasks
	}
	if tasks > MaxTasks {
		return Error.New("%d tasks; at most %d are allowed", tasks, MaxTasks)
	}
	return nil
}

func (s *Step) check(n int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return Error.New("step %d has %d tasks", n, s.Tasks)
	}
	if err := s.Size.Check(); err != nil {
		return Error.Wrap(err)
	}
	if s.EstimateMS < 0 || s.MaxPerServer < 0 || s.TailGoalMS < 0 || s.MaxUnavailable < 0 {
		return Error.New("step %d has a negative field", n)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= n {
			return Error.New("step %d depends on step %d, which is not an earlier one", n, d)
		}
	}
	return nil
}

// RunsOnce reports whether the job has no occurrences in time.
func (j *Job) RunsOnce() bool { return j.Occurrences == 0 }

// CriticalPathMS is the longest chain of estimated work of one occurrence.
func (j *Job) CriticalPathMS() int64 {
	ends := make([]int64, len(j.Steps))
	longest := int64(0)
	for n, s := range j.Steps {
		begin := int64(0)
		for _, d := range s.DependsOn {
			begin = max(begin, ends[d])
		}
		ends[n] = begin + s.EstimateMS
		longest = max(longest, ends[n])
	}
	return longest
}

// StepName names one step of one occurrence.
type StepName struct {
	Job        ID
	Occurrence int
	Step       int
}

// String is the name under which backend servers and the advice service know the step.
func (n StepName) String() string { return fmt.Sprintf("%s.%d.%d", n.Job, n.Occurrence, n.Step) }
