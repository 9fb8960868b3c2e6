// Package ibiswork holds the domain types that callers, daemons and backend servers exchange:
// requests, their resources, answers and refusals.
//
// Every type carries its wire tags and checks itself when it is decoded, so that a value read from
// JSON or CBOR is valid once decoding has succeeded.
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

// Bounds on the fields of a request.
const (
	MaxNameBytes    = 64
	MaxPayloadBytes = 8 << 20
	MaxGangTasks    = 1024
	MaxDeadlineMS   = 30 * 24 * 3600 * 1000
)

// Class selects the policy under which a request is scheduled.
type Class string

// The classes of work.
const (
	Service     Class = "Service"
	Batch       Class = "Batch"
	Gang        Class = "Gang"
	Interactive Class = "Interactive"
)

// Classes lists every class in order of urgency, the most urgent first.
var Classes = []Class{Interactive, Service, Gang, Batch}

// Valid reports whether c is a known class.
func (c Class) Valid() bool {
	switch c {
	case Service, Batch, Gang, Interactive:
		return true
	}
	return false
}

// Durable reports whether accepted work of this class is kept until it has ended, whatever daemons do.
func (c Class) Durable() bool { return c != Interactive }

// Request is one unit of work that a caller submits.
type Request struct {
	ID         ID        `json:"ID"`
	Team       string    `json:"Team,omitempty"`  // from the key, or empty in an open queue
	Queue      string    `json:"Queue,omitempty"` // an open queue, when no key is presented
	Class      Class     `json:"Class"`
	Kind       string    `json:"Kind,omitempty"` // groups requests whose sizes resemble each other
	Resources  Resources `json:"Resources"`      // of one task
	Tasks      int       `json:"Tasks,omitempty"`
	RunTimeMS  int64     `json:"RunTimeMS,omitempty"`  // declared run time
	DeadlineMS int64     `json:"DeadlineMS,omitempty"` // from submission to the latest useful answer
	Idempotent bool      `json:"Idempotent,omitempty"`
	Urgent     bool      `json:"Urgent,omitempty"`
	Payload    []byte    `json:"Payload,omitempty"`
}

// Durable reports whether the request is journalled before it is acknowledged.
func (r Request) Durable() bool { return r.Class.Durable() || !r.Idempotent }

// TaskCount is the number of tasks that the request needs at once.
func (r Request) TaskCount() int {
	if r.Tasks < 1 {
		return 1
	}
	return r.Tasks
}

// Total is the resources of all tasks of the request together.
func (r Request) Total() Resources { return r.Resources.Times(int64(r.TaskCount())) }

// Check reports every fault of the request at once.
func (r Request) Check() error {
	var bad []string
	add := func(format string, args ...any) { bad = append(bad, fmt.Sprintf(format, args...)) }
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
	if len(bad) > 0 {
		return Error.New("%s", strings.Join(bad, "; "))
	}
	return nil
}

// Outcome is how a request ended.
type Outcome string

// The outcomes of a request that was accepted.
const (
	Done      Outcome = "Done"
	Failed    Outcome = "Failed"
	Cancelled Outcome = "Cancelled"
)

// Answer is the whole answer to one request.
type Answer struct {
	ID       ID      `json:"ID"`
	Outcome  Outcome `json:"Outcome"`
	Result   []byte  `json:"Result,omitempty"`
	Error    string  `json:"Error,omitempty"`
	Server   string  `json:"Server,omitempty"` // the backend server that ran the last attempt
	Attempts int     `json:"Attempts"`
	WaitMS   int64   `json:"WaitMS"` // from acceptance to the start of the last attempt
	RunMS    int64   `json:"RunMS"`
}

// Stage tells how far an accepted request has come.
type Stage string

// The stages of an accepted request.
const (
	Queued  Stage = "Queued"
	Running Stage = "Running"
	Ended   Stage = "Ended"
)

// Status is what is known of a request at one moment. Answer is set once Stage is Ended.
type Status struct {
	ID     ID      `json:"ID"`
	Stage  Stage   `json:"Stage"`
	Answer *Answer `json:"Answer,omitempty"`
}
