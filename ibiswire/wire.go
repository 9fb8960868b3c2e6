// Package ibiswire holds the messages that the holder of a request shard and the owners of backend
// servers exchange.
//
// Every message of a holder carries its shard and epoch; an owner that knows a higher epoch of that shard
// refuses it, so a holder that was paused and replaced places nothing more.
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

// Names of the methods.
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

// Holder names the holder of a shard at one epoch.
type Holder struct {
	Shard       int    `json:"Shard"`
	Epoch       int64  `json:"Epoch"`
	Incarnation string `json:"Incarnation"`
}

// SubmitRequest hands a request to the holder of its shard. Fresh says that the ID was made in this very
// call, so that no earlier submission can exist.
type SubmitRequest struct {
	Request ibiswork.Request `json:"Request"`
	Fresh   bool             `json:"Fresh,omitempty"`
	WaitMS  int64            `json:"WaitMS"`
}

// StatusRequest asks for the status of one request, waiting at most WaitMS for its end.
type StatusRequest struct {
	ID     ibiswork.ID `json:"ID"`
	Team   string      `json:"Team,omitempty"`
	WaitMS int64       `json:"WaitMS,omitempty"`
}

// CancelQueueRequest cancels every queued request of a team at one holder.
type CancelQueueRequest struct {
	Team string `json:"Team"`
}

// CancelQueueReply counts the requests that were cancelled.
type CancelQueueReply struct {
	Cancelled int `json:"Cancelled"`
}

// PlaceRequest asks an owner for places for one attempt at a request. With Intent the places are
// reserved and a StartRequest follows; without it the tasks are started at once. Partial lets the owner
// reserve fewer places than it is asked for; they are given up unless the call is repeated in time. Pin
// keeps them from being given to an older gang.
type PlaceRequest struct {
	From     Holder           `json:"From"`
	Request  ibiswork.Request `json:"Request"`
	Attempt  int              `json:"Attempt"`
	Intent   bool             `json:"Intent,omitempty"`
	Partial  bool             `json:"Partial,omitempty"`
	Pin      bool             `json:"Pin,omitempty"`
	Indexes  []int            `json:"Indexes,omitempty"` // the tasks of a gang to place; all when empty
	Avoid    []string         `json:"Avoid,omitempty"`   // backend servers where it failed before
	WaitMS   int64            `json:"WaitMS"`
	WaitedMS int64            `json:"WaitedMS,omitempty"` // before this call
}

// PlaceState is how far a PlaceRequest has come.
type PlaceState string

// The states of a PlaceRequest.
const (
	Waiting  PlaceState = "Waiting"  // queued at the owner; call again to stay in the queue
	Reserved PlaceState = "Reserved" // places are kept for a while
	Started  PlaceState = "Started"
)

// Place is one task's place.
type Place struct {
	Index  int    `json:"Index"`
	Server string `json:"Server"`
}

// PlaceReply answers a PlaceRequest.
type PlaceReply struct {
	State  PlaceState `json:"State"`
	Places []Place    `json:"Places,omitempty"`
}

// StartRequest starts the tasks that were reserved for an attempt.
type StartRequest struct {
	From    Holder      `json:"From"`
	ID      ibiswork.ID `json:"ID"`
	Attempt int         `json:"Attempt"`
	Indexes []int       `json:"Indexes"` // of the tasks that this owner has places for by the holder's account
}

// StartReply says that every task has been started, or that at least one certainly was not.
type StartReply struct {
	Started    bool   `json:"Started"`
	NotStarted bool   `json:"NotStarted"` // no task was started nor will be
	Error      string `json:"Error,omitempty"`
}

// ReleaseRequest gives up queued and reserved places of an attempt and stops its running tasks.
type ReleaseRequest struct {
	From    Holder      `json:"From"`
	ID      ibiswork.ID `json:"ID"`
	Attempt int         `json:"Attempt"`
}

// ReleaseReply lists what became of the tasks that had been started.
type ReleaseReply struct {
	Stopping bool `json:"Stopping"` // tasks were running; events of their ends follow
}

// LocateRequest asks an owner what it knows of a request, or of all requests of the shard when ID is
// empty. It closes the attempts up to Attempt: the owner queues and starts none of them afterwards.
// With Settle the owner stops the tasks of that attempt at Servers that have no record of them.
type LocateRequest struct {
	From    Holder      `json:"From"`
	ID      ibiswork.ID `json:"ID,omitempty"`
	Attempt int         `json:"Attempt,omitempty"`
	Settle  []Place     `json:"Settle,omitempty"`
}

// CoverState says what an owner knows of one backend server.
type CoverState string

// The states of a backend server in LocateReply.
const (
	Claimed CoverState = "Claimed" // the owner has its list of tasks and its obedience
	Lapsed  CoverState = "Lapsed"  // every lease that any owner could have given has ended
	Silent  CoverState = "Silent"  // nothing can be said
)

// Cover is one backend server in LocateReply.
type Cover struct {
	Server string     `json:"Server"`
	State  CoverState `json:"State"`
}

// LocateReply lists the tasks that were found and the servers for which the list is complete.
type LocateReply struct {
	Events []TaskEvent `json:"Events,omitempty"`
	Covers []Cover     `json:"Covers"`
	// Clean says that this daemon has sent no start of the attempt, and sends none from now on.
	Clean bool `json:"Clean,omitempty"`
}

// Meta is what an owner keeps with a task on its backend server, so that any later owner can tell the
// holder of its shard what it is.
type Meta struct {
	Shard      int            `json:"Shard"`
	Team       string         `json:"Team"`
	Class      ibiswork.Class `json:"Class"`
	Idempotent bool           `json:"Idempotent,omitempty"`
	Tasks      int            `json:"Tasks"`
}

// EventState is the state of a task as its owner reports it.
type EventState string

// The states of a task in a TaskEvent: those of a backend server, and Lost.
const (
	TaskRunning EventState = EventState(ibisserver.Running)
	TaskDone    EventState = EventState(ibisserver.Done)
	TaskFailed  EventState = EventState(ibisserver.Failed)
	TaskStopped EventState = EventState(ibisserver.Stopped)
	TaskLapsed  EventState = EventState(ibisserver.Expired)
	TaskLost    EventState = "Lost" // the VM is gone, or every lease has certainly ended
)

// Ended reports whether a task in this state runs no more.
func (s EventState) Ended() bool { return s != TaskRunning }

// TaskEvent tells the holder about one task.
type TaskEvent struct {
	Task       ibisserver.TaskID `json:"Task"`
	Meta       Meta              `json:"Meta"`
	Server     string            `json:"Server"`
	Owner      string            `json:"Owner"` // incarnation
	State      EventState        `json:"State"`
	Ran        bool              `json:"Ran"`                 // the task was started at some time
	Blameless  bool              `json:"Blameless,omitempty"` // the failure is the server's, not the task's
	Result     []byte            `json:"Result,omitempty"`
	Error      string            `json:"Error,omitempty"`
	Checkpoint []byte            `json:"Checkpoint,omitempty"`
	RunMS      int64             `json:"RunMS"`
}

// ReportRequest carries events of tasks whose shards the receiver holds.
type ReportRequest struct {
	Owner  string      `json:"Owner"`
	Events []TaskEvent `json:"Events"`
}

// Verdict is what a holder says of one reported event.
type Verdict string

// The verdicts of a holder.
const (
	Taken     Verdict = "Taken"     // recorded; an ended task may be forgotten
	NotHolder Verdict = "NotHolder" // ask again later, perhaps elsewhere
	Orphan    Verdict = "Orphan"    // nobody waits for this attempt
)

// ReportReply has one verdict an event.
type ReportReply struct {
	Verdicts []Verdict `json:"Verdicts"`
}

// ServersRequest asks a daemon for the backend servers that it owns or tries to own.
type ServersRequest struct{}

// ServerInfo is one backend server as its owner sees it.
type ServerInfo struct {
	Name          string             `json:"Name"`
	State         CoverState         `json:"State"`
	FailureDomain string             `json:"FailureDomain"`
	Rack          string             `json:"Rack"`
	Capacity      ibiswork.Resources `json:"Capacity"`
	Used          ibiswork.Resources `json:"Used"`
	Running       int                `json:"Running"`
	Leaving       bool               `json:"Leaving,omitempty"`
	Aside         string             `json:"Aside,omitempty"` // why it gets no new work
	ByOperator    bool               `json:"ByOperator,omitempty"`
}

// ServersReply answers a ServersRequest.
type ServersReply struct {
	Incarnation string       `json:"Incarnation"`
	Servers     []ServerInfo `json:"Servers,omitempty"`
}

// ShardsMoved tells a daemon which shards have new holders and which wait for one, sooner than it would
// read the rows of the store. It is a hint: only the rows say who holds a shard.
type ShardsMoved struct {
	Taken    []Holder `json:"Taken,omitempty"`
	Released []int    `json:"Released,omitempty"`
}

// ShardsMovedReply says that the hint has been taken in.
type ShardsMovedReply struct{}

// SettleRequest asks a daemon to move from the allotments of a dead incarnation what it counts beyond its
// own.
type SettleRequest struct {
	Dead string `json:"Dead"`
}

// SettleReply says that this was done.
type SettleReply struct{}

// SnapshotRequest asks for the configuration in force at a daemon.
type SnapshotRequest struct{}

// BurnRequest asks for a daemon's part of the report on service-level burn.
type BurnRequest struct{}
