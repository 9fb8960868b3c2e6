// Package ibiswire defines the messages that daemons exchange, above all those between the holder of a
// request shard and the owners of backend servers. Packages ibisholder, ibisowner, ibispeer, ibisroute and
// ibisdaemon exchange them through package ibisrpc.
//
// A request shard is a partition of the request IDs; one daemon, its holder, keeps the requests of a shard
// under an epoch that grows with each new holder. An owner is a daemon that has claimed backend servers and
// runs tasks on them. An attempt is one try at running all tasks of a request.
//
// A holder's messages that place, start, release or locate work carry its shard and epoch as a fencing token:
// an owner that knows a higher epoch of the shard refuses them, so that a stale holder, for example one that
// was paused and replaced, can place no work.
//
// Usage:
//
//	req := ibiswire.PlaceRequest{From: ibiswire.Holder{Shard: 3, Epoch: 9, Incarnation: self}, Request: r, Attempt: 1}
//	reply, err := ibisrpc.Call[ibiswire.PlaceReply](ctx, pool, addr, ibiswire.MethodPlace, &req)
package ibiswire

import (
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

// Names of the gRPC methods.
const (
	MethodSubmit      = "Submit"
	MethodStatus      = "Status"
	MethodCancel      = "Cancel"
	MethodCancelQueue = "CancelQueue"
	MethodPlace       = "Place"
	MethodStart       = "Start"
	MethodRelease     = "Release"
	MethodLocate      = "Locate"
	MethodReport      = "Report"
	MethodHeartbeat   = "Heartbeat"
	MethodServers     = "Servers"
	MethodShardsMoved = "ShardsMoved"
	MethodSettle      = "Settle"
	MethodSnapshot    = "Snapshot"
	MethodBurn        = "Burn"
)

// Holder identifies the holder of a shard at one epoch by its incarnation, that is one start of a daemon.
type Holder struct {
	Shard       int    `json:"Shard"`
	Epoch       int64  `json:"Epoch"`
	Incarnation string `json:"Incarnation"`
}

// SubmitRequest submits a request to the holder of its shard and waits at most WaitMS for its end. Fresh means
// that the ID was generated for this submission, so that no earlier one with the same ID can exist.
type SubmitRequest struct {
	Request ibiswork.Request `json:"Request"`
	Fresh   bool             `json:"Fresh,omitempty"`
	WaitMS  int64            `json:"WaitMS"`
}

// StatusRequest asks for the status of one request and waits at most WaitMS for its end.
type StatusRequest struct {
	ID     ibiswork.ID `json:"ID"`
	Team   string      `json:"Team,omitempty"`
	WaitMS int64       `json:"WaitMS,omitempty"`
}

// CancelQueueRequest cancels every queued request of a team at one holder.
type CancelQueueRequest struct {
	Team string `json:"Team"`
}

// CancelQueueReply returns the number of requests that were cancelled.
type CancelQueueReply struct {
	Cancelled int `json:"Cancelled"`
}

// PlaceRequest asks an owner for places for one attempt at a request. With Intent the places are only reserved
// and a StartRequest follows; without it the tasks are started at once. Partial allows the owner to reserve
// fewer places than requested; it releases them unless the call is repeated in time. Pin keeps the places of
// a Partial request from being preempted by an older gang once all of them are reserved.
type PlaceRequest struct {
	From     Holder           `json:"From"`
	Request  ibiswork.Request `json:"Request"`
	Attempt  int              `json:"Attempt"`
	Intent   bool             `json:"Intent,omitempty"`
	Partial  bool             `json:"Partial,omitempty"`
	Pin      bool             `json:"Pin,omitempty"`
	Indexes  []int            `json:"Indexes,omitempty"` // tasks of a gang to place; all when empty
	Avoid    []string         `json:"Avoid,omitempty"`   // backend servers where the request failed before
	WaitMS   int64            `json:"WaitMS"`
	WaitedMS int64            `json:"WaitedMS,omitempty"` // time waited before this call
}

// PlaceState is the progress of a PlaceRequest.
type PlaceState string

// The states of a PlaceRequest.
const (
	Waiting  PlaceState = "Waiting"  // queued at the owner; repeat the call to stay in the queue
	Reserved PlaceState = "Reserved" // places are reserved for a limited time
	Started  PlaceState = "Started"  // starts of the tasks have been sent, and not all have failed
)

// Place assigns the task with this index to a backend server.
type Place struct {
	Index  int    `json:"Index"`
	Server string `json:"Server"`
}

// PlaceReply is the reply to a PlaceRequest.
type PlaceReply struct {
	State  PlaceState `json:"State"`
	Places []Place    `json:"Places,omitempty"`
}

// StartRequest starts the tasks that were reserved for an attempt.
type StartRequest struct {
	From    Holder      `json:"From"`
	ID      ibiswork.ID `json:"ID"`
	Attempt int         `json:"Attempt"`
	Indexes []int       `json:"Indexes"` // tasks that have places at this owner, as far as the holder knows
}

// StartReply is the reply to a StartRequest. Started means that starts of all tasks have been sent and none is
// known to have failed, NotStarted that no task has been started. With neither, either the outcome is unknown,
// or at least one task certainly was not started and the others are stopped.
type StartReply struct {
	Started    bool   `json:"Started"`
	NotStarted bool   `json:"NotStarted"` // no task has been started, nor will be in this attempt
	Error      string `json:"Error,omitempty"`
}

// ReleaseRequest releases the queued and reserved places of all attempts up to Attempt and stops their running
// tasks.
type ReleaseRequest struct {
	From    Holder      `json:"From"`
	ID      ibiswork.ID `json:"ID"`
	Attempt int         `json:"Attempt"`
}

// ReleaseReply is the reply to a ReleaseRequest.
type ReleaseReply struct {
	Stopping bool `json:"Stopping"` // tasks were running or being started; events report their end
}

// LocateRequest asks an owner for the tasks of a request, or of all requests of the shard when ID is empty. It
// closes the attempts up to Attempt: the owner queues and starts none of them afterwards. For each place in
// Resolve, the owner stops the task of that attempt unless it has a record of it: a server refuses a start that
// arrives after the stop, so the task's outcome is then known.
type LocateRequest struct {
	From    Holder      `json:"From"`
	ID      ibiswork.ID `json:"ID,omitempty"`
	Attempt int         `json:"Attempt,omitempty"`
	Resolve []Place     `json:"Settle,omitempty"`
}

// CoverState is what an owner knows about the tasks on one backend server.
type CoverState string

// The states of a backend server in LocateReply.
const (
	Claimed       CoverState = "Claimed" // the owner has claimed the server and has its list of tasks
	LeasesExpired CoverState = "Lapsed"  // every lease that any owner may have granted there has expired
	Uncertain     CoverState = "Silent"  // nothing is known for certain
)

// Cover is the state of one backend server in a LocateReply.
type Cover struct {
	Server string     `json:"Server"`
	State  CoverState `json:"State"`
}

// LocateReply lists the tasks that were found, and how far the list is complete for each server.
type LocateReply struct {
	Events []TaskEvent `json:"Events,omitempty"`
	Covers []Cover     `json:"Covers"`
	// NotStarted means that this daemon has sent no start of the attempt and will send none.
	NotStarted bool `json:"Clean,omitempty"`
}

// Meta is stored with a task on its backend server, so that a later owner of the server can report the task to
// the holder of its shard.
type Meta struct {
	Shard      int            `json:"Shard"`
	Team       string         `json:"Team"`
	Class      ibiswork.Class `json:"Class"`
	Idempotent bool           `json:"Idempotent,omitempty"`
	Tasks      int            `json:"Tasks"`
}

// EventState is the state of a task in a TaskEvent.
type EventState string

// The states of a task in a TaskEvent: those that a backend server reports, and Lost.
const (
	TaskRunning EventState = EventState(ibisserver.Running)
	TaskDone    EventState = EventState(ibisserver.Done)
	TaskFailed  EventState = EventState(ibisserver.Failed)
	TaskStopped EventState = EventState(ibisserver.Stopped)
	TaskExpired EventState = EventState(ibisserver.Expired)
	TaskLost    EventState = "Lost" // the VM is gone, or every lease on the server has certainly expired
)

// Ended reports whether a task in this state has stopped running for good.
func (s EventState) Ended() bool { return s != TaskRunning }

// TaskEvent reports the state of one task to the holder of its shard.
type TaskEvent struct {
	Task       ibisserver.TaskID `json:"Task"`
	Meta       Meta              `json:"Meta"`
	Server     string            `json:"Server"`
	Owner      string            `json:"Owner"` // incarnation of the reporting owner
	State      EventState        `json:"State"`
	Ran        bool              `json:"Ran"`                 // the task has been started at some time
	Blameless  bool              `json:"Blameless,omitempty"` // the server, not the task, caused the failure
	Result     []byte            `json:"Result,omitempty"`
	Error      string            `json:"Error,omitempty"`
	Checkpoint []byte            `json:"Checkpoint,omitempty"`
	RunMS      int64             `json:"RunMS"`
}

// ReportRequest reports events of tasks whose shards the receiver holds. Owner is the sender's incarnation.
type ReportRequest struct {
	Owner  string      `json:"Owner"`
	Events []TaskEvent `json:"Events"`
}

// Verdict is a holder's reply to one reported event.
type Verdict string

// The verdicts of a holder.
const (
	Recorded  Verdict = "Taken"     // recorded; the owner may forget the task if it has ended
	NotHolder Verdict = "NotHolder" // not recorded yet, or another daemon holds the shard; report again later
	Orphan    Verdict = "Orphan"    // the attempt is not wanted any more
)

// ReportReply has one verdict for each event, in the order of the events.
type ReportReply struct {
	Verdicts []Verdict `json:"Verdicts"`
}

// ServersRequest asks a daemon for the backend servers that it has claimed or tries to claim.
type ServersRequest struct{}

// ServerInfo is the state of one backend server as its owner knows it. A server that is set aside gets no new
// work, because of failures or by an operator's decision.
type ServerInfo struct {
	Name           string             `json:"Name"`
	State          CoverState         `json:"State"`
	FailureDomain  string             `json:"FailureDomain"`
	Rack           string             `json:"Rack"`
	Capacity       ibiswork.Resources `json:"Capacity"`
	Used           ibiswork.Resources `json:"Used"`
	Running        int                `json:"Running"`
	Leaving        bool               `json:"Leaving,omitempty"`    // the platform lists the VM as leaving; it gets no new work
	SetAsideReason string             `json:"Aside,omitempty"`      // reason if the server is set aside
	ByOperator     bool               `json:"ByOperator,omitempty"` // set aside by an operator, not after failures
}

// ServersReply is the reply to a ServersRequest.
type ServersReply struct {
	Incarnation string       `json:"Incarnation"`
	Servers     []ServerInfo `json:"Servers,omitempty"`
}

// ShardsMoved tells a daemon which shards new holders have acquired and which have been released, before the
// daemon reads it from the rows of the table. It is a hint: only the rows decide who holds a shard.
type ShardsMoved struct {
	Acquired []Holder `json:"Taken,omitempty"`
	Released []int    `json:"Released,omitempty"`
}

// ShardsMovedReply confirms that the hint has been applied.
type ShardsMovedReply struct{}

// SettleRequest asks a daemon to take over allotments (parts of the teams' upper limits) from Dead, as far as
// the daemon's tasks use more than its own allotments. Dead is a dead incarnation, or another holder that
// ibisallot.Holders returns.
type SettleRequest struct {
	Dead string `json:"Dead"`
}

// SettleReply confirms that the allotments were moved.
type SettleReply struct{}

// SnapshotRequest asks for the configuration in force at a daemon.
type SnapshotRequest struct{}

// BurnRequest asks for a daemon's counts for the burn report, see ibisburn.
type BurnRequest struct{}
