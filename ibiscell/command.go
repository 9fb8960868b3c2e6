package ibiscell

import (
	"ibiscrank/ibisjob"
)

// Command is something that the engine wants done: Start, Stop, Hold, Advise, Answer or Deposed.
type Command any

// Target names one life of a backend server.
type Target struct {
	ID      string
	Address string
	Born    int64 // Unix time in milliseconds at which that life began; 0 when unknown
}

// RunName names one run of a task at a backend server.
type RunName struct {
	Task string
	Run  int64
}

// Start orders a backend server to start a run. The same order may come again.
type Start struct {
	Target     Target
	Name       RunName
	Spec       string
	LeaseEndMS int64 // in the server's clock
	Epoch      int64
	Checkpoint string
	Ticket     string
}

// Stop orders a backend server to stop a run, and to refuse it if it comes later.
type Stop struct {
	Target Target
	Name   RunName
	Epoch  int64
}

// Hold renews the leases of a backend server, forgets ends up to Acked there and asks for its lists.
type Hold struct {
	Target     Target
	Epoch      int64
	LeaseEndMS int64 // in the server's clock; 0 renews nothing
	Acked      int64
	WaitMS     int64
}

// Advise asks which of Servers may run Step, through the named helper.
type Advise struct {
	ID      int64
	Helper  string
	Step    string
	Servers []string
}

// Answer is the reply to a call of a caller.
type Answer struct {
	To      uint64 // as passed with the call
	Outcome Outcome
	RetryMS int64 // when to come back after Rejected
	State   ibisjob.State
}

// Deposed says that a backend server obeys a newer leader.
type Deposed struct{ Epoch int64 }

// Outcome is how a call of a caller ended.
type Outcome string

// The outcomes.
const (
	OK       Outcome = "OK"
	Rejected Outcome = "Rejected" // not accepted, and never will be run
	NotFound Outcome = "NotFound" // no such job
	Moved    Outcome = "Moved"    // this daemon leads no more: ask the new leader
)

// OrderOutcome is how a backend server answered an order.
type OrderOutcome string

// The outcomes of orders.
const (
	OrderDone      OrderOutcome = "Done"
	OrderFenced    OrderOutcome = "Fenced"    // the server obeys a newer leader
	OrderOld       OrderOutcome = "Old"       // that run, or a later one, has ended or been stopped there
	OrderLate      OrderOutcome = "Late"      // the lease end has passed on the server's clock
	OrderNoRoom    OrderOutcome = "NoRoom"    // the server guards its capacity and the task does not fit
	OrderTicket    OrderOutcome = "Ticket"    // the ticket is missing or no longer valid
	OrderInvalid   OrderOutcome = "Invalid"   // the server cannot read the order
	OrderBusy      OrderOutcome = "Busy"      // nothing was done; the server is unhealthy
	OrderUnreached OrderOutcome = "Unreached" // no connection was got: nothing was done
	OrderReplaced  OrderOutcome = "Replaced"  // another life of the server answers at that address
	OrderUnknown   OrderOutcome = "Unknown"   // no reply: the order may be carried out, also later
)

// Listed is a run that a backend server lists as running.
type Listed struct {
	Name       RunName
	Checkpoint string
}

// End is a run that has ended at a backend server.
type End struct {
	N          int64 // counts the ends of one life of the server from 1
	Name       RunName
	How        How
	Checkpoint string
}

// How is the way in which a run ended.
type How string

// The ways in which runs end.
const (
	EndDone    How = "Done"
	EndFailed  How = "Failed"
	EndStopped How = "Stopped"
	EndLapsed  How = "Lapsed" // its lease ended
	EndBroken  How = "Broken" // another member of its gang ended
	EndAlone   How = "Alone"  // it waited too long for the other members of its gang
	EndLost    How = "Lost"   // the server has no record of it
)

// Report is a backend server's answer to a Hold.
type Report struct {
	Target  Target
	SentAt  Time // when the Hold was sent
	ClockMS int64
	Running []Listed
	Ended   []End
}
