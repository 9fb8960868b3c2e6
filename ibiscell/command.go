package ibiscell

import (
	"ibiscrank/ibisjob"
)

// Command is an action that the engine requests. It is one of the command types of this file, from Start to
// Deposed.
type Command any

// Target identifies one incarnation of a backend server.
type Target struct {
	ID          string
	Address     string // host and port
	Incarnation int64  // start of the incarnation, Unix time in milliseconds; 0 if unknown
}

// RunName identifies one run of a task.
type RunName struct {
	Task string
	Run  int64 // number of the attempt, from 1; all members of a gang have the same number
}

// Start orders a backend server to start a run. The order is idempotent and may be repeated.
type Start struct {
	Target     Target
	Name       RunName
	Spec       string // of the job, passed on unchanged
	LeaseEndMS int64  // on the server's clock, in milliseconds
	Fence      int64  // fencing token
	Checkpoint string // latest one of the task or its gang; empty: none
	Ticket     string // of the advice service; empty if the queue requires no advice
}

// Stop orders a backend server to stop a run, and to refuse a start order for it that arrives later.
type Stop struct {
	Target Target
	Name   RunName
	Fence  int64 // fencing token
}

// Renew is the long poll that renews the leases of a backend server, acknowledges ended runs up to number
// Acked, which the server may then forget, and fetches the server's report.
type Renew struct {
	Target     Target
	Fence      int64 // fencing token
	LeaseEndMS int64 // on the server's clock, in milliseconds; 0 renews nothing
	Acked      int64
	WaitMS     int64
}

// Advise asks the advice service, through the daemon Helper, which of Servers may run Step.
type Advise struct {
	ID      int64
	Helper  string
	Step    string
	Servers []string
}

// Answer is the reply to a caller's request.
type Answer struct {
	To      uint64 // the value passed with the request
	Outcome Outcome
	RetryMS int64 // delay before a retry after Rejected
	State   ibisjob.State
}

// Deposed reports that a backend server has accepted a leader with a higher epoch, so the leader of this
// engine, whose epoch is given, is stale.
type Deposed struct{ Epoch int64 }

// Outcome is the result of a caller's request.
type Outcome string

// The outcomes of callers' requests.
const (
	OK        Outcome = "OK"
	Rejected  Outcome = "Rejected" // not accepted, and will never run
	NotFound  Outcome = "NotFound" // no such job
	NotLeader Outcome = "Moved"    // this daemon may no longer be the leader; ask the current one
)

// OrderOutcome is the result of an order to a backend server.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderDone        OrderOutcome = "Done"
	OrderFenced      OrderOutcome = "Fenced"     // the server has seen a higher fencing token
	OrderStale       OrderOutcome = "Old"        // this run, or a later one of the task, has ended or been stopped there
	OrderLate        OrderOutcome = "Late"       // the lease end has passed on the server's clock
	OrderNoRoom      OrderOutcome = "NoRoom"     // the server checks its capacity and the task does not fit
	OrderBadTicket   OrderOutcome = "Ticket"     // the ticket is missing or no longer valid
	OrderInvalid     OrderOutcome = "Invalid"    // the server rejects the order as malformed
	OrderBusy        OrderOutcome = "Busy"       // the server is unhealthy; the order was not carried out
	OrderUnreachable OrderOutcome = "Unreached"  // no connection could be made; the order was not carried out
	OrderNoListener  OrderOutcome = "NoListener" // the VM refused the connection of a renewal: the server's process has ended
	OrderReplaced    OrderOutcome = "Replaced"   // another incarnation of the server answers at that address
	OrderUnknown     OrderOutcome = "Unknown"    // no reply; the order may have been carried out, or may be later
)

// StartReply is the result of a start order.
type StartReply struct {
	Outcome OrderOutcome
	ClockMS int64 // the server's clock, in milliseconds; 0: unknown
}

// ActiveRun is a run that a backend server reports as running.
type ActiveRun struct {
	Name       RunName
	Checkpoint string
}

// RunEnd is the record of a run that has ended on a backend server.
type RunEnd struct {
	N          int64 // sequence number of the ended run, from 1 for each incarnation of the server
	Name       RunName
	Outcome    RunOutcome
	Checkpoint string
}

// RunOutcome is the outcome of a run.
type RunOutcome string

// The outcomes of runs.
const (
	RunDone        RunOutcome = "Done"
	RunFailed      RunOutcome = "Failed"
	RunStopped     RunOutcome = "Stopped" // ended by a stop order, or never started
	RunExpired     RunOutcome = "Lapsed"  // its lease expired
	RunGangBroken  RunOutcome = "Broken"  // another member of its gang ended
	RunGangTimeout RunOutcome = "Alone"   // timed out waiting for the other members of its gang
	RunLost        RunOutcome = "Lost"    // the server has no record of it
)

// Report is a backend server's answer to a lease renewal.
type Report struct {
	Target  Target // of the renewal, with the incarnation that has answered
	Fence   int64  // of the renewal
	SentAt  Time   // when the renewal was sent
	ClockMS int64  // the server's clock, in milliseconds
	Running []ActiveRun
	Ended   []RunEnd // those that have not been acknowledged
}
