package ibisserver

import (
	"errors"
	"fmt"
)

// Paths of the HTTP interface. A call is a POST with the request as JSON, unless noted otherwise.
const (
	PathClaim   = "/claim"
	PathStart   = "/start"
	PathRenew   = "/renew"
	PathControl = "/control"
	PathPoll    = "/poll"
	PathVMs     = "/vms" // GET, at the address of the VM list
)

// Reason says why a call was rejected.
type Reason string

// The reasons of a rejection.
const (
	NotClaimed    Reason = "NotClaimed"    // the epoch is higher than any that the server was claimed with
	StartByPassed Reason = "StartByPassed" // the start arrived after its StartBy
	LeaseEnded    Reason = "LeaseEnded"    // the lease of the start has expired already
	BadRequest    Reason = "BadRequest"
)

// Codes of an ErrorReply.
const (
	CodeFenced   = "Fenced"
	CodeRejected = "Rejected"
)

// ErrorReply is the body of every refusal by the server. It guarantees that the call had no effect.
type ErrorReply struct {
	Code    string `json:"Code"` // CodeFenced or CodeRejected
	Reason  Reason `json:"Reason,omitempty"`
	Message string `json:"Message,omitempty"`
	Epoch   int64  `json:"Epoch,omitempty"` // the highest seen
	Clock   int64  `json:"Clock"`
	Seq     int64  `json:"Seq"`
}

// EpochError is the cause of a Fenced error. Highest is the highest epoch that the server has seen.
type EpochError struct{ Highest int64 }

// Error implements error.
func (e *EpochError) Error() string { return fmt.Sprintf("highest epoch is %d", e.Highest) }

// RejectError is the cause of a Rejected error.
type RejectError struct {
	Reason  Reason
	Message string
}

// Error implements error.
func (e *RejectError) Error() string { return fmt.Sprintf("%s: %s", e.Reason, e.Message) }

// HighestEpoch returns the highest epoch that the server has seen from a Fenced error; it reports false for any
// other error.
func HighestEpoch(err error) (int64, bool) {
	if e, ok := errors.AsType[*EpochError](err); ok {
		return e.Highest, true
	}
	return 0, false
}

// ReasonOf returns the reason of a Rejected error; it is empty for any other error.
func ReasonOf(err error) Reason {
	if e, ok := errors.AsType[*RejectError](err); ok {
		return e.Reason
	}
	return ""
}

// Err returns the reply as an error of class Fenced or Rejected, or nil when its code is unknown.
func (r ErrorReply) Err() error {
	switch r.Code {
	case CodeFenced:
		return Fenced.Wrap(&EpochError{Highest: r.Epoch})
	case CodeRejected:
		return Rejected.Wrap(&RejectError{Reason: r.Reason, Message: r.Message})
	}
	return nil
}
