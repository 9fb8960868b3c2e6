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

// MaxShare bounds the weight of one team.
const MaxShare = 1e6

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

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
		if !o.Class.Valid() || o.TargetMS < 0 || !(o.Goal > 0 && o.Goal < 1) {
			bad = append(bad, fmt.Sprintf("Objectives[%d]: needs a known Class, a TargetMS of zero or more and a Goal between 0 and 1", i))
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

// Snapshot is the whole configuration at one version. It is never changed once it is published.
type Snapshot struct {
	Version   int64           `json:"Version"`
	Teams     map[string]Team `json:"Teams"`
	Operators map[string]Key  `json:"Operators"` // by the operator's name
	// SetAside names the backend servers that operators keep from new work, with the reason.
	SetAside map[string]string  `json:"SetAside,omitempty"`
	Denied   map[KeyHash]bool   `json:"Denied,omitempty"` // withdrawn keys that the store may not know of yet
	byHash   map[KeyHash]string // to the team
}

// Indexed is s with its look-up tables made; every published snapshot has them.
func (s Snapshot) Indexed() *Snapshot {
	s.byHash = make(map[KeyHash]string)
	for name, t := range s.Teams {
		for _, k := range t.Keys {
			s.byHash[k.Hash] = name
		}
	}
	return &s
}

// Authenticate finds the team of a key that is in force.
func (s *Snapshot) Authenticate(key string) (team string, ok bool) {
	h := HashKey(key)
	if s.Denied[h] {
		return "", false
	}
	team, ok = s.byHash[h]
	return team, ok
}

// Operator finds the operator of a key that is in force.
func (s *Snapshot) Operator(key string) (name string, ok bool) {
	h := HashKey(key)
	if s.Denied[h] {
		return "", false
	}
	for name, k := range s.Operators {
		if k.Hash == h {
			return name, true
		}
	}
	return "", false
}
