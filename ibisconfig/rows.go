package ibisconfig

import (
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// rowMode encodes rows; times keep their nanoseconds and zone.
var rowMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(v any) ([]byte, error) {
	b, err := rowMode.Marshal(v)
	return b, Error.Wrap(err)
}

// setRow takes one row of the table into s; an empty value says that the row does not exist. s is not
// published yet.
func (s *Snapshot) setRow(key string, value []byte) error {
	if name, ok := strings.CutPrefix(key, teamPrefix); ok {
		return setItem(s.Teams, name, value, func(t *Team) error { return named(t.Name, name, t.Check()) })
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
	if name, ok := strings.CutPrefix(key, asidePrefix); ok {
		rows := make(map[string]asideRow)
		if err := setItem(rows, name, value, func(a *asideRow) error { return a.check(name) }); err != nil {
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
	return Error.New("row %s is of no known kind", key)
}

func (o *operatorRow) check(name string) error {
	if !nameForm.MatchString(name) {
		return Error.New("%q is not a name", name)
	}
	return named(o.Name, name, o.Key.Check())
}

func (a *asideRow) check(name string) error {
	if !serverForm.MatchString(name) || len(a.Reason) > MaxReasonBytes {
		return Error.New("not a name of a backend server, or the reason is too long")
	}
	return named(a.Server, name, nil)
}

// named reports an item that stands under the name of another, or else err.
func named(have, want string, err error) error {
	if have != want {
		return Error.New("the item is named %q", have)
	}
	return err
}

// setItem decodes and checks value into m, or removes the item when value is empty.
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

func keysOf(m map[KeyHash]bool) []KeyHash { return slices.Sorted(maps.Keys(m)) }

// union is a new set with the members of a and b.
func union(a, b map[KeyHash]bool) map[KeyHash]bool {
	u := cloneMap(a)
	maps.Copy(u, b)
	return u
}
