// Package ibisjob defines the domain types of jobs: their steps and states, and the queues, teams and
// services that they refer to. The scheduling engine, package ibiscell, and the daemons that run it, package
// ibisnode, work on them.
//
// A job is a graph of steps, and a step is a number of equal tasks. A step whose tasks must run at the same time
// is a gang. One execution of all steps is an occurrence: a job has one occurrence, or several at fixed times.
//
// Values decoded from a request body or from a journal row must be validated with Check before they are used.
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

// Limits on the fields of a job.
const (
	MaxSpecBytes = 4000   // length of the specification in bytes
	MaxSteps     = 256    // steps of a job
	MaxTasks     = 10_000 // tasks of all steps of a job together
	MaxBytes     = 60_000 // encoded size of a job, by EncodedBytes, which has to fit into one row of the table service
	idDigits     = 16     // hexadecimal digits of an ID
)

// ID identifies a job. It is chosen by the caller and has 16 hexadecimal digits.
type ID string

// Check returns an error unless id has 16 hexadecimal digits.
func (id ID) Check() error {
	if len(id) != idDigits {
		return Error.New("ID %.20q does not have %d hexadecimal digits", string(id), idDigits)
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return Error.New("ID %q is not hexadecimal", string(id))
		}
	}
	return nil
}

// State is the state of a job as reported to callers.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "Queued"    // no task has started
	Active    State = "Active"    // a task has started
	Completed State = "Completed" // all tasks have succeeded
	Failed    State = "Failed"    // a task or a gang has failed as often as its queue allows
	Canceled  State = "Canceled"
)

// Final reports whether s is a final state, in which no more tasks are started.
func (s State) Final() bool { return s == Completed || s == Failed || s == Canceled }

// Job is a job as submitted by a caller, with the queue and the team that it belongs to.
type Job struct {
	ID          ID     `json:"ID"`
	Queue       string `json:"Queue"`
	Team        string `json:"Team,omitempty"`
	Spec        string `json:"Spec,omitempty"`
	Steps       []Step `json:"Steps"`
	Occurrences int    `json:"Occurrences,omitempty"` // number of times that the steps run; 0: once, immediately
	StartAtMS   int64  `json:"StartAtMS,omitempty"`   // Unix time of the first occurrence
	IntervalMS  int64  `json:"IntervalMS,omitempty"`  // time between the starts of occurrences
	AcceptedMS  int64  `json:"AcceptedMS,omitempty"`  // Unix time of acceptance, set by the leader
}

// Step is a number of equal tasks of a job.
type Step struct {
	Tasks          int                `json:"Tasks"`
	Size           ibiswork.Resources `json:"Size"`
	EstimateMS     int64              `json:"EstimateMS,omitempty"` // estimated duration of a task
	DependsOn      []int              `json:"DependsOn,omitempty"`  // indexes of earlier steps that must be done first
	Checkpointing  bool               `json:"Checkpointing,omitempty"`
	Gang           bool               `json:"Gang,omitempty"`           // all tasks run at the same time or none does
	Colocated      bool               `json:"Colocated,omitempty"`      // runs faster with all tasks on one rack
	Label          string             `json:"Label,omitempty"`          // label that a backend server must have
	Rack           string             `json:"Rack,omitempty"`           // preferred rack, on which the data are stored
	MaxPerServer   int                `json:"MaxPerServer,omitempty"`   // tasks per backend server; 0: no limit
	Speculative    bool               `json:"Speculative,omitempty"`    // copies of a task may run in parallel
	LongRunning    bool               `json:"LongRunning,omitempty"`    // runs until the job is canceled
	Image          string             `json:"Image,omitempty"`          // image that the tasks run
	TailGoalMS     int64              `json:"TailGoalMS,omitempty"`     // bound of a service's tail latency
	Filler         bool               `json:"Filler,omitempty"`         // uses capacity that other work leaves idle
	MaxUnavailable int                `json:"MaxUnavailable,omitempty"` // tasks that disruptions may keep down at once
}

// Check returns an error for the first field that is out of bounds.
func (j *Job) Check() error {
	if err := j.ID.Check(); err != nil {
		return err
	}
	switch {
	case len(j.Spec) > MaxSpecBytes:
		return Error.New("the specification has %d bytes; at most %d are allowed", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return Error.New("the job has %d steps; 1 to %d are allowed", len(j.Steps), MaxSteps)
	case j.Occurrences < 0 || j.IntervalMS < 0 || j.StartAtMS < 0:
		return Error.New("Occurrences (%d), StartAtMS (%d) and IntervalMS (%d) must not be negative", j.Occurrences, j.StartAtMS, j.IntervalMS)
	}
	if n := j.EncodedBytes(); n > MaxBytes {
		return Error.New("the job takes about %d bytes; at most %d are allowed", n, MaxBytes)
	}
	tasks := 0
	for n := range j.Steps {
		if err := j.Steps[n].check(n); err != nil {
			return err
		}
		tasks += j.Steps[n].Tasks
	}
	if tasks > MaxTasks {
		return Error.New("the job has %d tasks; at most %d are allowed", tasks, MaxTasks)
	}
	return nil
}

// Upper bounds of encoded sizes, in bytes.
const (
	jobBytes        = 160 // a job without its texts and steps
	stepBytes       = 120 // the fields Tasks, Size and EstimateMS of a step
	flagBytes       = 16  // a flag that is set
	numberBytes     = 24  // any other number
	textBytes       = 8   // a text without its content
	dependencyBytes = 3   // one dependency
)

// EncodedBytes returns an upper bound of the encoded size of j.
func (j *Job) EncodedBytes() int {
	n := jobBytes + len(j.Queue) + len(j.Team) + len(j.Spec)
	for k := range j.Steps {
		n += j.Steps[k].encodedBytes()
	}
	return n
}

func (s *Step) encodedBytes() int {
	n := stepBytes
	for _, set := range [...]bool{s.Checkpointing, s.Gang, s.Colocated, s.Speculative, s.LongRunning, s.Filler} {
		if set {
			n += flagBytes
		}
	}
	for _, v := range [...]int64{int64(s.MaxPerServer), s.TailGoalMS, int64(s.MaxUnavailable)} {
		if v != 0 {
			n += numberBytes
		}
	}
	for _, text := range [...]string{s.Label, s.Rack, s.Image} {
		if text != "" {
			n += textBytes + len(text)
		}
	}
	if len(s.DependsOn) > 0 {
		n += numberBytes + dependencyBytes*len(s.DependsOn)
	}
	return n
}

func (s *Step) check(n int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return Error.New("step %d has %d tasks; 1 to %d are allowed", n, s.Tasks, MaxTasks)
	}
	if err := s.Size.Check(); err != nil {
		return Error.New("step %d: %w", n, err)
	}
	if s.EstimateMS < 0 || s.MaxPerServer < 0 || s.TailGoalMS < 0 || s.MaxUnavailable < 0 {
		return Error.New("step %d: EstimateMS (%d), MaxPerServer (%d), TailGoalMS (%d) and MaxUnavailable (%d) must not be negative",
			n, s.EstimateMS, s.MaxPerServer, s.TailGoalMS, s.MaxUnavailable)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= n {
			return Error.New("step %d depends on step %d, which is not an earlier step", n, d)
		}
	}
	return nil
}

// RunsOnce reports whether the steps run only once, immediately.
func (j *Job) RunsOnce() bool { return j.Occurrences == 0 }

// StepName identifies one step of one occurrence.
type StepName struct {
	Job        ID
	Occurrence int
	Step       int
}

// String returns the name of the step as used by backend servers and the advice service.
func (n StepName) String() string { return fmt.Sprintf("%s.%d.%d", n.Job, n.Occurrence, n.Step) }
