package ibisconfig

import (
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// rowEncoding is the CBOR encoding of rows. Times keep their nanoseconds and time zone.
var rowEncoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(v any) ([]byte, error) {
	b, err := rowEncoding.Marshal(v)
	return b, Error.Wrap(err)
}

// setRow decodes one row of the table into s, or removes its item if value is empty, which means that the row
// does not exist. s must not be published yet.
func (s *Snapshot) setRow(key string, value []byte) error {
	if name, ok := strings.CutPrefix(key, teamPrefix); ok {
		return setItem(s.Teams, name, value, func(t *Team) error { return checkName(t.Name, name, t.Check()) })
	}
	if name, ok := strings.CutPrefix(key, operatorPrefix); ok {
		rows := make(map[string]operatorRow)
		if err := setItem(rows, name, value, func(o *operatorRow) error { return o.check(name) }); err != nil {
			return err
		}
		if o, ok := rows[name]; ok {
			s.Operators[name], s.Versions[key] = o.Key, o.Version
			return nil
		}
		delete(s.Operators, name)
		delete(s.Versions, key)
		return nil
	}
	if name, ok := strings.CutPrefix(key, setAsidePrefix); ok {
		rows := make(map[string]setAsideRow)
		if err := setItem(rows, name, value, func(a *setAsideRow) error { return a.check(name) }); err != nil {
			return err
		}
		if a, ok := rows[name]; ok {
			s.SetAside[name], s.Versions[key] = a.Reason, a.Version
			return nil
		}
		delete(s.SetAside, name)
		delete(s.Versions, key)
		return nil
	}
	if name, ok := strings.CutPrefix(key, evacuationPrefix); ok {
		return setItem(s.Evacuations, name, value, func(e *Evacuation) error { return checkName(e.FailureDomain, name, e.Check()) })
	}
	return Error.New("row %s has an unknown key prefix", key)
}

func (o *operatorRow) check(name string) error {
	if !namePattern.MatchString(name) {
		return Error.New("operator name %q is not 1 to 63 of the characters a-z, 0-9 and -", name)
	}
	return checkName(o.Name, name, o.Key.Check())
}

func (a *setAsideRow) check(name string) error {
	if !serverPattern.MatchString(name) || len(a.Reason) > MaxReasonBytes {
		return Error.New("not a valid name of a backend server, or the reason is longer than %d bytes", MaxReasonBytes)
	}
	return checkName(a.Server, name, nil)
}

// checkName returns an error if the name in an item differs from the name in its row key, and err otherwise.
func checkName(got, want string, err error) error {
	if got != want {
		return Error.New("the row holds an item named %q", got)
	}
	return err
}

// setItem decodes and checks value and stores it in m, or removes the item if value is empty.
func setItem[T any](m map[string]T, name string, value []byte, check func(*T) error) error {
	if len(value) == 0 {
		delete(m, name)
		return nil
	}
	var v T
	if err := cbor.Unmarshal(value, &v); err != nil {
		return Error.New("row of %s: %v", name, err)
	}
	if err := check(&v); err != nil {
		return Error.New("row of %s: %v", name, err)
	}
	m[name] = v
	return nil
}

func sortedHashes(m map[KeyHash]bool) []KeyHash { return slices.Sorted(maps.Keys(m)) }

// union returns a new set of the members of a and b.
func union(a, b map[KeyHash]bool) map[KeyHash]bool {
	u := cloneMap(a)
	maps.Copy(u, b)
	return u
}
