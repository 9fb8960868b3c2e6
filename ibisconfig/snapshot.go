package ibisconfig

import (
	"encoding/json"
	"maps"

	"github.com/fxamacker/cbor/v2"
)

// BootstrapOperator is the name of the operator whose key hash comes from the settings file. Its key is in
// force only while the table lists no operator.
const BootstrapOperator = "bootstrap"

// Snapshot is the whole configuration at one version. It is immutable once it is published.
type Snapshot struct {
	Version   int64           `json:"Version"` // zero if the configuration was not read yet
	Teams     map[string]Team `json:"Teams"`
	Operators map[string]Key  `json:"Operators"` // by the name of the operator
	// SetAside maps each backend server that operators set aside to the reason.
	SetAside map[string]string `json:"SetAside,omitempty"`
	// Evacuations holds the evacuated failure domains, by name.
	Evacuations map[string]Evacuation `json:"Evacuations,omitempty"`
	Denied      map[KeyHash]bool      `json:"Denied,omitempty"` // deny set: withdrawn keys that the table may still list
	// Versions maps the row key of each operator and of each server set aside to the version that last
	// changed it.
	Versions   map[string]int64   `json:"Versions,omitempty"`
	teamByHash map[KeyHash]string // team name, empty if two teams have the same key
}

// Indexed returns a copy of s with the index that Authenticate needs. Every published snapshot is indexed.
// A key that belongs to two teams authenticates neither.
func (s Snapshot) Indexed() *Snapshot {
	s.teamByHash = make(map[KeyHash]string)
	for name, t := range s.Teams {
		for _, k := range t.Keys {
			if other, ok := s.teamByHash[k.Hash]; ok && other != name {
				name = ""
			}
			s.teamByHash[k.Hash] = name
		}
	}
	return &s
}

// clone returns a copy of s whose maps can be modified. The copy is not indexed.
func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		Version:     s.Version,
		Teams:       cloneMap(s.Teams),
		Operators:   cloneMap(s.Operators),
		SetAside:    cloneMap(s.SetAside),
		Evacuations: cloneMap(s.Evacuations),
		Denied:      cloneMap(s.Denied),
		Versions:    cloneMap(s.Versions),
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// snapshotFields has the fields of Snapshot but not its methods, so that decoding does not recurse.
type snapshotFields Snapshot

// UnmarshalJSON decodes, checks and indexes a snapshot.
func (s *Snapshot) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, (*snapshotFields)(s)); err != nil {
		return Error.Wrap(err)
	}
	return s.checkAndIndex()
}

// UnmarshalCBOR decodes, checks and indexes a snapshot.
func (s *Snapshot) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*snapshotFields)(s)); err != nil {
		return Error.Wrap(err)
	}
	return s.checkAndIndex()
}

func (s *Snapshot) checkAndIndex() error {
	if err := s.Check(); err != nil {
		return err
	}
	*s = *s.Indexed()
	return nil
}

// Check returns the first error found in the snapshot.
func (s *Snapshot) Check() error {
	if s.Version < 0 {
		return Error.New("snapshot Version: %d is below zero", s.Version)
	}
	if len(s.Teams) > MaxTeams || len(s.Operators) > MaxOperators || len(s.SetAside) > MaxSetAside || len(s.Denied) > MaxDenied {
		return Error.New("snapshot: more than %d teams, %d operators, %d backend servers set aside or %d denied keys",
			MaxTeams, MaxOperators, MaxSetAside, MaxDenied)
	}
	if len(s.Evacuations) > MaxEvacuations {
		return Error.New("snapshot: more than %d evacuations", MaxEvacuations)
	}
	for name, e := range s.Evacuations {
		if err := checkName(e.FailureDomain, name, e.Check()); err != nil {
			return err
		}
	}
	for name, t := range s.Teams {
		if t.Name != name {
			return Error.New("snapshot: team %q is stored under the name %q", t.Name, name)
		}
		if err := t.Check(); err != nil {
			return err
		}
	}
	for name, k := range s.Operators {
		if !namePattern.MatchString(name) {
			return Error.New("snapshot: operator name %q is not 1 to 63 of the characters a-z, 0-9 and -", name)
		}
		if err := k.Check(); err != nil {
			return err
		}
	}
	return nil
}

// FindKey returns the team and the name of the key with the given hash, even if the key is denied.
func (s *Snapshot) FindKey(h KeyHash) (team, name string, ok bool) {
	for team, t := range s.Teams {
		for _, k := range t.Keys {
			if k.Hash == h {
				return team, k.Name, true
			}
		}
	}
	return "", "", false
}

// Key returns the key of the team with the given name.
func (t Team) Key(name string) (Key, bool) {
	for _, k := range t.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// Authenticate returns the team of an API key. It fails if the key is unknown, ambiguous or denied.
func (s *Snapshot) Authenticate(key string) (team string, ok bool) {
	h := HashKey(key)
	if s.Denied[h] {
		return "", false
	}
	team = s.teamByHash[h]
	return team, team != ""
}

// Operator returns the operator of an API key. It fails if the key is unknown or denied.
func (s *Snapshot) Operator(key string) (name string, ok bool) {
	h := HashKey(key)
	for name, k := range s.Operators {
		if k.Hash == h && !s.Denied[h] {
			return name, true
		}
	}
	return "", false
}

// hasOperatorKey reports whether h is the hash of an operator's key and is not denied.
func (s *Snapshot) hasOperatorKey(h KeyHash) bool {
	for _, k := range s.Operators {
		if k.Hash == h {
			return !s.Denied[h]
		}
	}
	return false
}

// ServerVersion returns the version that set the backend server aside, or zero if it is not set aside.
func (s *Snapshot) ServerVersion(server string) int64 { return s.Versions[setAsidePrefix+server] }

// OperatorVersion returns the version that last changed the operator, or zero if there is none.
func (s *Snapshot) OperatorVersion(name string) int64 { return s.Versions[operatorPrefix+name] }
