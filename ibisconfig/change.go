package ibisconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error classes of a change.
var (
	// Invalid says that the change itself is wrong; nothing was written.
	Invalid = errs.Class("config change invalid")
	// Stale says that the item was changed since the operator saw it; errors.As finds the *StaleError.
	Stale = errs.Class("config change stale")
	// Reused says that the change's ID was used before for another change; nothing was written.
	Reused = errs.Class("config change ID reused")
	// Unauthorized says that the operator's key is no longer in force; nothing was written.
	Unauthorized = errs.Class("config operator unauthorized")
	// NotFound says that the item of the change does not exist; nothing was written.
	NotFound = errs.Class("config item not found")
	// Unavailable says that the store is away or busy; nothing was written.
	Unavailable = errs.Class("config store unavailable")
	// Unknown says that the change may or may not have taken effect; repeat it with the same ID.
	Unknown = errs.Class("config change outcome unknown")
)

// NoCondition as Change.BasedOn applies the change whatever the version of its item.
const NoCondition int64 = -1

// Change is one change of the configuration. Exactly one of the fields after At is set.
type Change struct {
	ID       string `json:"ID"` // chosen by the client; the same ID never takes effect twice
	Operator string `json:"Operator"`
	// By, when set, is the hash of the operator's key. The change is refused when that key is no longer
	// in force at the version that the change is applied to.
	By KeyHash `json:"-"`
	// BasedOn is the version of the item that the operator saw, zero when there was none, or NoCondition.
	BasedOn        int64        `json:"BasedOn"`
	At             time.Time    `json:"At"`
	PutTeam        *Team        `json:"PutTeam,omitempty"` // keeps the keys that the team has
	DeleteTeam     string       `json:"DeleteTeam,omitempty"`
	AddKey         *AddKey      `json:"AddKey,omitempty"`
	WithdrawKey    *WithdrawKey `json:"WithdrawKey,omitempty"`
	PutOperator    *PutOperator `json:"PutOperator,omitempty"`
	DeleteOperator string       `json:"DeleteOperator,omitempty"`
	SetAside       *SetAside    `json:"SetAside,omitempty"`
	Return         *Return      `json:"Return,omitempty"`
}

// AddKey adds a key to a team.
type AddKey struct {
	Team string `json:"Team"`
	Key  Key    `json:"Key"`
}

// WithdrawKey removes a key from a team.
type WithdrawKey struct {
	Team string `json:"Team"`
	Name string `json:"Name"`
}

// PutOperator creates an operator or replaces the operator's key.
type PutOperator struct {
	Name string `json:"Name"`
	Key  Key    `json:"Key"`
}

// SetAside keeps a backend server from new work.
type SetAside struct {
	Server string `json:"Server"`
	Reason string `json:"Reason"`
}

// Return gives a backend server new work again.
type Return struct {
	Server string `json:"Server"`
}

// Result is what an accepted change did.
type Result struct {
	Version  int64 `json:"Version"`            // of the configuration that the change made
	Repeated bool  `json:"Repeated,omitempty"` // an earlier submission of the same ID took effect
}

// StaleError tells what changed since the operator saw the item.
type StaleError struct {
	Item    string      `json:"Item"` // the key of its row
	BasedOn int64       `json:"BasedOn"`
	Version int64       `json:"Version"`        // of the item now; zero when there is none
	Team    *Team       `json:"Team,omitempty"` // the team as it is now, without its keys' hashes
	Last    *AuditEntry `json:"Last,omitempty"` // the change that made the present version, when it can be read
}

// Error tells the two versions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%s is at version %d now, the change is based on %d", e.Item, e.Version, e.BasedOn)
}

// AuditEntry is one accepted change, without secrets.
type AuditEntry struct {
	Version  int64           `json:"Version"`
	Change   string          `json:"Change"` // the ID of the change
	Operator string          `json:"Operator"`
	At       time.Time       `json:"At"`
	Action   string          `json:"Action"` // the name of the field of Change
	Item     string          `json:"Item"`   // the key of the changed row
	Before   json.RawMessage `json:"Before,omitempty"`
	After    json.RawMessage `json:"After,omitempty"`
	Digest   string          `json:"Digest"` // of the change, tells a repeat from another change with the same ID
}

// digest identifies what the change does; a repeat may carry another time and a later BasedOn.
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

// Check reports a change that can never be applied.
func (c Change) Check() error {
	if !idForm.MatchString(c.ID) {
		return Invalid.New("ID: %q is not 8 to 100 letters, digits and -", c.ID)
	}
	if !nameForm.MatchString(c.Operator) {
		return Invalid.New("Operator: %q is not a name", c.Operator)
	}
	if c.BasedOn < NoCondition {
		return Invalid.New("BasedOn: %d is below %d", c.BasedOn, NoCondition)
	}
	n := 0
	for _, set := range [...]bool{
		c.PutTeam != nil, c.DeleteTeam != "", c.AddKey != nil, c.WithdrawKey != nil,
		c.PutOperator != nil, c.DeleteOperator != "", c.SetAside != nil, c.Return != nil,
	} {
		if set {
			n++
		}
	}
	if n != 1 {
		return Invalid.New("%d of the actions are set, not one", n)
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
		if !nameForm.MatchString(c.PutOperator.Name) || c.PutOperator.Name == BootstrapOperator {
			return Invalid.New("PutOperator.Name: %q cannot be used", c.PutOperator.Name)
		}
		return Invalid.Wrap(c.PutOperator.Key.Check())
	case c.SetAside != nil:
		if !serverForm.MatchString(c.SetAside.Server) {
			return Invalid.New("SetAside.Server: %q is not a name of a backend server", c.SetAside.Server)
		}
		if c.SetAside.Reason == "" || len(c.SetAside.Reason) > MaxReasonBytes {
			return Invalid.New("SetAside.Reason: empty or longer than %d bytes", MaxReasonBytes)
		}
	}
	return nil
}
