package ibisconfig

import (
	"encoding/json"
	"maps"

	"github.com/fxamacker/cbor/v2"
)

// BootstrapOperator is the name of the operator whose key hash comes from the settings. It is in force
// only while the table names no operator.
const BootstrapOperator = "bootstrap"

// Snapshot is the whole configuration at one version. It is never changed once it is published.
type Snapshot struct {
	Version   int64           `json:"Version"` // zero: nothing is known yet
	Teams     map[string]Team `json:"Teams"`
	Operators map[string]Key  `json:"Operators"` // by the operator's name
	// SetAside names the backend servers that operators keep from new work, with the reason.
	SetAside map[string]string `json:"SetAside,omitempty"`
	Denied   map[KeyHash]bool  `json:"Denied,omitempty"` // withdrawn keys that the store may not know of yet
	// Versions holds, for each operator and each server set aside, the version in which it was last
	// changed, by the key of its row.
	Versions map[string]int64   `json:"Versions,omitempty"`
	byHash   map[KeyHash]string // to the team; empty when two teams have the same key
}

// Indexed is s with its look-up tables made; every published snapshot has them. A key that two teams
// have authenticates neither.
func (s Snapshot) Indexed() *Snapshot {
	s.byHash = make(map[KeyHash]string)
	for name, t := range s.Teams {
		for _, k := range t.Keys {
			if other, ok := s.byHash[k.Hash]; ok && other != name {
				name = ""
			}
			s.byHash[k.Hash] = name
		}
	}
	return &s
}

// clone is a deep enough copy of s that its maps may be written to.
func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		Version:   s.Version,
		Teams:     cloneMap(s.Teams),
		Operators: cloneMap(s.Operators),
		SetAside:  cloneMap(s.SetAside),
		Denied:    cloneMap(s.Denied),
		Versions:  cloneMap(s.Versions),
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

type plainSnapshot Snapshot

// UnmarshalJSON decodes, checks and indexes a snapshot.
func (s *Snapshot) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*plainSnapshot)(s)); err != nil {
		return Error.Wrap(err)
	}
	return s.decoded()
}

// UnmarshalCBOR decodes, checks and indexes a snapshot.
func (s *Snapshot) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*plainSnapshot)(s)); err != nil {
		return Error.Wrap(err)
	}
	return s.decoded()
}

func (s *Snapshot) decoded() error {
	if err := s.Check(); err != nil {
		return err
	}
	*s = *s.Indexed()
	return nil
}

// Check reports the first fault of the snapshot.
func (s *Snapshot) Check() error {
	if s.Version < 0 {
		return Error.New("snapshot Version: %d is below zero", s.Version)
	}
	if len(s.Teams) > MaxTeams || len(s.Operators) > MaxOperators || len(s.SetAside) > MaxAside || len(s.Denied) > MaxDenied {
		return Error.New("snapshot: too many items")
	}
	for name, t := range s.Teams {
		if t.Name != name {
			return Error.New("snapshot: team %q stands under the name %q", t.Name, name)
		}
		if err := t.Check(); err != nil {
			return err
		}
	}
	for name, k := range s.Operators {
		if !nameForm.MatchString(name) {
			return Error.New("snapshot: operator name %q", name)
		}
		if err := k.Check(); err != nil {
			return err
		}
	}
	return nil
}

// KeyOf finds the team and the name of a key by its hash, also when the key is denied.
func (s *Snapshot) KeyOf(h KeyHash) (team, name string, ok bool) {
	for team, t := range s.Teams {
		for _, k := range t.Keys {
			if k.Hash == h {
				return team, k.Name, true
			}
		}
	}
	return "", "", false
}

// Key finds a key of the team by its name.
func (t Team) Key(name string) (Key, bool) {
	for _, k := range t.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// Authenticate finds the team of a key that is in force.
func (s *Snapshot) Authenticate(key string) (team string, ok bool) {
	h := HashKey(key)
	if s.Denied[h] {
		return "", false
	}
	team = s.byHash[h]
	return team, team != ""
}

// Operator finds the operator of a key that is in force.
func (s *Snapshot) Operator(key string) (name string, ok bool) {
	h := HashKey(key)
	for name, k := range s.Operators {
		if k.Hash == h && !s.Denied[h] {
			return name, true
		}
	}
	return "", false
}

// operatorKey reports whether h is the hash of an operator's key that is in force.
func (s *Snapshot) operatorKey(h KeyHash) bool {
	for _, k := range s.Operators {
		if k.Hash == h {
			return !s.Denied[h]
		}
	}
	return false
}

// ServerVersion is the version in which the backend server was set aside, zero when it is not.
func (s *Snapshot) ServerVersion(server string) int64 { return s.Versions[asidePrefix+server] }

// OperatorVersion is the version in which the operator was last changed, zero when there is none.
func (s *Snapshot) OperatorVersion(name string) int64 { return s.Versions[operatorPrefix+name] }
