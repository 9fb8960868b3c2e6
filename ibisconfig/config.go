// Package ibisconfig holds the configuration that operators change at run time: teams with their shares,
// upper limits, API keys and service-level objectives, open queues, operators, the backend servers that
// operators set aside, and the failure domains that they evacuate. A server that is set aside, or whose failure
// domain is evacuated, gets no new work. Every daemon, see package ibisdaemon, holds a copy.
//
// Every accepted change increments the version of the configuration. A Snapshot is immutable and holds the
// whole configuration at one version. A Store publishes the newest snapshot that it has read from the table
// service (see ibistable) or received from a peer, and replaces it only by one of a higher version.
//
// A withdrawn (revoked) API key is also added to a deny set, which daemons exchange among themselves. The
// withdrawal is thereby in force even while the table is unavailable, and is written to the table later.
//
// Usage:
//
//	snap := store.Snapshot()
//	team, ok := snap.Authenticate(key)
//	limit := snap.Teams[team].UpperLimit
package ibisconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"

	"github.com/zeebo/errs"

	"ibiscrank/ibiswork"
)

// Error is the class of errors of this package.
var Error = errs.Class("config")

// Upper bounds on the configuration.
const (
	MaxShare       = 1e6 // of one team
	MaxObjectives  = 16  // of one team
	MaxTeamKeys    = 64  // of one team
	MaxTeams       = 4096
	MaxOperators   = 256
	MaxSetAside    = 20000 // backend servers set aside at once
	MaxReasonBytes = 512
	MaxDenied      = 65536 // keys in the deny set
)

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hashPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`) // SHA-256
	serverPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{7,99}$`)
)

// KeyHash is the SHA-256 of an API key in lower-case hexadecimal. Keys themselves are never stored.
type KeyHash string

// HashKey returns the hash under which an API key is stored.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// Key identifies one API key of a team or an operator.
type Key struct {
	Name string  `json:"Name"` // unique within a team; not secret
	Hash KeyHash `json:"Hash"`
}

// Check returns an error if the name or the hash is malformed.
func (k Key) Check() error {
	if !namePattern.MatchString(k.Name) {
		return Error.New("key Name: %q is not 1 to 63 of the characters a-z, 0-9 and -", k.Name)
	}
	if !hashPattern.MatchString(string(k.Hash)) {
		return Error.New("key Hash: not 64 hexadecimal digits in lower case")
	}
	return nil
}

// Objective is a service-level objective: the fraction of the requests of a class that must start within
// TargetMS or, if TargetMS is zero, that must be answered at all.
type Objective struct {
	Class    ibiswork.Class `json:"Class"`
	TargetMS int64          `json:"TargetMS"` // longest wait before the start, in milliseconds
	Goal     float64        `json:"Goal"`     // fraction between 0 and 1, for example 0.99
}

// Team holds the share, the upper limit, the API keys and the objectives of one team.
type Team struct {
	Name       string             `json:"Name"`
	Share      float64            `json:"Share"`           // weight in dividing the capacity when demand exceeds it
	UpperLimit ibiswork.Resources `json:"UpperLimit"`      // in use at one time in the whole cluster; a zero amount permits none
	Queue      bool               `json:"Queue,omitempty"` // open queue: requests are accepted without an API key
	Keys       []Key              `json:"Keys,omitempty"`
	Objectives []Objective        `json:"Objectives,omitempty"`
	Version    int64              `json:"Version"` // of the configuration that last changed the team
}

// Check returns one error that lists every invalid field of the team.
func (t Team) Check() error {
	var problems []string
	if !namePattern.MatchString(t.Name) {
		problems = append(problems, fmt.Sprintf("Name: %q is not 1 to 63 of the characters a-z, 0-9 and -", t.Name))
	}
	if !(t.Share > 0 && t.Share <= MaxShare) {
		problems = append(problems, fmt.Sprintf("Share: %v is not above 0 and at most %v", t.Share, float64(MaxShare)))
	}
	if err := t.UpperLimit.Check(); err != nil {
		problems = append(problems, fmt.Sprintf("UpperLimit: %v", err))
	}
	for i, o := range t.Objectives {
		if err := o.Check(); err != nil {
			problems = append(problems, fmt.Sprintf("Objectives[%d]: %v", i, err))
		}
	}
	if len(t.Objectives) > MaxObjectives {
		problems = append(problems, fmt.Sprintf("Objectives: more than %d", MaxObjectives))
	}
	if len(t.Keys) > MaxTeamKeys {
		problems = append(problems, fmt.Sprintf("Keys: more than %d", MaxTeamKeys))
	}
	for i, k := range t.Keys {
		if err := k.Check(); err != nil {
			problems = append(problems, fmt.Sprintf("Keys[%d]: %v", i, err))
		}
	}
	if len(problems) > 0 {
		return Error.New("team %q: %s", t.Name, strings.Join(problems, "; "))
	}
	return nil
}

// WithKey returns a copy of t with k added.
func (t Team) WithKey(k Key) Team {
	t.Keys = append(append([]Key(nil), t.Keys...), k)
	return t
}

// WithoutKey returns a copy of t without the key of the given name.
func (t Team) WithoutKey(name string) Team {
	var keys []Key
	for _, k := range t.Keys {
		if k.Name != name {
			keys = append(keys, k)
		}
	}
	t.Keys = keys
	return t
}
