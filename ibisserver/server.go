// Package ibisserver defines the interface of a backend server and implements a client of it, over HTTP with
// JSON, as the simulated servers of ibisstandin serve it. It also reads the platform's list of VMs. Package
// ibisowner calls backend servers through it.
//
// A backend server is authoritative for its own capacity and for the tasks that it runs. It takes orders from
// one owner at a time, the daemon that claimed it with the highest epoch; calls with a lower epoch are fenced.
// All times are in milliseconds of the server's own clock, and the reply to any call carries a reading of it.
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
	// Error is the class of all other errors of this package.
	Error = errs.Class("backend server")
	// Fenced is the class of calls refused because an owner has claimed the server with a higher epoch; they had
	// no effect.
	Fenced = errs.Class("backend server fenced")
	// Rejected is the class of calls that the server refused for a stated Reason; they had no effect.
	Rejected = errs.Class("backend server rejected")
	// Unreachable is the class of calls of which nothing was sent.
	Unreachable = errs.Class("backend server unreachable")
	// Unknown is the class of calls that were sent and got no reply; they may have taken effect.
	Unknown = errs.Class("backend server outcome unknown")
)

// TaskID identifies one attempt at one task. Index numbers the tasks of a gang from zero; Attempt starts at one.
type TaskID struct {
	Request ibiswork.ID `json:"Request"`
	Index   int         `json:"Index,omitempty"`
	Attempt int         `json:"Attempt"`
}

// Task describes a task for the server that is to run it. RunTimeMS is its declared run time in milliseconds.
type Task struct {
	ID        TaskID             `json:"ID"`
	Team      string             `json:"Team"`
	Class     ibiswork.Class     `json:"Class"`
	Kind      string             `json:"Kind,omitempty"`
	Resources ibiswork.Resources `json:"Resources"`
	RunTimeMS int64              `json:"RunTimeMS,omitempty"`
	Payload   []byte             `json:"Payload,omitempty"`
	Note      []byte             `json:"Note,omitempty"` // opaque data of the owner, returned in every Record
}

// State is the state of a task on a server.
type State string

// The states of a task on a server. All but Running are final.
const (
	Running State = "Running"
	Done    State = "Done"
	Failed  State = "Failed"
	Stopped State = "Stopped" // by the owner
	Expired State = "Lapsed"  // its lease expired
)

// Record is a server's record of one task. Records of ended tasks are kept for at least RecordRetentionMS, or
// until the owner forgets them.
type Record struct {
	Task       Task               `json:"Task"` // without the payload
	State      State              `json:"State"`
	StartedAt  int64              `json:"StartedAt"`
	EndedAt    int64              `json:"EndedAt,omitempty"`
	LeaseEnd   int64              `json:"LeaseEnd"`
	Usage      ibiswork.Resources `json:"Usage"` // as measured, some time ago
	Result     []byte             `json:"Result,omitempty"`
	Error      string             `json:"Error,omitempty"`
	Checkpoint []byte             `json:"Checkpoint,omitempty"`
	Throttled  bool               `json:"Throttled,omitempty"`
	Seq        int64              `json:"Seq"` // of the record's last change; see PollRequest.After
}

// RecordRetentionMS is the least time, in milliseconds, that a server keeps the record of an ended task, unless
// its owner forgets it.
const RecordRetentionMS = 15 * 60 * 1000

// ClaimRequest makes the caller the owner if Epoch is higher than any epoch that the server has seen, or equal
// to the highest one and from the same Owner.
type ClaimRequest struct {
	Epoch int64  `json:"Epoch"`
	Owner string `json:"Owner"`
}

// ClaimReply is the server's capacity and all of its records.
type ClaimReply struct {
	Clock         int64              `json:"Clock"`
	Epoch         int64              `json:"Epoch"` // the highest seen, also with a Fenced error
	Server        string             `json:"Server"`
	FailureDomain string             `json:"FailureDomain"`
	Rack          string             `json:"Rack"`
	Capacity      ibiswork.Resources `json:"Capacity"`
	Records       []Record           `json:"Records"`
	Seq           int64              `json:"Seq"` // of the server's last change of a record
}

// StartRequest starts a task, unless StartBy has passed, the epoch is fenced, or the server already has a record
// of the same TaskID. In the last case nothing is started and the reply carries that record.
type StartRequest struct {
	Epoch    int64 `json:"Epoch"`
	Task     Task  `json:"Task"`
	StartBy  int64 `json:"StartBy"`
	LeaseEnd int64 `json:"LeaseEnd"`
}

// Lease sets the end of one task's lease. An earlier end than the present one has no effect.
type Lease struct {
	ID  TaskID `json:"ID"`
	End int64  `json:"End"`
}

// RenewRequest renews leases.
type RenewRequest struct {
	Epoch  int64   `json:"Epoch"`
	Leases []Lease `json:"Leases"`
}

// Action is what Control does to a task.
type Action string

// The actions of Control.
const (
	Stop       Action = "Stop"
	Checkpoint Action = "Checkpoint" // save the progress and continue
	Throttle   Action = "Throttle"   // limit the task to its declared resources
	Forget     Action = "Forget"     // drop the record of an ended task
)

// ControlRequest applies one action to some tasks. Stopping a task that the server has no record of creates a
// Stopped record, so that a start that arrives later has no effect.
type ControlRequest struct {
	Epoch  int64    `json:"Epoch"`
	Action Action   `json:"Action"`
	Tasks  []TaskID `json:"Tasks"`
}

// PollRequest waits for a record with a Seq above After, for at most WaitMS milliseconds.
type PollRequest struct {
	Epoch  int64 `json:"Epoch"`
	After  int64 `json:"After"`
	WaitMS int64 `json:"WaitMS"`
}

// Reply is the common reply: a clock reading and the records concerned.
type Reply struct {
	Clock   int64    `json:"Clock"`
	Seq     int64    `json:"Seq"` // of the server's last change; from Poll, that up to which Records is complete
	Records []Record `json:"Records,omitempty"`
}

// Server is a backend server. Errors of its calls are of the classes Fenced, Rejected, Unreachable or Unknown.
type Server interface {
	Claim(ctx context.Context, r ClaimRequest) (ClaimReply, error)
	Start(ctx context.Context, r StartRequest) (Reply, error)
	Renew(ctx context.Context, r RenewRequest) (Reply, error)
	Control(ctx context.Context, r ControlRequest) (Reply, error)
	Poll(ctx context.Context, r PollRequest) (Reply, error)
}
