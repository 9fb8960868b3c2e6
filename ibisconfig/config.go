// Package ibisconfig holds the configuration that operators change while the system runs: teams with
// their shares, upper limits and keys, open queues, operators, and service-level objectives.
//
// A Snapshot is immutable and complete at one version. A daemon publishes the newest one that it has
// seen; only a higher version ever replaces it.
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

// Bounds on the configuration.
const (
	MaxShare       = 1e6 // weight of one team
	MaxObjectives  = 16  // of one team
	MaxTeamKeys    = 64  // of one team
	MaxTeams       = 4096
	MaxOperators   = 256
	MaxAside       = 20000 // backend servers set aside at once
	MaxReasonBytes = 512
	MaxDenied      = 65536
)

var (
	nameForm   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	hashForm   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	serverForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	idForm     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{7,99}$`)
)

// KeyHash is the SHA-256 of a key in hexadecimal. Keys themselves are never kept.
type KeyHash string

// HashKey is the form in which a key is kept.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// Key is one key of a team.
type Key struct {
	Name string  `json:"Name"` // tells the keys of a team apart, never secret
	Hash KeyHash `json:"Hash"`
}

// Check reports a name or a hash that is not in its form.
func (k Key) Check() error {
	if !nameForm.MatchString(k.Name) {
		return Error.New("key Name: %q has other characters than a-z, 0-9 and -, or is empty or too long", k.Name)
	}
	if !hashForm.MatchString(string(k.Hash)) {
		return Error.New("key Hash: not 64 hexadecimal digits in lower case")
	}
	return nil
}

// Objective is a service-level objective: the part of requests of a class that must have waited no
// longer than TargetMS before they started, or be answered at all when TargetMS is zero.
type Objective struct {
	Class    ibiswork.Class `json:"Class"`
	TargetMS int64          `json:"TargetMS"`
	Goal     float64        `json:"Goal"` // for example 0.99
}

// Team is one team with its share and its upper limit.
type Team struct {
	Name       string             `json:"Name"`
	Share      float64            `json:"Share"`           // weight while the fleet is full
	UpperLimit ibiswork.Resources `json:"UpperLimit"`      // running at once in the whole fleet; zero amounts forbid
	Queue      bool               `json:"Queue,omitempty"` // an open queue: work comes without a key
	Keys       []Key              `json:"Keys,omitempty"`
	Objectives []Objective        `json:"Objectives,omitempty"`
	Version    int64              `json:"Version"` // of the configuration in which it was last changed
}

// Check reports every fault of the team at once.
func (t Team) Check() error {
	var bad []string
	if !nameForm.MatchString(t.Name) {
		bad = append(bad, fmt.Sprintf("Name: %q has other characters than a-z, 0-9 and -, or is empty or too long", t.Name))
	}
	if !(t.Share > 0 && t.Share <= MaxShare) {
		bad = append(bad, fmt.Sprintf("Share: %v is outside 0 to %v", t.Share, float64(MaxShare)))
	}
	if err := t.UpperLimit.Check(); err != nil {
		bad = append(bad, fmt.Sprintf("UpperLimit: %v", err))
	}
	for i, o := range t.Objectives {
		if err := o.Check(); err != nil {
			bad = append(bad, fmt.Sprintf("Objectives[%d]: %v", i, err))
		}
	}
	if len(t.Objectives) > MaxObjectives {
		bad = append(bad, fmt.Sprintf("Objectives: more than %d", MaxObjectives))
	}
	if len(t.Keys) > MaxTeamKeys {
		bad = append(bad, fmt.Sprintf("Keys: more than %d", MaxTeamKeys))
	}
	for i, k := range t.Keys {
		if err := k.Check(); err != nil {
			bad = append(bad, fmt.Sprintf("Keys[%d]: %v", i, err))
		}
	}
	if len(bad) > 0 {
		return Error.New("team %s", strings.Join(bad, "; "))
	}
	return nil
}

// WithKey is t with one more key.
func (t Team) WithKey(k Key) Team {
	t.Keys = append(append([]Key(nil), t.Keys...), k)
	return t
}

// WithoutKey is t without the key of that name.
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
