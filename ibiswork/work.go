// Package ibiswork defines the domain types that callers, daemons and backend servers exchange: requests,
// their resources, answers and refusals. Nearly all other packages use them.
//
// The types carry their wire tags. A request is checked when it is decoded, so that a request read from JSON
// or CBOR is valid once decoding has succeeded.
//
// Usage:
//
//	req := ibiswork.Request{
//		ID:        ibiswork.NewID(),
//		Team:      "tuul-floor",
//		Class:     ibiswork.Interactive,
//		Resources: ibiswork.Resources{MilliCPU: 500, MemoryMB: 256, Slots: 1},
//	}
//	if err := req.Check(); err != nil {
//		return err
//	}
package ibiswork

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("work")

// Upper limits of the fields of a request.
const (
	MaxNameBytes    = 64
	MaxPayloadBytes = 8 << 20 // 8 MiB
	MaxGangTasks    = 1024
	MaxDeadlineMS   = 30 * 24 * 3600 * 1000 // 30 days
)

// Class selects the scheduling policy of a request.
type Class string

// The classes of work.
const (
	Service     Class = "Service"
	Batch       Class = "Batch"
	Gang        Class = "Gang"
	Interactive Class = "Interactive"
)

// Classes lists every class, the most urgent first.
var Classes = []Class{Interactive, Service, Gang, Batch}

// Valid reports whether c is a known class.
func (c Class) Valid() bool {
	switch c {
	case Service, Batch, Gang, Interactive:
		return true
	}
	return false
}

// Durable reports whether accepted work of this class survives failures of daemons until it has ended.
func (c Class) Durable() bool { return c != Interactive }

// Request is one unit of work that a caller submits.
type Request struct {
	ID         ID        `json:"ID"`
	Team       string    `json:"Team,omitempty"`  // set from the API key; empty in an open queue
	Queue      string    `json:"Queue,omitempty"` // open queue, for requests without an API key
	Class      Class     `json:"Class"`
	Kind       string    `json:"Kind,omitempty"`       // requests of one kind have similar resources and run times
	Resources  Resources `json:"Resources"`            // required by one task
	Tasks      int       `json:"Tasks,omitempty"`      // of a Gang; 0 means 1
	RunTimeMS  int64     `json:"RunTimeMS,omitempty"`  // run time as declared by the caller; 0 if not declared
	DeadlineMS int64     `json:"DeadlineMS,omitempty"` // from submission to the latest useful answer; 0 if not given
	Idempotent bool      `json:"Idempotent,omitempty"`
	Urgent     bool      `json:"Urgent,omitempty"`
	Payload    []byte    `json:"Payload,omitempty"`
}

// Durable reports whether the request is written to the journal before it is acknowledged.
func (r Request) Durable() bool { return r.Class.Durable() || !r.Idempotent }

// TaskCount returns the number of tasks that run at the same time; at least 1.
func (r Request) TaskCount() int {
	if r.Tasks < 1 {
		return 1
	}
	return r.Tasks
}

// Total returns the resources of all tasks of the request together.
func (r Request) Total() Resources { return r.Resources.Times(int64(r.TaskCount())) }

// Check returns one error that lists every invalid field of the request.
func (r Request) Check() error {
	var faults []string
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if err := r.ID.Check(); err != nil {
		add("ID: %v", err)
	}
	if !r.Class.Valid() {
		add("Class: %q is not one of Service, Batch, Gang, Interactive", string(r.Class))
	}
	for _, f := range []struct{ name, value string }{{"Team", r.Team}, {"Queue", r.Queue}, {"Kind", r.Kind}} {
		if len(f.value) > MaxNameBytes {
			add("%s: longer than %d bytes", f.name, MaxNameBytes)
		}
	}
	if err := r.Resources.Check(); err != nil {
		add("Resources: %v", err)
	}
	if r.Tasks < 0 || r.Tasks > MaxGangTasks {
		add("Tasks: %d is outside 0 to %d", r.Tasks, MaxGangTasks)
	}
	if r.Tasks > 1 && r.Class != Gang {
		add("Tasks: only a Gang has more than one task")
	}
	if r.RunTimeMS < 0 || r.RunTimeMS > MaxDeadlineMS {
		add("RunTimeMS: %d is outside 0 to %d", r.RunTimeMS, int64(MaxDeadlineMS))
	}
	if r.DeadlineMS < 0 || r.DeadlineMS > MaxDeadlineMS {
		add("DeadlineMS: %d is outside 0 to %d", r.DeadlineMS, int64(MaxDeadlineMS))
	}
	if len(r.Payload) > MaxPayloadBytes {
		add("Payload: longer than %d bytes", MaxPayloadBytes)
	}
	if len(faults) > 0 {
		return Error.New("%s", strings.Join(faults, "; "))
	}
	return nil
}

// Outcome is the final result of an accepted request.
type Outcome string

// The outcomes of an accepted request.
const (
	Done      Outcome = "Done"
	Failed    Outcome = "Failed"
	Cancelled Outcome = "Cancelled"
)

// Answer is the answer to an accepted request that has ended. For a gang, Result is a JSON array of the results
// by task index, and Error, Server and RunMS are those of a task with the worst outcome.
type Answer struct {
	ID       ID      `json:"ID"`
	Outcome  Outcome `json:"Outcome"`
	Result   []byte  `json:"Result,omitempty"`
	Error    string  `json:"Error,omitempty"`
	Server   string  `json:"Server,omitempty"` // the backend server of the last attempt
	Attempts int     `json:"Attempts"`
	WaitMS   int64   `json:"WaitMS"` // from acceptance to the first start
	RunMS    int64   `json:"RunMS"`
}

// Stage is the progress of an accepted request.
type Stage string

// The stages of an accepted request.
const (
	Queued  Stage = "Queued"
	Running Stage = "Running"
	Ended   Stage = "Ended"
)

// Status is the state of an accepted request at one moment. Answer is set once Stage is Ended.
type Status struct {
	ID     ID      `json:"ID"`
	Stage  Stage   `json:"Stage"`
	Answer *Answer `json:"Answer,omitempty"`
}
