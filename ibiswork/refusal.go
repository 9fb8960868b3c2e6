package ibiswork

import (
	"errors"
	"fmt"
	"time"
)

// Code identifies the reason for a refusal. Codes are part of the API.
type Code string

// The codes of refusals; docs/API.md describes each.
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

// Refusal is the reply to a call that is refused, or whose request has an unknown outcome. NotRun guarantees
// that the request has not run and will not run because of this submission.
type Refusal struct {
	Code         Code   `json:"Code"`
	Message      string `json:"Message"`
	NotRun       bool   `json:"NotRun"`
	RetryAfterMS int64  `json:"RetryAfterMS,omitempty"` // 0 if the caller should not retry
}

// Refuse returns a refusal of a request that has not run.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// Error returns the code and the message.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Message) }

// WithRetryAfter returns a copy of r that asks the caller to retry after d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfterMS = d.Milliseconds()
	return &c
}

// WithMaybeRun returns a copy of r without the guarantee that the request has not run.
func (r *Refusal) WithMaybeRun() *Refusal {
	c := *r
	c.NotRun = false
	return &c
}

// AsRefusal returns the refusal that err wraps. Any other error becomes an Internal refusal without the
// guarantee that the request has not run.
func AsRefusal(err error) *Refusal {
	if r, ok := errors.AsType[*Refusal](err); ok {
		return r
	}
	return &Refusal{Code: CodeInternal, Message: err.Error()}
}
