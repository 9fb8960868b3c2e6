package ibiswork

import (
	"errors"
	"fmt"
	"time"
)

// Code names the reason of a refusal; callers may rely on it.
type Code string

// The codes of refusals. docs/API.md gives the meaning of each.
const (
	CodeBadRequest       Code = "BadRequest"
	CodeTooLarge         Code = "TooLarge"
	CodeUnauthorized     Code = "Unauthorized"
	CodeForbidden        Code = "Forbidden"
	CodeNotFound         Code = "NotFound"
	CodeExpiredID        Code = "ExpiredID"
	CodeConflict         Code = "Conflict"
	CodeStale            Code = "Stale"
	CodeNeverFits        Code = "NeverFits"
	CodeOverLimit        Code = "OverLimit"
	CodeOverloaded       Code = "Overloaded"
	CodeDeadline         Code = "Deadline"
	CodeDraining         Code = "Draining"
	CodeCutOff           Code = "CutOff"
	CodeStoreUnavailable Code = "StoreUnavailable"
	CodeRecovering       Code = "Recovering"
	CodeUnreachable      Code = "Unreachable"
	CodeOutcomeUnknown   Code = "OutcomeUnknown"
	CodeInternal         Code = "Internal"
)

// Refusal is the final answer to a request that gets no result. NotRun is a promise: the request was
// not run and will not be run because of this submission.
type Refusal struct {
	Code         Code   `json:"Code"`
	Message      string `json:"Message"`
	NotRun       bool   `json:"NotRun"`
	RetryAfterMS int64  `json:"RetryAfterMS,omitempty"`
}

// Refuse makes a refusal of a request that was not run.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// Error makes a refusal usable as an error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Message) }

// WithRetryAfter is r with a time after which the caller may come back.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfterMS = d.Milliseconds()
	return &c
}

// WithMaybeRun is r without the promise that the request was not run.
func (r *Refusal) WithMaybeRun() *Refusal {
	c := *r
	c.NotRun = false
	return &c
}

// AsRefusal finds a refusal in err; any other error becomes an Internal refusal that promises nothing.
func AsRefusal(err error) *Refusal {
	if r, ok := errors.AsType[*Refusal](err); ok {
		return r
	}
	return &Refusal{Code: CodeInternal, Message: err.Error()}
}
