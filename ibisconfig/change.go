package ibisconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Classes of the errors that a change fails with.
var (
	// Invalid: the change itself is not valid; nothing was written.
	Invalid = errs.Class("config change invalid")
	// Stale: the item was changed since the operator read it; nothing was written. errors.As finds the
	// *StaleError.
	Stale = errs.Class("config change stale")
	// Reused: the ID was used before for a different change; nothing was written.
	Reused = errs.Class("config change ID reused")
	// Unauthorized: the operator's key is no longer in force; nothing was written.
	Unauthorized = errs.Class("config operator unauthorized")
	// NotFound: the item of the change does not exist; nothing was written.
	NotFound = errs.Class("config item not found")
	// Unavailable: the table is unreachable or contended; nothing was written.
	Unavailable = errs.Class("config store unavailable")
	// Unknown: the change may or may not have taken effect; retry it with the same ID.
	Unknown = errs.Class("config change outcome unknown")
)

// NoCondition as Change.BasedOn applies the change whatever the current version of its item.
const NoCondition int64 = -1

// Change is one change of the configuration. Exactly one of the fields after At, the actions, is set.
type Change struct {
	ID       string `json:"ID"` // chosen by the client as the idempotency key: an ID takes effect at most once
	Operator string `json:"Operator"`
	// OperatorKey is the hash of the operator's key. If it is set, the change is refused unless that key is in
	// force in the version that the change is applied to.
	OperatorKey KeyHash `json:"-"`
	// BasedOn is the version of the item that the operator read, zero if there was no such item, or
	// NoCondition. The change is refused as Stale if the item has another version.
	BasedOn        int64        `json:"BasedOn"`
	At             time.Time    `json:"At"`
	PutTeam        *Team        `json:"PutTeam,omitempty"` // creates or replaces a team; its keys are left as they are
	DeleteTeam     string       `json:"DeleteTeam,omitempty"`
	AddKey         *AddKey      `json:"AddKey,omitempty"`
	WithdrawKey    *WithdrawKey `json:"WithdrawKey,omitempty"`
	PutOperator    *PutOperator `json:"PutOperator,omitempty"`
	DeleteOperator string       `json:"DeleteOperator,omitempty"`
	SetAside       *SetAside    `json:"SetAside,omitempty"`
	Return         *Return      `json:"Return,omitempty"`

	Evacuate           *Evacuate           `json:"Evacuate,omitempty"`
	WithdrawEvacuation *WithdrawEvacuation `json:"WithdrawEvacuation,omitempty"`
}

// AddKey adds an API key to a team.
type AddKey struct {
	Team string `json:"Team"`
	Key  Key    `json:"Key"`
}

// WithdrawKey removes an API key from a team.
type WithdrawKey struct {
	Team string `json:"Team"`
	Name string `json:"Name"`
}

// PutOperator creates an operator or replaces the key of an existing one.
type PutOperator struct {
	Name string `json:"Name"`
	Key  Key    `json:"Key"`
}

// SetAside keeps new work from a backend server.
type SetAside struct {
	Server string `json:"Server"`
	Reason string `json:"Reason"`
}

// Return ends the SetAside of a backend server, so that it gets new work again.
type Return struct {
	Server string `json:"Server"`
}

// Result describes an accepted change.
type Result struct {
	Version  int64 `json:"Version"`            // of the configuration, made by the change
	Repeated bool  `json:"Repeated,omitempty"` // an earlier submission with the same ID took effect
}

// StaleError describes the current state of an item that was changed since the operator read it.
type StaleError struct {
	Item    string      `json:"Item"` // row key of the item
	BasedOn int64       `json:"BasedOn"`
	Version int64       `json:"Version"`        // current version of the item; zero if there is none
	Team    *Team       `json:"Team,omitempty"` // current team, without the hashes of its keys
	Last    *AuditEntry `json:"Last,omitempty"` // change that made the current version; nil if it could not be read
}

// Error returns the row key and the two versions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%s is at version %d, but the change is based on version %d", e.Item, e.Version, e.BasedOn)
}

// AuditEntry records one accepted change, without secrets.
type AuditEntry struct {
	Version  int64           `json:"Version"`
	Change   string          `json:"Change"` // ID of the change
	Operator string          `json:"Operator"`
	At       time.Time       `json:"At"`
	Action   string          `json:"Action"` // name of the field of Change that is set
	Item     string          `json:"Item"`   // key of the changed row
	Before   json.RawMessage `json:"Before,omitempty"`
	After    json.RawMessage `json:"After,omitempty"`
	Digest   string          `json:"Digest"` // of the change; distinguishes a repeat from a different change with the same ID
}

// digest returns a hash of what the change does. It leaves out At and BasedOn, which may differ between
// repeats of a change, and the keys and version of a team, which PutTeam ignores.
func (c Change) digest() string {
	c.At, c.BasedOn = time.Time{}, 0
	if c.PutTeam != nil {
		t := *c.PutTeam
		t.Keys, t.Version = nil, 0
		c.PutTeam = &t
	}
	b, err := json.Marshal(c)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}

// Check returns an Invalid error if the change could not be applied to any version of the configuration.
func (c Change) Check() error {
	if !changeIDPattern.MatchString(c.ID) {
		return Invalid.New("ID: %q is not 8 to 100 letters, digits and -", c.ID)
	}
	if !namePattern.MatchString(c.Operator) {
		return Invalid.New("Operator: %q is not 1 to 63 of the characters a-z, 0-9 and -", c.Operator)
	}
	if c.BasedOn < NoCondition {
		return Invalid.New("BasedOn: %d is below %d", c.BasedOn, NoCondition)
	}
	n := 0
	for _, set := range [...]bool{
		c.PutTeam != nil, c.DeleteTeam != "", c.AddKey != nil, c.WithdrawKey != nil,
		c.PutOperator != nil, c.DeleteOperator != "", c.SetAside != nil, c.Return != nil,
		c.Evacuate != nil, c.WithdrawEvacuation != nil,
	} {
		if set {
			n++
		}
	}
	if n != 1 {
		return Invalid.New("%d actions are set, not exactly one", n)
	}
	return c.checkAction()
}

func (c Change) checkAction() error {
	switch {
	case c.PutTeam != nil:
		return Invalid.Wrap(c.PutTeam.Check())
	case c.AddKey != nil:
		return Invalid.Wrap(c.AddKey.Key.Check())
	case c.PutOperator != nil:
		if !namePattern.MatchString(c.PutOperator.Name) || c.PutOperator.Name == BootstrapOperator {
			return Invalid.New("PutOperator.Name: %q is reserved or not 1 to 63 of the characters a-z, 0-9 and -", c.PutOperator.Name)
		}
		return Invalid.Wrap(c.PutOperator.Key.Check())
	case c.Evacuate != nil:
		return checkEvacuatedDomain("Evacuate", c.Evacuate.FailureDomain)
	case c.WithdrawEvacuation != nil:
		return checkEvacuatedDomain("WithdrawEvacuation", c.WithdrawEvacuation.FailureDomain)
	case c.SetAside != nil:
		if !serverPattern.MatchString(c.SetAside.Server) {
			return Invalid.New("SetAside.Server: %q is not a valid name of a backend server", c.SetAside.Server)
		}
		if c.SetAside.Reason == "" || len(c.SetAside.Reason) > MaxReasonBytes {
			return Invalid.New("SetAside.Reason: empty or longer than %d bytes", MaxReasonBytes)
		}
	}
	return nil
}
