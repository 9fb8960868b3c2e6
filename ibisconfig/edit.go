package ibisconfig

import (
	"encoding/json"
	"fmt"

	"ibiscrank/ibistable"
)

// Keys of the rows of the configuration.
const (
	headKey        = "config/head"
	teamPrefix     = "config/team/"
	operatorPrefix = "config/operator/"
	asidePrefix    = "config/aside/"
	auditPrefix    = "config/audit/"
	changePrefix   = "config/change/"
)

func auditKey(version int64) string { return fmt.Sprintf("%s%016d", auditPrefix, version) }

// operatorRow is the row of one operator.
type operatorRow struct {
	Name    string `json:"Name"`
	Key     Key    `json:"Key"`
	Version int64  `json:"Version"`
}

// asideRow is the row of one backend server that is set aside.
type asideRow struct {
	Server  string `json:"Server"`
	Reason  string `json:"Reason"`
	Version int64  `json:"Version"`
}

// edit is what a change does to the one row that it concerns.
type edit struct {
	action        string
	key           string
	value         any // nil deletes the row
	before, after any // for the audit list, without secrets
}

// write is the part of the transaction that changes the row. The condition on the head covers it.
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

// itemVersion is the version in which the row of that key was last changed, zero when there is none.
func (s *Snapshot) itemVersion(key string) int64 {
	if len(key) > len(teamPrefix) && key[:len(teamPrefix)] == teamPrefix {
		return s.Teams[key[len(teamPrefix):]].Version
	}
	return s.Versions[key]
}

// plan works out what c does to the configuration s. It is pure. version is the one that c will make.
func (s *Snapshot) plan(c Change, version int64) (edit, error) {
	switch {
	case c.PutTeam != nil:
		return s.planPutTeam(c, version)
	case c.DeleteTeam != "":
		e := edit{action: "DeleteTeam", key: teamPrefix + c.DeleteTeam}
		t, err := s.team(c.DeleteTeam, e.key, c.BasedOn)
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
		e := edit{action: "Return", key: asidePrefix + c.Return.Server}
		reason, ok := s.SetAside[c.Return.Server]
		if err := s.fresh(e.key, c.BasedOn); err != nil {
			return e, err
		}
		if !ok {
			return e, NotFound.New("backend server %s is not set aside", c.Return.Server)
		}
		e.before = SetAside{Server: c.Return.Server, Reason: reason}
		return e, nil
	}
	return edit{}, Invalid.New("no action is set")
}

func (s *Snapshot) planPutTeam(c Change, version int64) (edit, error) {
	t := *c.PutTeam
	e := edit{action: "PutTeam", key: teamPrefix + t.Name}
	if err := s.fresh(e.key, c.BasedOn); err != nil {
		return e, err
	}
	old, ok := s.Teams[t.Name]
	if !ok && len(s.Teams) >= MaxTeams {
		return e, Invalid.New("there are %d teams already", MaxTeams)
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
	t, err := s.team(c.AddKey.Team, e.key, c.BasedOn)
	if err != nil {
		return e, err
	}
	k := c.AddKey.Key
	if _, ok := t.Key(k.Name); ok {
		return e, Invalid.New("team %s has a key named %s already", t.Name, k.Name)
	}
	if err := s.unusedHash(k.Hash); err != nil {
		return e, err
	}
	if len(t.Keys) >= MaxTeamKeys {
		return e, Invalid.New("team %s has %d keys already", t.Name, MaxTeamKeys)
	}
	e.before = t.WithoutHashes()
	t = t.WithKey(k)
	t.Version = version
	e.value, e.after = t, t.WithoutHashes()
	return e, nil
}

func (s *Snapshot) planWithdrawKey(c Change, version int64) (edit, error) {
	e := edit{action: "WithdrawKey", key: teamPrefix + c.WithdrawKey.Team}
	t, err := s.team(c.WithdrawKey.Team, e.key, c.BasedOn)
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
	if err := s.fresh(e.key, c.BasedOn); err != nil {
		return e, err
	}
	if err := s.unusedHash(o.Key.Hash); err != nil {
		return e, err
	}
	if _, ok := s.Operators[o.Name]; ok {
		e.before = o.Name
	} else if len(s.Operators) >= MaxOperators {
		return e, Invalid.New("there are %d operators already", MaxOperators)
	}
	return e, nil
}

func (s *Snapshot) planDeleteOperator(c Change) (edit, error) {
	e := edit{action: "DeleteOperator", key: operatorPrefix + c.DeleteOperator, before: c.DeleteOperator}
	if err := s.fresh(e.key, c.BasedOn); err != nil {
		return e, err
	}
	if _, ok := s.Operators[c.DeleteOperator]; !ok || c.DeleteOperator == BootstrapOperator {
		return e, NotFound.New("there is no operator %s", c.DeleteOperator)
	}
	if len(s.Operators) == 1 {
		return e, Invalid.New("%s is the last operator", c.DeleteOperator)
	}
	return e, nil
}

func (s *Snapshot) planSetAside(c Change, version int64) (edit, error) {
	a := asideRow{Server: c.SetAside.Server, Reason: c.SetAside.Reason, Version: version}
	e := edit{action: "SetAside", key: asidePrefix + a.Server, value: a, after: *c.SetAside}
	if err := s.fresh(e.key, c.BasedOn); err != nil {
		return e, err
	}
	if reason, ok := s.SetAside[a.Server]; ok {
		e.before = SetAside{Server: a.Server, Reason: reason}
	} else if len(s.SetAside) >= MaxAside {
		return e, Invalid.New("%d backend servers are set aside already", MaxAside)
	}
	return e, nil
}

// team finds a team that a change needs.
func (s *Snapshot) team(name, key string, basedOn int64) (Team, error) {
	if err := s.fresh(key, basedOn); err != nil {
		return Team{}, err
	}
	t, ok := s.Teams[name]
	if !ok {
		return t, NotFound.New("there is no team %s", name)
	}
	return t, nil
}

// fresh refuses a change that is based on another version of its item than the present one.
func (s *Snapshot) fresh(key string, basedOn int64) error {
	now := s.itemVersion(key)
	if basedOn == NoCondition || basedOn == now {
		return nil
	}
	stale := &StaleError{Item: key, BasedOn: basedOn, Version: now}
	if len(key) > len(teamPrefix) && key[:len(teamPrefix)] == teamPrefix {
		if t, ok := s.Teams[key[len(teamPrefix):]]; ok {
			t = t.WithoutHashes()
			stale.Team = &t
		}
	}
	return Stale.Wrap(stale)
}

// unusedHash refuses a key that is in use or was withdrawn.
func (s *Snapshot) unusedHash(h KeyHash) error {
	if team, name, ok := s.KeyOf(h); ok {
		return Invalid.New("this key is key %s of team %s already", name, team)
	}
	for name, k := range s.Operators {
		if k.Hash == h && name != BootstrapOperator {
			return Invalid.New("this key is that of operator %s already", name)
		}
	}
	if s.Denied[h] {
		return Invalid.New("this key was withdrawn")
	}
	return nil
}

// WithoutHashes is t with only the names of its keys.
func (t Team) WithoutHashes() Team {
	keys := make([]Key, len(t.Keys))
	for i, k := range t.Keys {
		keys[i] = Key{Name: k.Name}
	}
	t.Keys = keys
	return t
}

// audit is the entry of the audit list for e.
func (e edit) audit(c Change, version int64) (AuditEntry, error) {
	a := AuditEntry{Version: version, Change: c.ID, Operator: c.Operator, At: c.At, Action: e.action, Item: e.key, Digest: c.digest()}
	for _, f := range []struct {
		to   *json.RawMessage
		from any
	}{{&a.Before, e.before}, {&a.After, e.after}} {
		if f.from == nil {
			continue
		}
		b, err := json.Marshal(f.from)
		if err != nil {
			return a, Error.Wrap(err)
		}
		*f.to = b
	}
	return a, nil
}
