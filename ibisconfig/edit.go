package ibisconfig

import (
	"encoding/json"
	"fmt"
	"strings"

	"ibiscrank/ibistable"
)

// Row keys of the configuration in the table.
const (
	headKey          = "config/head"
	teamPrefix       = "config/team/"
	operatorPrefix   = "config/operator/"
	setAsidePrefix   = "config/aside/"
	evacuationPrefix = "config/evacuation/"
	auditPrefix      = "config/audit/"
	changePrefix     = "config/change/"
)

func auditKey(version int64) string { return fmt.Sprintf("%s%016d", auditPrefix, version) }

// operatorRow is the stored form of one operator.
type operatorRow struct {
	Name    string `json:"Name"`
	Key     Key    `json:"Key"`
	Version int64  `json:"Version"`
}

// setAsideRow is the stored form of one backend server that is set aside.
type setAsideRow struct {
	Server  string `json:"Server"`
	Reason  string `json:"Reason"`
	Version int64  `json:"Version"`
}

// edit describes what a change does to the one row that it affects.
type edit struct {
	action        string // name of the field of Change that is set
	key           string // of the row
	value         any    // nil deletes the row
	before, after any    // for the audit log, without secrets
}

// write returns the write that changes the row. It is unconditional: every change replaces the head row, so
// the condition on the head in the same transaction already excludes concurrent changes.
func (e edit) write() (ibistable.Write, error) {
	if e.value == nil {
		return ibistable.Delete(e.key, ibistable.Any), nil
	}
	b, err := encode(e.value)
	if err != nil {
		return ibistable.Write{}, err
	}
	return ibistable.Put(e.key, ibistable.Any, b), nil
}

// itemVersion returns the version that last changed the item with the given row key, or zero if there is none.
func (s *Snapshot) itemVersion(key string) int64 {
	if len(key) > len(teamPrefix) && key[:len(teamPrefix)] == teamPrefix {
		return s.Teams[key[len(teamPrefix):]].Version
	}
	if domain, ok := strings.CutPrefix(key, evacuationPrefix); ok {
		return s.EvacuationVersion(domain)
	}
	return s.Versions[key]
}

// plan returns the edit that c makes to s, or the error with which c is refused. version is the version that
// c will create. plan changes nothing.
func (s *Snapshot) plan(c Change, version int64) (edit, error) {
	switch {
	case c.PutTeam != nil:
		return s.planPutTeam(c, version)
	case c.DeleteTeam != "":
		e := edit{action: "DeleteTeam", key: teamPrefix + c.DeleteTeam}
		t, err := s.findTeam(c.DeleteTeam, e.key, c.BasedOn)
		e.before = t.WithoutHashes()
		return e, err
	case c.AddKey != nil:
		return s.planAddKey(c, version)
	case c.WithdrawKey != nil:
		return s.planWithdrawKey(c, version)
	case c.PutOperator != nil:
		return s.planPutOperator(c, version)
	case c.DeleteOperator != "":
		return s.planDeleteOperator(c)
	case c.SetAside != nil:
		return s.planSetAside(c, version)
	case c.Return != nil:
		e := edit{action: "Return", key: setAsidePrefix + c.Return.Server}
		reason, ok := s.SetAside[c.Return.Server]
		if err := s.checkBasedOn(e.key, c.BasedOn); err != nil {
			return e, err
		}
		if !ok {
			return e, NotFound.New("backend server %s is not set aside", c.Return.Server)
		}
		e.before = SetAside{Server: c.Return.Server, Reason: reason}
		return e, nil
	case c.Evacuate != nil:
		return s.planEvacuate(c, version)
	case c.WithdrawEvacuation != nil:
		return s.planWithdrawEvacuation(c)
	}
	return edit{}, Invalid.New("no action is set")
}

func (s *Snapshot) planPutTeam(c Change, version int64) (edit, error) {
	t := *c.PutTeam
	e := edit{action: "PutTeam", key: teamPrefix + t.Name}
	if err := s.checkBasedOn(e.key, c.BasedOn); err != nil {
		return e, err
	}
	old, ok := s.Teams[t.Name]
	if !ok && len(s.Teams) >= MaxTeams {
		return e, Invalid.New("there are already %d teams, the upper limit", MaxTeams)
	}
	if ok {
		e.before = old.WithoutHashes()
	}
	t.Keys, t.Version = old.Keys, version
	e.value, e.after = t, t.WithoutHashes()
	return e, nil
}

func (s *Snapshot) planAddKey(c Change, version int64) (edit, error) {
	e := edit{action: "AddKey", key: teamPrefix + c.AddKey.Team}
	t, err := s.findTeam(c.AddKey.Team, e.key, c.BasedOn)
	if err != nil {
		return e, err
	}
	k := c.AddKey.Key
	if _, ok := t.Key(k.Name); ok {
		return e, Invalid.New("team %s already has a key named %s", t.Name, k.Name)
	}
	if err := s.checkUnusedHash(k.Hash); err != nil {
		return e, err
	}
	if len(t.Keys) >= MaxTeamKeys {
		return e, Invalid.New("team %s already has %d keys, the upper limit", t.Name, MaxTeamKeys)
	}
	e.before = t.WithoutHashes()
	t = t.WithKey(k)
	t.Version = version
	e.value, e.after = t, t.WithoutHashes()
	return e, nil
}

func (s *Snapshot) planWithdrawKey(c Change, version int64) (edit, error) {
	e := edit{action: "WithdrawKey", key: teamPrefix + c.WithdrawKey.Team}
	t, err := s.findTeam(c.WithdrawKey.Team, e.key, c.BasedOn)
	if err != nil {
		return e, err
	}
	if _, ok := t.Key(c.WithdrawKey.Name); !ok {
		return e, NotFound.New("team %s has no key named %s", t.Name, c.WithdrawKey.Name)
	}
	e.before = t.WithoutHashes()
	t = t.WithoutKey(c.WithdrawKey.Name)
	t.Version = version
	e.value, e.after = t, t.WithoutHashes()
	return e, nil
}

func (s *Snapshot) planPutOperator(c Change, version int64) (edit, error) {
	o := operatorRow{Name: c.PutOperator.Name, Key: c.PutOperator.Key, Version: version}
	e := edit{action: "PutOperator", key: operatorPrefix + o.Name, value: o, after: c.PutOperator.Name}
	if err := s.checkBasedOn(e.key, c.BasedOn); err != nil {
		return e, err
	}
	if err := s.checkUnusedHash(o.Key.Hash); err != nil {
		return e, err
	}
	if _, ok := s.Operators[o.Name]; ok {
		e.before = o.Name
	} else if len(s.Operators) >= MaxOperators {
		return e, Invalid.New("there are already %d operators, the upper limit", MaxOperators)
	}
	return e, nil
}

func (s *Snapshot) planDeleteOperator(c Change) (edit, error) {
	e := edit{action: "DeleteOperator", key: operatorPrefix + c.DeleteOperator, before: c.DeleteOperator}
	if err := s.checkBasedOn(e.key, c.BasedOn); err != nil {
		return e, err
	}
	if _, ok := s.Operators[c.DeleteOperator]; !ok || c.DeleteOperator == BootstrapOperator {
		return e, NotFound.New("there is no operator %s", c.DeleteOperator)
	}
	if len(s.Operators) == 1 {
		return e, Invalid.New("operator %s is the last one and cannot be deleted", c.DeleteOperator)
	}
	return e, nil
}

func (s *Snapshot) planSetAside(c Change, version int64) (edit, error) {
	a := setAsideRow{Server: c.SetAside.Server, Reason: c.SetAside.Reason, Version: version}
	e := edit{action: "SetAside", key: setAsidePrefix + a.Server, value: a, after: *c.SetAside}
	if err := s.checkBasedOn(e.key, c.BasedOn); err != nil {
		return e, err
	}
	if reason, ok := s.SetAside[a.Server]; ok {
		e.before = SetAside{Server: a.Server, Reason: reason}
	} else if len(s.SetAside) >= MaxSetAside {
		return e, Invalid.New("%d backend servers are already set aside, the upper limit", MaxSetAside)
	}
	return e, nil
}

// findTeam returns the team that a change applies to, after checking its version.
func (s *Snapshot) findTeam(name, key string, basedOn int64) (Team, error) {
	if err := s.checkBasedOn(key, basedOn); err != nil {
		return Team{}, err
	}
	t, ok := s.Teams[name]
	if !ok {
		return t, NotFound.New("there is no team %s", name)
	}
	return t, nil
}

// checkBasedOn returns a Stale error if the item is not at the version that the change is based on.
func (s *Snapshot) checkBasedOn(key string, basedOn int64) error {
	current := s.itemVersion(key)
	if basedOn == NoCondition || basedOn == current {
		return nil
	}
	stale := &StaleError{Item: key, BasedOn: basedOn, Version: current}
	if len(key) > len(teamPrefix) && key[:len(teamPrefix)] == teamPrefix {
		if t, ok := s.Teams[key[len(teamPrefix):]]; ok {
			t = t.WithoutHashes()
			stale.Team = &t
		}
	}
	return Stale.Wrap(stale)
}

// checkUnusedHash returns an Invalid error if the key with hash h is in use or was withdrawn.
func (s *Snapshot) checkUnusedHash(h KeyHash) error {
	if team, name, ok := s.FindKey(h); ok {
		return Invalid.New("this key is already in use as key %s of team %s", name, team)
	}
	for name, k := range s.Operators {
		if k.Hash == h && name != BootstrapOperator {
			return Invalid.New("this key is already in use by operator %s", name)
		}
	}
	if s.Denied[h] {
		return Invalid.New("this key was withdrawn and cannot be used again")
	}
	return nil
}

// WithoutHashes returns a copy of t with the names of its keys but not their hashes.
func (t Team) WithoutHashes() Team {
	keys := make([]Key, len(t.Keys))
	for i, k := range t.Keys {
		keys[i] = Key{Name: k.Name}
	}
	t.Keys = keys
	return t
}

// audit returns the entry of the audit log for e, with which c makes the given version.
func (e edit) audit(c Change, version int64) (AuditEntry, error) {
	a := AuditEntry{Version: version, Change: c.ID, Operator: c.Operator, At: c.At, Action: e.action, Item: e.key, Digest: c.digest()}
	for _, f := range []struct {
		dst *json.RawMessage
		src any
	}{{&a.Before, e.before}, {&a.After, e.after}} {
		if f.src == nil {
			continue
		}
		b, err := json.Marshal(f.src)
		if err != nil {
			return a, Error.Wrap(err)
		}
		*f.dst = b
	}
	return a, nil
}
