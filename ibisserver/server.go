// Package ibisserver is the project's view of a backend server: the one small interface behind which
// everything that is asked of it stands, and a client of the HTTP interface that our stand-in serves.
//
// A backend server is the authority on its own capacity and on the tasks that it runs. It obeys one
// owner at a time, the one with the highest epoch it has seen. All times are in its own clock, in
// milliseconds; a reply to any call carries a reading of that clock.
//
// Usage:
//
//	s, stop := ibisserver.NewClient("10.0.0.7:9000")
//	defer stop()
//	c, err := s.Claim(ctx, ibisserver.ClaimRequest{Epoch: 4, Owner: "i-17"})
//	_, err = s.Start(ctx, ibisserver.StartRequest{Epoch: 4, Task: t, StartBy: c.Clock + 2000, LeaseEnd: c.Clock + 10000})
package ibisserver

import (
	"context"

	"github.com/zeebo/errs"

	"ibiscrank/ibiswork"
)

// Error classes of a backend server.
var (
	// Error is the class of errors of this package that no other class names.
	Error = errs.Class("backend server")
	// Fenced says that the server obeys an owner with a higher epoch; nothing was done.
	Fenced = errs.Class("backend server fenced")
	// Rejected says that the server refused a call for a stated reason; nothing was done.
	Rejected = errs.Class("backend server rejected")
	// Unreachable says that nothing was sent.
	Unreachable = errs.Class("backend server unreachable")
	// Unknown says that the call was sent and no reply came; it may have taken effect.
	Unknown = errs.Class("backend server outcome unknown")
)

// TaskID names one attempt at one task. Index counts the tasks of a gang from zero, Attempt from one.
type TaskID struct {
	Request ibiswork.ID `json:"Request"`
	Index   int         `json:"Index,omitempty"`
	Attempt int         `json:"Attempt"`
}

// Task is what a server needs to know in order to run one.
type Task struct {
	ID        TaskID             `json:"ID"`
	Team      string             `json:"Team"`
	Class     ibiswork.Class     `json:"Class"`
	Kind      string             `json:"Kind,omitempty"`
	Resources ibiswork.Resources `json:"Resources"`
	RunTimeMS int64              `json:"RunTimeMS,omitempty"`
	Payload   []byte             `json:"Payload,omitempty"`
	Note      []byte             `json:"Note,omitempty"` // the owner's, given back unread in every Record
}

// State is the state of a task on a server.
type State string

// The states of a task on a server. Every state but Running is final.
const (
	Running State = "Running"
	Done    State = "Done"
	Failed  State = "Failed"
	Stopped State = "Stopped" // by its owner
	Lapsed  State = "Lapsed"  // its lease ended
)

// Record is what a server says of one task. Ended tasks stay on record for RecordRetentionMS at least,
// or until the owner forgets them.
type Record struct {
	Task       Task               `json:"Task"` // without the payload
	State      State              `json:"State"`
	StartedAt  int64              `json:"StartedAt"`
	EndedAt    int64              `json:"EndedAt,omitempty"`
	LeaseEnd   int64              `json:"LeaseEnd"`
	Usage      ibiswork.Resources `json:"Usage"` // as measured, with a lag
	Result     []byte             `json:"Result,omitempty"`
	Error      string             `json:"Error,omitempty"`
	Checkpoint []byte             `json:"Checkpoint,omitempty"`
	Throttled  bool               `json:"Throttled,omitempty"`
	Seq        int64              `json:"Seq"` // of the record's last change, as in Poll
}

// RecordRetentionMS is how long a server keeps the record of an ended task that nobody has forgotten.
const RecordRetentionMS = 15 * 60 * 1000

// ClaimRequest makes the caller the owner when Epoch is above every epoch that the server has seen, or
// equal to the highest and from the same Owner.
type ClaimRequest struct {
	Epoch int64  `json:"Epoch"`
	Owner string `json:"Owner"`
}

// ClaimReply is the server's capacity and all of its records.
type ClaimReply struct {
	Clock         int64              `json:"Clock"`
	Epoch         int64              `json:"Epoch"` // the highest seen, also when Fenced
	Server        string             `json:"Server"`
	FailureDomain string             `json:"FailureDomain"`
	Rack          string             `json:"Rack"`
	Capacity      ibiswork.Resources `json:"Capacity"`
	Records       []Record           `json:"Records"`
	Seq           int64              `json:"Seq"`
}

// StartRequest starts a task, unless StartBy has passed, the epoch is fenced, or the server already has
// a record of the same TaskID (in which case the reply carries that record and nothing is started).
type StartRequest struct {
	Epoch    int64 `json:"Epoch"`
	Task     Task  `json:"Task"`
	StartBy  int64 `json:"StartBy"`
	LeaseEnd int64 `json:"LeaseEnd"`
}

// Lease is the end of one task's lease. An end before the present one changes nothing.
type Lease struct {
	ID  TaskID `json:"ID"`
	End int64  `json:"End"`
}

// RenewRequest extends leases.
type RenewRequest struct {
	Epoch  int64   `json:"Epoch"`
	Leases []Lease `json:"Leases"`
}

// Action is what Control does to a task.
type Action string

// The actions of Control.
const (
	Stop       Action = "Stop"
	Checkpoint Action = "Checkpoint" // record the progress and go on
	Throttle   Action = "Throttle"   // hold the task to its declared size
	Forget     Action = "Forget"     // drop the record of an ended task
)

// ControlRequest applies one action to some tasks. Stopping a task that the server has no record of
// leaves a Stopped record, so that a start that is still under way is refused.
type ControlRequest struct {
	Epoch  int64    `json:"Epoch"`
	Action Action   `json:"Action"`
	Tasks  []TaskID `json:"Tasks"`
}

// PollRequest waits at most WaitMS for a record with a Seq above After.
type PollRequest struct {
	Epoch  int64 `json:"Epoch"`
	After  int64 `json:"After"`
	WaitMS int64 `json:"WaitMS"`
}

// Reply is the common reply: a clock reading and the records concerned.
type Reply struct {
	Clock   int64    `json:"Clock"`
	Seq     int64    `json:"Seq"`
	Records []Record `json:"Records,omitempty"`
}

// Server is all that is asked of a backend server.
type Server interface {
	Claim(ctx context.Context, r ClaimRequest) (ClaimReply, error)
	Start(ctx context.Context, r StartRequest) (Reply, error)
	Renew(ctx context.Context, r RenewRequest) (Reply, error)
	Control(ctx context.Context, r ControlRequest) (Reply, error)
	Poll(ctx context.Context, r PollRequest) (Reply, error)
}
